package decider

import (
	"math"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/router"
)

const (
	// resolvedStatus is the status of a call that an operator says has landed.
	resolvedStatus = http.StatusOK
	// shortestDrain and longestDrain bound the time to come back.
	shortestDrain = time.Second
	longestDrain  = 30 * time.Second
)

// endpoint is this instance's account of one endpoint.
type endpoint struct {
	name        string
	view        EndpointView
	outstanding int
	// sinceReport counts the attempts in flight that the last load report
	// cannot know of; report numbers the reports.
	sinceReport int
	report      int
}

func (e *endpoint) sent() {
	e.outstanding++
	e.sinceReport++
}

// landed takes out an attempt that was sent after the report with the number.
func (e *endpoint) landed(report int) {
	e.outstanding = max(0, e.outstanding-1)
	if report == e.report {
		e.sinceReport = max(0, e.sinceReport-1)
	}
}

// load orders replicas; one to be avoided comes last.
func (e *endpoint) load(avoid string) int {
	if e.name == avoid {
		return math.MaxInt
	}
	return e.outstanding
}

func (c *Core) endpoint(name string) *endpoint {
	e := c.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, view: EndpointView{Name: name, Usable: true, Ramp: 1, GapRatio: 1}}
		c.endpoints[name] = e
	}
	return e
}

func (c *Core) endpointsChanged(views []EndpointView) {
	for _, view := range views {
		e := c.endpoint(view.Name)
		e.view = view
		if view.Fresh {
			e.sinceReport = 0
			e.report++
		}
	}
}

func (c *Core) evicted(e Evicted) {
	if p := c.programByID(e.Program); p != nil {
		delete(p.live.prefix, e.Endpoint)
	}
}

// pump sends waiting turns for as long as endpoints take them.
func (c *Core) pump() {
	now := time.Now()
	full := map[string]bool{}
	for c.queue.Len() > 0 {
		var target *endpoint
		item, ok := c.queue.Next(now, func(item queuer.Item) bool {
			if full[item.Model] {
				return false
			}
			t := c.turns[item.ID]
			target = c.pick(t)
			full[item.Model] = target == nil && t.resume == 0 && t.avoid == ""
			return target != nil
		})
		if !ok {
			return
		}
		c.feasibility.Dispatched(now)
		c.send(c.turns[item.ID], target)
	}
}

// pick returns the endpoint for the turn, or nil if it had better wait.
func (c *Core) pick(t *activeTurn) *endpoint {
	candidates, targets := c.candidates(t, t.avoid)
	if len(candidates) == 0 {
		candidates, targets = c.candidates(t, "")
	}
	if len(candidates) == 0 {
		return nil
	}
	index, ok := c.router.Pick(router.Request{
		Program: t.program.id, PromptTokens: t.worst - t.maxTokens, MaxTokens: t.maxTokens, Last: t.program.live.last,
	}, candidates)
	if !ok {
		return nil
	}
	return targets[index]
}

func (c *Core) candidates(t *activeTurn, avoid string) ([]router.Candidate, []*endpoint) {
	var candidates []router.Candidate
	var targets []*endpoint
	for _, described := range c.engines(t.agent.Model) {
		if described.Name == avoid || described.Leaving {
			continue
		}
		if t.resume > 0 && described.Name != t.endpoint {
			continue
		}
		e := c.endpoint(described.Name)
		if !e.view.Usable {
			continue
		}
		candidates = append(candidates, c.candidate(e, described, t.program))
		targets = append(targets, e)
	}
	if len(candidates) == 0 && t.resume > 0 {
		t.restart()
		return c.candidates(t, t.endpoint)
	}
	return candidates, targets
}

func (c *Core) candidate(e *endpoint, described *compiler.Endpoint, p *program) router.Candidate {
	slots := e.view.Slots
	if slots == 0 {
		slots = described.Slots
	}
	return router.Candidate{
		Endpoint: e.name, Local: described.DataCentre == c.settings.dataCentre,
		Running: e.view.Running, Waiting: e.view.Waiting, Slots: slots, ReportAge: e.view.Age,
		Outstanding: e.outstanding, SinceReport: e.sinceReport, PrefixTokens: p.live.prefix[e.name],
		Ramp: e.view.Ramp, GapRatio: e.view.GapRatio,
	}
}

// engines returns the endpoints that serve the model, in name order; the list
// is made once per version of the document.
func (c *Core) engines(model string) []*compiler.Endpoint {
	if c.enginesOf != c.version {
		c.enginesOf = c.version
		c.enginesByModel = map[string][]*compiler.Endpoint{}
		for _, name := range sortedKeys(c.version.Endpoints) {
			described := c.version.Endpoints[name]
			for _, served := range described.Models {
				c.enginesByModel[served] = append(c.enginesByModel[served], described)
			}
		}
	}
	return c.enginesByModel[model]
}

// drainTime returns when the queue that stands now should be served.
func (c *Core) drainTime() time.Duration {
	wait, known := c.feasibility.Wait(time.Now(), c.queue.Len())
	if !known {
		return shortestDrain
	}
	return min(max(wait, shortestDrain), longestDrain)
}

// infeasible returns the refusal of a queued turn that would not be served by
// its callers' deadline, or nil.
func (c *Core) infeasible(t *activeTurn) *answerer.Error {
	latest := t.latest()
	if latest.IsZero() {
		return nil
	}
	now := time.Now()
	left := latest.Sub(now)
	if _, ok := c.feasibility.Admit(now, c.queue.Len(), left); ok {
		return nil
	}
	after, ok := c.feasibility.Admit(now, c.queue.Position(now, t.id), left)
	if ok {
		return nil
	}
	return answerer.New(answerer.Infeasible, "the turn would still wait at its deadline").After(after)
}
