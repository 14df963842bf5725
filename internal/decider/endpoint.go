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
	// resolvedStatus is the status of a call that an operator resolved as executed.
	resolvedStatus = http.StatusOK
	// maxRefusalsPerModel is how many queued turns of a model may find no endpoint
	// in a dispatch round before the model's other turns are skipped. It is above 1
	// because a full endpoint still accepts programs whose prefix it caches.
	maxRefusalsPerModel = 64
	// minRetryAfter and maxRetryAfter bound the Retry-After of an overloaded instance.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// endpoint is what the instance knows of an endpoint and has in flight there.
type endpoint struct {
	name string
	view EndpointView
	// inFlight maps the attempts in flight to when they were sent.
	inFlight map[string]time.Time
	// measuredAt is when the last load report was measured.
	measuredAt time.Time
}

// sentSinceReport returns the number of attempts in flight that were sent after
// the last load report was measured.
func (e *endpoint) sentSinceReport() int {
	count := 0
	for _, sent := range e.inFlight {
		if sent.After(e.measuredAt) {
			count++
		}
	}
	return count
}

// load returns the calls in flight, by which replicas are ordered. The replica to
// avoid sorts last.
func (e *endpoint) load(avoid string) int {
	if e.name == avoid {
		return math.MaxInt
	}
	return len(e.inFlight)
}

func (c *Core) endpoint(name string) *endpoint {
	e := c.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, inFlight: map[string]time.Time{}, view: EndpointView{Name: name, Usable: true, Ramp: 1, GapRatio: 1}}
		c.endpoints[name] = e
	}
	return e
}

func (c *Core) endpointsChanged(views []EndpointView) {
	for _, view := range views {
		e := c.endpoint(view.Name)
		e.view = view
		if view.Fresh {
			e.measuredAt = time.Now().Add(-view.Age)
		}
	}
}

func (c *Core) prefixEvicted(e PrefixEvicted) {
	if p := c.programByID(e.Program); p != nil {
		delete(p.live.cachedTokens, e.Endpoint)
	}
}

// dispatchQueued dispatches queued turns until no endpoint accepts one.
func (c *Core) dispatchQueued() {
	now := time.Now()
	refused := map[string]int{}
	for c.queue.Len() > 0 {
		var target *endpoint
		item, ok := c.queue.Next(now, func(item queuer.Item) bool {
			if refused[item.Model] >= maxRefusalsPerModel {
				return false
			}
			t := c.turns[item.ID]
			if now.Before(t.notBefore) {
				return false
			}
			target = c.pickEndpoint(t, item.Urgent)
			if target == nil {
				refused[item.Model]++
			}
			return target != nil
		})
		if !ok {
			return
		}
		c.feasibility.RecordDispatch(now)
		c.dispatchTurn(c.turns[item.ID], target)
	}
}

// pickEndpoint returns the endpoint for the turn, or nil if the turn has to wait.
func (c *Core) pickEndpoint(t *activeTurn, urgent bool) *endpoint {
	candidates, targets := c.candidates(t, t.avoidEndpoint)
	if len(candidates) == 0 {
		candidates, targets = c.candidates(t, "")
	}
	if len(candidates) == 0 {
		return nil
	}
	index, ok := c.router.Pick(router.Request{
		Program: t.program.id, PromptTokens: t.worstCase - t.maxTokens, MaxTokens: t.maxTokens, LastEndpoint: t.program.live.lastEndpoint, Urgent: urgent,
	}, candidates)
	if !ok {
		return nil
	}
	return targets[index]
}

func (c *Core) candidates(t *activeTurn, avoid string) ([]router.Candidate, []*endpoint) {
	var candidates []router.Candidate
	var targets []*endpoint
	for _, spec := range c.engines(t.agent.Model) {
		if spec.Name == avoid || spec.Leaving {
			continue
		}
		if t.resumeOffset > 0 && spec.Name != t.endpoint {
			continue
		}
		e := c.endpoint(spec.Name)
		if !e.view.Usable {
			continue
		}
		candidates = append(candidates, c.candidate(e, spec, t.program))
		targets = append(targets, e)
	}
	if len(candidates) == 0 && t.resumeOffset > 0 {
		t.clearResume()
		return c.candidates(t, t.endpoint)
	}
	return candidates, targets
}

func (c *Core) candidate(e *endpoint, spec *compiler.Endpoint, p *program) router.Candidate {
	slots := e.view.Slots
	if slots == 0 {
		slots = spec.Slots
	}
	return router.Candidate{
		Endpoint: e.name, Local: spec.DataCentre == c.settings.dataCentre,
		Running: e.view.Running, Waiting: e.view.Waiting, Slots: slots, ReportAge: e.view.Age,
		Outstanding: len(e.inFlight), SentSinceReport: e.sentSinceReport(), PrefixTokens: p.live.cachedTokens[e.name],
		Ramp: e.view.Ramp, GapRatio: e.view.GapRatio,
	}
}

// engines returns the endpoints that serve the model, in name order. The lists are
// cached per version of the document.
func (c *Core) engines(model string) []*compiler.Endpoint {
	if c.enginesVersion != c.version {
		c.enginesVersion = c.version
		c.enginesByModel = map[string][]*compiler.Endpoint{}
		for _, name := range sortedKeys(c.version.Endpoints) {
			spec := c.version.Endpoints[name]
			for _, served := range spec.Models {
				c.enginesByModel[served] = append(c.enginesByModel[served], spec)
			}
		}
	}
	return c.enginesByModel[model]
}

// retryAfter returns how long the turns queued now are expected to wait.
func (c *Core) retryAfter() time.Duration {
	wait, known := c.feasibility.ExpectedWait(time.Now(), c.queue.Len())
	if !known {
		return minRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// checkFeasible returns an error if the queued turn is not expected to be
// dispatched before its deadline.
func (c *Core) checkFeasible(t *activeTurn) *answerer.Error {
	latest := t.latestDeadline()
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
	return answerer.New(answerer.Infeasible, "the turn is not expected to leave the queue before its deadline").WithRetryAfter(after)
}
