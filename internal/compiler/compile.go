package compiler

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/loader"
)

// Empty returns the version of a document without sections: nothing may be
// called, and the policy is the default one.
func Empty() *Version {
	version, err := Compile(Document{})
	if err != nil {
		panic(err)
	}
	return version
}

// Compile checks the whole document and returns the version made from it. The
// error, of type loader.Errors, holds every fault that was found.
func Compile(document Document) (*Version, error) { return New().Compile(document) }

// Compiler compiles documents one after the other and reads a section again
// only when its text has changed. It is safe for concurrent use.
type Compiler struct {
	mu sync.Mutex
	// read holds the last reading of each section.
	read map[string]*reading
}

// New returns a Compiler.
func New() *Compiler { return &Compiler{read: map[string]*reading{}} }

// reading is what was read from the text of one section. It is not changed.
type reading struct {
	section Section
	// file points at the section's structure.
	file   any
	places *loader.Positions
	errors loader.Errors
}

// Compile checks the whole document and returns the version made from it. The
// error, of type loader.Errors, holds every fault that was found.
func (k *Compiler) Compile(document Document) (*Version, error) {
	c := &compiling{places: map[string]*loader.Positions{}}
	c.Policy = policyEntry(DefaultPolicy())
	c.loadSections(k, document)
	c.makeIndex()
	c.checkBusinesses()
	c.checkAgents()
	c.checkBudgets()
	c.checkPrecedence()
	c.checkEndpoints()
	c.checkServices()
	c.checkOperators()
	c.checkKeys()
	if err := c.errors.Err(); err != nil {
		return nil, err
	}
	return c.version(document.Number), nil
}

// readSection returns the last reading of the section if it still holds.
func (k *Compiler) readSection(section Section) *reading {
	k.mu.Lock()
	defer k.mu.Unlock()
	if last, ok := k.read[section.Name]; ok && last.section == section {
		return last
	}
	r := newReading(section)
	if r.file != nil {
		k.read[section.Name] = r
	}
	return r
}

func newReading(section Section) *reading {
	at := loader.Position{File: section.File, Line: max(section.Line, 1), Column: 1}
	r := &reading{section: section, file: newFile(section.Name)}
	if r.file == nil {
		r.errors.Add(at, section.Name, "unknown section %q", section.Name)
		return r
	}
	places, err := loader.Load(sourceOf(section), r.file)
	r.places = places
	if r.refuseMarkers(at) {
		return r
	}
	r.errors = loader.AsErrors(err)
	if err == nil && !places.Contains(section.Name) {
		r.errors.Add(at, section.Name, "the text must begin with %s:", section.Name)
	}
	return r
}

// compiling is the state of one call of Compile.
type compiling struct {
	content
	index
	places map[string]*loader.Positions
	errors loader.Errors
}

func (c *compiling) loadSections(k *Compiler, document Document) {
	seen := map[string]loader.Position{}
	for _, section := range document.Sections {
		at := loader.Position{File: section.File, Line: max(section.Line, 1), Column: 1}
		if rival, again := seen[section.Name]; again {
			c.errors.Add(at, section.Name, "section %s is given twice, first at %s", section.Name, rival)
			continue
		}
		seen[section.Name] = at
		r := k.readSection(section)
		c.errors = append(c.errors, r.errors...)
		if r.places != nil {
			c.places[section.Name] = r.places
		}
		c.adopt(r.file)
	}
}

// refuseMarkers keeps the sections fit to be joined into one file.
func (r *reading) refuseMarkers(at loader.Position) bool {
	for i, line := range strings.Split(r.section.Text, "\n") {
		if isMarker(line) {
			at.Line += i
			r.errors.Add(at, r.section.Name, "document markers are not supported")
			return true
		}
	}
	return false
}

// at returns the position of a value. The path begins with the section's name.
func (c *compiling) at(path string) loader.Position {
	section, _, _ := strings.Cut(path, "[")
	if places := c.places[section]; places != nil {
		return places.At(path)
	}
	return loader.Position{}
}

func (c *compiling) fail(path, format string, args ...any) {
	c.errors.Add(c.at(path), path, format, args...)
}

// field returns the path of one field of one entry of a section.
func field(section string, i int, name string) string {
	return fmt.Sprintf("%s[%d].%s", section, i, name)
}

// unique remembers where each key was first given.
type unique map[string]string

// claim records the path for the key and fails if another one holds it.
func (c *compiling) claim(taken unique, key, path, what string) {
	if rival, again := taken[key]; again {
		c.fail(path, "%s is given twice, first at %s", what, c.at(rival))
		return
	}
	taken[key] = path
}

func (c *compiling) version(number int64) *Version {
	v := &Version{
		Number:     number,
		Businesses: map[string]*Business{},
		Agents:     map[string]*Agent{},
		Endpoints:  map[string]*Endpoint{},
		Services:   map[string]*Service{},
		Operators:  map[string]*Operator{},
		Policy:     Policy(c.Policy),
	}
	c.addBusinesses(v)
	c.addAgents(v)
	c.addBudgets(v)
	c.addPrecedence(v)
	for _, e := range c.Endpoints {
		v.Endpoints[e.Name] = &Endpoint{
			Name: e.Name, Address: e.Address, DataCentre: e.DataCentre, Service: e.Service,
			Models: slices.Clone(e.Models), Slots: e.Slots, CacheTokens: e.CacheTokens,
			ChecksFence: e.ChecksFence, TLS: e.TLS, Leaving: e.Leaving,
		}
	}
	for _, e := range c.Services {
		service := Service(e)
		v.Services[e.Name] = &service
	}
	for _, e := range c.Operators {
		v.Operators[e.Name] = &Operator{Name: e.Name, KeyHash: e.KeyHash, Sections: slices.Clone(e.Sections)}
	}
	return v
}

func (c *compiling) addBusinesses(v *Version) {
	for _, e := range c.Businesses {
		v.Businesses[e.Name] = &Business{
			Name: e.Name, Weight: e.Weight, RetryShare: e.RetryShare, KeyHashes: slices.Clone(e.KeyHashes),
		}
	}
}

func (c *compiling) addAgents(v *Version) {
	for _, e := range c.Agents {
		v.Agents[AgentName(e.Business, e.Name)] = &Agent{
			Business: e.Business, Name: e.Name, Model: e.Model, Adapter: e.Adapter,
			Instructions: e.Instructions, MaxTurns: e.MaxTurns, MaxOutput: e.MaxOutput,
			MaxHistory: e.MaxHistory, WallLimit: e.WallLimit, IdleTimeout: e.IdleTimeout,
			ToolPause: e.ToolPause,
		}
	}
}

func (c *compiling) addBudgets(v *Version) {
	for _, e := range c.Budgets {
		if e.Agent == "" {
			v.Businesses[e.Business].Budget = e.Tokens
			continue
		}
		v.Agents[AgentName(e.Business, e.Agent)].Budget = e.Tokens
	}
}

// addPrecedence counts from 1; agent programs that are not named come last.
func (c *compiling) addPrecedence(v *Version) {
	orders := map[string][]string{}
	for _, e := range c.Precedence {
		orders[e.Business] = e.Order
	}
	for _, agent := range v.Agents {
		order := orders[agent.Business]
		place := slices.Index(order, agent.Name)
		if place < 0 {
			place = len(order)
		}
		agent.Precedence = place + 1
	}
}
