// Package registrar owns what an instance knows of the endpoints: which are
// registered, how loaded they are, and which to avoid after failures. It does
// not own where the registrations come from, nor the choice of an endpoint.
package registrar

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// loadLife is how long a reported load is used; an endpoint that serves
	// answers several times a second, so that an older one says little.
	loadLife = 2 * time.Second
	// noteLife is how old a reported load may be that is told to other instances.
	noteLife = 500 * time.Millisecond
	// avoidLeast and avoidMost bound how long an endpoint is avoided after
	// consecutive failures; the time doubles with each.
	avoidLeast = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
	// toldLeast and toldSpread are how long an endpoint is avoided after another
	// instance's failure. The spread lets one instance try before the others.
	toldLeast  = 300 * time.Millisecond
	toldSpread = 1200 * time.Millisecond
	// tellHops is how often a failure is told on: to a bookkeeper, and by it. A
	// failure that went round would never grow old, as each hop adds its delay.
	tellHops = 2
)

// Load is what an endpoint says of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Candidate is an endpoint as a choice needs it.
type Candidate struct {
	Endpoint
	// Load estimates the requests that it has, running or waiting.
	Load float64
	// Outstanding is the number of those that this instance sent.
	Outstanding int
	// Age is that of the reported load that went into Load; negative if none did.
	Age time.Duration
	// Avoid is true while recent requests failed there.
	Avoid bool
}

// Outcome is how a request to an endpoint ended.
type Outcome int

// The outcomes.
const (
	// Served means that the endpoint answered as it should.
	Served Outcome = iota
	// Failed means that it could not be reached or broke off.
	Failed
	// Neutral says nothing about the endpoint, such as a caller that left.
	Neutral
)

type entry struct {
	Endpoint
	own int
	// ownAtReport is own as of the report.
	ownAtReport int
	load        Load
	reported    time.Time
	failures    int
	avoidUntil  time.Time
	// failed is when a request failed last, here or at an instance that told so;
	// hops is how often it was told on, and toldUntil until when the endpoint is
	// avoided for it.
	failed    time.Time
	hops      int
	toldUntil time.Time
}

// isAvoided says whether requests failed lately. Another instance's failure says
// nothing once an answer came after it.
func (e *entry) isAvoided(now time.Time) bool {
	return now.Before(e.avoidUntil) || (now.Before(e.toldUntil) && e.failed.After(e.reported))
}

// Registry is the set of registered endpoints. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	byID     map[string]*entry
	services map[string][]*entry
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{byID: map[string]*entry{}, services: map[string][]*entry{}}
}

// Changes tells endpoints that came from those that are gone or leaving.
type Changes struct {
	Added   []Endpoint
	Leaving []Endpoint
	Removed []Endpoint
}

// Replace makes the endpoints the whole set. One that started anew under its
// old ID keeps nothing of what was known of it.
func (r *Registry) Replace(endpoints []Endpoint) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes Changes
	byID := make(map[string]*entry, len(endpoints))
	services := map[string][]*entry{}
	for _, e := range endpoints {
		known := r.byID[e.ID]
		if known == nil || !known.Started.Equal(e.Started) || known.Address != e.Address {
			changes.Added = append(changes.Added, e)
			known = &entry{Endpoint: e}
		} else if e.Leaving && !known.Leaving {
			changes.Leaving = append(changes.Leaving, e)
		}
		known.Endpoint = e
		byID[e.ID] = known
		services[e.Service] = append(services[e.Service], known)
	}
	for id, known := range r.byID {
		if byID[id] == nil {
			changes.Removed = append(changes.Removed, known.Endpoint)
		}
	}
	r.byID, r.services = byID, services
	return changes
}

// Endpoints returns the registered endpoints.
func (r *Registry) Endpoints() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoints := make([]Endpoint, 0, len(r.byID))
	for _, e := range r.byID {
		endpoints = append(endpoints, e.Endpoint)
	}
	return endpoints
}

// Candidates returns the service's endpoints that take new work.
func (r *Registry) Candidates(service string) []Candidate {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := make([]Candidate, 0, len(r.services[service]))
	for _, e := range r.services[service] {
		if !e.Leaving {
			candidates = append(candidates, e.candidate(now))
		}
	}
	return candidates
}

func (e *entry) candidate(now time.Time) Candidate {
	c := Candidate{Endpoint: e.Endpoint, Load: float64(e.own), Outstanding: e.own, Age: -1, Avoid: e.isAvoided(now)}
	if age := now.Sub(e.reported); !e.reported.IsZero() && age <= loadLife {
		c.Age = age
		c.Load = max(c.Load, float64(e.load.Running+e.load.Waiting+e.own-e.ownAtReport))
	}
	return c
}

// IsRegistered says whether the endpoint is still the one registered under its ID.
func (r *Registry) IsRegistered(endpoint Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[endpoint.ID]
	return e != nil && e.Started.Equal(endpoint.Started) && e.Address == endpoint.Address
}

// Begin counts a request that is being sent to the endpoint.
func (r *Registry) Begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		e.own++
	}
}

// End counts the end of a request that Begin counted.
func (r *Registry) End(id string, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil {
		return
	}
	// An endpoint that was registered anew meanwhile counts from zero.
	e.own = max(e.own-1, 0)
	switch outcome {
	case Served:
		e.failures = 0
	case Failed:
		e.failures++
		e.failed, e.hops = time.Now(), 0
		pause := min(avoidLeast<<min(e.failures-1, 10), avoidMost)
		e.avoidUntil = time.Now().Add(pause)
	case Neutral:
	}
}

// Report takes the load that an endpoint told with an answer.
func (r *Registry) Report(id string, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		e.load, e.reported, e.ownAtReport = load, time.Now(), e.own
	}
}

// Observation is what one instance tells another of an endpoint: its load as reported,
// and the last failure.
type Observation struct {
	ID      string        `cbor:"1,keyasint"`
	Running int           `cbor:"2,keyasint"`
	Waiting int           `cbor:"3,keyasint"`
	Slots   int           `cbor:"4,keyasint"`
	Age     time.Duration `cbor:"5,keyasint"`
	// HasFailed is true if a request failed lately, FailedAge ago.
	HasFailed bool          `cbor:"6,keyasint,omitempty"`
	FailedAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Hops is how often the failure was told on, this time included.
	Hops int `cbor:"8,keyasint,omitempty"`
}

// Observations returns what became known lately.
func (r *Registry) Observations() []Observation {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var notes []Observation
	for id, e := range r.byID {
		age, failedAge := now.Sub(e.reported), now.Sub(e.failed)
		hasFailed := failedAge <= noteLife && e.hops < tellHops
		if age <= noteLife || hasFailed {
			notes = append(notes, Observation{
				ID: id, Running: e.load.Running, Waiting: e.load.Waiting, Slots: e.load.Slots, Age: age,
				HasFailed: hasFailed, FailedAge: failedAge, Hops: e.hops + 1,
			})
		}
	}
	return notes
}

// Merge takes the notes of another instance where they are newer.
func (r *Registry) Merge(notes []Observation) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range notes {
		e := r.byID[n.ID]
		if at := now.Add(-n.Age); e != nil && at.After(e.reported) {
			e.load = Load{Running: n.Running, Waiting: n.Waiting, Slots: n.Slots}
			e.reported, e.ownAtReport = at, e.own
		}
		if at := now.Add(-n.FailedAge); e != nil && n.HasFailed && at.After(e.failed) {
			e.failed, e.hops = at, n.Hops
			e.toldUntil = at.Add(toldLeast + rand.N(toldSpread))
		}
	}
}
