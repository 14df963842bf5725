package compiler

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/loader"
)

// Empty returns the version of a document without sections. It has no entries
// and the default policy.
func Empty() *Version {
	version, err := Compile(Document{})
	if err != nil {
		panic(err)
	}
	return version
}

// Compile checks the whole document and returns the version compiled from it. A
// non-nil error is of type loader.Errors and holds every error found.
func Compile(document Document) (*Version, error) { return New().Compile(document) }

// Compiler compiles successive documents. It parses a section again only if its
// text or position has changed. It is safe for concurrent use.
type Compiler struct {
	mu sync.Mutex
	// cache holds the last result for each section name.
	cache map[string]*parseResult
}

// New returns a Compiler with an empty cache.
func New() *Compiler { return &Compiler{cache: map[string]*parseResult{}} }

// parseResult is the result of parsing the text of one section. It is immutable.
type parseResult struct {
	section Section
	// file points to the structure of the section, see newFile.
	file      any
	positions *loader.Positions
	errors    loader.Errors
}

// Compile checks the whole document and returns the version compiled from it. A
// non-nil error is of type loader.Errors and holds every error found.
func (k *Compiler) Compile(document Document) (*Version, error) {
	c := &compilation{positions: map[string]*loader.Positions{}}
	c.Policy = policyEntry(DefaultPolicy())
	c.loadSections(k, document)
	c.buildIndex()
	c.checkBusinesses()
	c.checkAgents()
	c.checkBudgets()
	c.checkPrecedence()
	c.checkEndpoints()
	c.checkServices()
	c.checkOperators()
	c.checkKeyHashes()
	if err := c.errors.Err(); err != nil {
		return nil, err
	}
	return c.newVersion(document.Number), nil
}

// parseCached returns the cached result if the section is unchanged, and parses it
// otherwise.
func (k *Compiler) parseCached(section Section) *parseResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	if last, ok := k.cache[section.Name]; ok && last.section == section {
		return last
	}
	r := parseSection(section)
	if r.file != nil {
		k.cache[section.Name] = r
	}
	return r
}

func parseSection(section Section) *parseResult {
	at := loader.Position{File: section.File, Line: max(section.Line, 1), Column: 1}
	r := &parseResult{section: section, file: newFile(section.Name)}
	if r.file == nil {
		r.errors.Add(at, section.Name, "unknown section %q", section.Name)
		return r
	}
	positions, err := loader.Load(sourceOf(section), r.file)
	r.positions = positions
	if r.rejectMarkers(at) {
		return r
	}
	r.errors = loader.AsErrors(err)
	if err == nil && !positions.Contains(section.Name) {
		r.errors.Add(at, section.Name, "the text must begin with %s:", section.Name)
	}
	return r
}

// compilation is the state of one call of Compile.
type compilation struct {
	content
	index
	positions map[string]*loader.Positions
	errors    loader.Errors
}

func (c *compilation) loadSections(k *Compiler, document Document) {
	seen := map[string]loader.Position{}
	for _, section := range document.Sections {
		at := loader.Position{File: section.File, Line: max(section.Line, 1), Column: 1}
		if first, duplicate := seen[section.Name]; duplicate {
			c.errors.Add(at, section.Name, "section %s is given twice, first at %s", section.Name, first)
			continue
		}
		seen[section.Name] = at
		r := k.parseCached(section)
		c.errors = append(c.errors, r.errors...)
		if r.positions != nil {
			c.positions[section.Name] = r.positions
		}
		c.setSection(r.file)
	}
}

// rejectMarkers records an error if the section has a document marker. A marker
// would end the document when the sections are joined into one file.
func (r *parseResult) rejectMarkers(at loader.Position) bool {
	for i, line := range strings.Split(r.section.Text, "\n") {
		if isDocumentMarker(line) {
			at.Line += i
			r.errors.Add(at, r.section.Name, "document markers are not supported")
			return true
		}
	}
	return false
}

// position returns the position of the value at the path, which begins with the
// name of the section.
func (c *compilation) position(path string) loader.Position {
	section, _, _ := strings.Cut(path, "[")
	if positions := c.positions[section]; positions != nil {
		return positions.At(path)
	}
	return loader.Position{}
}

func (c *compilation) fail(path, format string, args ...any) {
	c.errors.Add(c.position(path), path, format, args...)
}

// fieldPath returns the path of a field of the i-th entry of a section.
func fieldPath(section string, i int, name string) string {
	return fmt.Sprintf("%s[%d].%s", section, i, name)
}

// firstPaths maps each key to the path of its first occurrence.
type firstPaths map[string]string

// checkUnique records an error if the key is a duplicate, and its path otherwise.
func (c *compilation) checkUnique(paths firstPaths, key, path, description string) {
	if first, duplicate := paths[key]; duplicate {
		c.fail(path, "%s is given twice, first at %s", description, c.position(first))
		return
	}
	paths[key] = path
}

func (c *compilation) newVersion(number int64) *Version {
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

func (c *compilation) addBusinesses(v *Version) {
	for _, e := range c.Businesses {
		v.Businesses[e.Name] = &Business{
			Name: e.Name, Weight: e.Weight, RetryShare: e.RetryShare, KeyHashes: slices.Clone(e.KeyHashes),
		}
	}
}

func (c *compilation) addAgents(v *Version) {
	for _, e := range c.Agents {
		v.Agents[AgentName(e.Business, e.Name)] = &Agent{
			Business: e.Business, Name: e.Name, Model: e.Model, Adapter: e.Adapter,
			Instructions: e.Instructions, MaxTurns: e.MaxTurns, MaxOutput: e.MaxOutput,
			MaxHistory: e.MaxHistory, WallLimit: e.WallLimit, IdleTimeout: e.IdleTimeout,
			ToolPause: e.ToolPause,
		}
	}
}

func (c *compilation) addBudgets(v *Version) {
	for _, e := range c.Budgets {
		if e.Agent == "" {
			v.Businesses[e.Business].Budget = e.Tokens
			continue
		}
		v.Agents[AgentName(e.Business, e.Agent)].Budget = e.Tokens
	}
}

// addPrecedence ranks agent programs from 1 in the order of the document. All
// programs that it does not list share the last rank.
func (c *compilation) addPrecedence(v *Version) {
	orders := map[string][]string{}
	for _, e := range c.Precedence {
		orders[e.Business] = e.Order
	}
	for _, agent := range v.Agents {
		order := orders[agent.Business]
		rank := slices.Index(order, agent.Name)
		if rank < 0 {
			rank = len(order)
		}
		agent.Precedence = rank + 1
	}
}
