// Package registrar keeps the endpoints that an instance knows: their
// registrations, their loads, and recent failures. Package follower supplies the
// registrations and package chooser selects an endpoint from the candidates.
package registrar

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// loadMaxAge is how long a reported load is used. An active endpoint reports
	// several times a second, so an older load is unreliable.
	loadMaxAge = 2 * time.Second
	// observationMaxAge is the maximum age of loads and failures that are sent to
	// other instances.
	observationMaxAge = 500 * time.Millisecond
	// avoidMin and avoidMax are the bounds of the time for which an endpoint is
	// avoided after consecutive failures; it doubles with each failure.
	avoidMin = 250 * time.Millisecond
	avoidMax = 4 * time.Second
	// remoteAvoidMin and remoteAvoidJitter determine how long an endpoint is avoided
	// after a request of another instance failed. The jitter lets one instance
	// retry before the others.
	remoteAvoidMin    = 300 * time.Millisecond
	remoteAvoidJitter = 1200 * time.Millisecond
	// announcementMemory is how long an announcement is remembered after the endpoint's
	// registration is gone. A registration that lapsed during an outage of the store
	// returns within seconds of its end.
	announcementMemory = 10 * time.Minute
	// maxHops is how often a failure is forwarded: to a bookkeeper, and by it. A
	// failure forwarded without limit would never expire, as the time spent in
	// transit does not add to its age.
	maxHops = 2
)

// Load is the load that an endpoint reports with a response.
type Load struct {
	Running int
	Waiting int
	// Slots is the number of requests that the endpoint runs at once; 0 if it states none.
	Slots int
	// Pace is how long work takes on the endpoint's machine at the moment, in multiples of
	// the usual time; 0 if the endpoint does not state it.
	Pace float64
}

// Candidate is an endpoint that may be selected for a request.
type Candidate struct {
	Endpoint
	// Load estimates the number of running and waiting requests of the endpoint.
	Load float64
	// Outstanding is the number of requests that this instance sent and that have
	// not ended.
	Outstanding int
	// Age is the age of the reported load that Load is based on; negative if there
	// is none.
	Age time.Duration
	// Pace is how long work takes on the endpoint's machine, as stated with that load, in
	// multiples of the usual time; 0 if it is not known.
	Pace float64
	// Speed is what is learned of the endpoint's speed.
	Speed Speed
	// IsInviting is true if the endpoint had a free place when a request of this instance
	// ended there.
	IsInviting bool
	// Avoid is true for some time after requests to the endpoint failed.
	Avoid bool
	// Limit is the limit that the endpoint stated last, and LimitAge the time since.
	Limit    Limit
	LimitAge time.Duration
	// IsFull is true if the endpoint would shed a request.
	IsFull bool
}

// Outcome is the result of a request, as evidence of the endpoint's health.
type Outcome int

const (
	// Served means that the endpoint responded as expected.
	Served Outcome = iota
	// Failed means that the endpoint could not be reached or failed the request.
	Failed
	// Neutral is no evidence of the endpoint's health, for example because the
	// caller canceled the request.
	Neutral
)

// entry is the state of one registered endpoint.
type entry struct {
	Endpoint
	outstanding int
	// outstandingAtReport is the value of outstanding when load was reported.
	outstandingAtReport int
	load                Load
	reportedAt          time.Time
	failures            int
	avoidUntil          time.Time
	// failedAt is the time of the last failure, on this or another instance; hops
	// is how often it was forwarded, and remoteAvoidUntil is the end of the time for
	// which the endpoint is avoided because of another instance's failure.
	failedAt         time.Time
	hops             int
	remoteAvoidUntil time.Time
	// announced is what the endpoint's process stated in its responses; never nil.
	announced *announcement
	changes
	learned
}

// accepts reports whether the endpoint accepts new requests.
func (e *entry) accepts() bool { return !e.Leaving && !e.announced.isLeaving() }

// isAvoided reports whether the endpoint is to be avoided after failures. Another
// instance's failure is ignored once the endpoint has reported a load after it.
func (e *entry) isAvoided(now time.Time) bool {
	return now.Before(e.avoidUntil) || (now.Before(e.remoteAvoidUntil) && e.failedAt.After(e.reportedAt))
}

// Registry is the set of registered endpoints with their loads and failures. It is
// safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	byID     map[string]*entry
	services map[string][]*entry
	centres  map[serviceCentre][]*entry
	means    map[string]meanLoad
	// invitations holds the endpoints that invite, by service, the last one at the end.
	invitations map[string][]invitation
	// changeCount is the number of changes of this instance, and toldTo how many of them
	// other instances were told.
	changeCount uint64
	toldTo      map[string]uint64
	// usual holds what work usually takes.
	usual map[workKind]*usual
	// announced holds what the processes of endpoints stated in their responses.
	announced map[process]*announcement
	// versionSeen holds when an endpoint with the version was last seen in the
	// registrations, and readAt when these were first read.
	versionSeen map[serviceVersion]time.Time
	readAt      time.Time
	// hasAllVersions is set if versionSeen has those before readAt, too.
	hasAllVersions bool
	// confirmedAt is when the last successful read of the registrations began.
	confirmedAt time.Time
	// capacities holds the queue capacities of the endpoints of services that shed.
	capacities map[string]queueCapacity
	// unevenAt is, by service, when one of its endpoints last stated an unusual pace.
	unevenAt map[string]time.Time
	// removed holds endpoints whose registrations have gone lately, by address.
	removed map[netip.AddrPort]removal
}

// process identifies one process of an endpoint. IDs are reused after a restart.
type process struct {
	id      string
	address netip.AddrPort
	// startedMillis is the start time in milliseconds since 1970.
	startedMillis int64
}

func processOf(e Endpoint) process {
	return process{id: e.ID, address: e.Address, startedMillis: e.Started.UnixMilli()}
}

// Process returns a text that identifies the endpoint's process.
func (e Endpoint) Process() string {
	return e.ID + "/" + e.Address.String() + "/" + strconv.FormatInt(e.Started.UnixMilli(), 10)
}

// HasRespondedSince reports whether the process, as returned by Endpoint.Process, is
// registered and responded to an instance after the time.
func (r *Registry) HasRespondedSince(process string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[idOf(process)]
	return e != nil && e.reportedAt.After(at) && e.Process() == process
}

// idOf returns the ID of the endpoint from a text that Endpoint.Process returned.
func idOf(process string) string {
	for range 2 {
		process = process[:max(strings.LastIndexByte(process, '/'), 0)]
	}
	return process
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		byID: map[string]*entry{}, services: map[string][]*entry{}, announced: map[process]*announcement{}, versionSeen: map[serviceVersion]time.Time{},
		means: map[string]meanLoad{}, invitations: map[string][]invitation{}, removed: map[netip.AddrPort]removal{}, unevenAt: map[string]time.Time{}, toldTo: map[string]uint64{}, usual: map[workKind]*usual{},
		capacities: map[string]queueCapacity{},
	}
}

// Changes lists the endpoints that a call of Registry.Replace has changed.
type Changes struct {
	Added   []Endpoint
	Leaving []Endpoint
	Removed []Endpoint
}

// Replace replaces the set of endpoints. The state of an endpoint that restarted
// under the same ID is discarded.
func (r *Registry) Replace(endpoints []Endpoint) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes Changes
	r.lockedRecordVersions(endpoints, time.Now())
	byID := make(map[string]*entry, len(endpoints))
	services, centres := map[string][]*entry{}, map[serviceCentre][]*entry{}
	for _, e := range endpoints {
		known := r.byID[e.ID]
		if known == nil || !known.Started.Equal(e.Started) || known.Address != e.Address {
			changes.Added = append(changes.Added, e)
			known = &entry{Endpoint: e, announced: r.announcementOf(processOf(e))}
		} else if e.Leaving && !known.Leaving {
			changes.Leaving = append(changes.Leaving, e)
		}
		known.Endpoint = e
		known.forgetOther(e.Version)
		byID[e.ID] = known
		services[e.Service] = append(services[e.Service], known)
		centre := serviceCentre{e.Service, e.DataCentre}
		centres[centre] = append(centres[centre], known)
	}
	for id, known := range r.byID {
		if byID[id] == nil {
			changes.Removed = append(changes.Removed, known.Endpoint)
		}
	}
	r.lockedRecordRemoved(changes.Removed, time.Now())
	r.byID, r.services, r.centres = byID, services, centres
	r.lockedDropInvitations()
	for p, a := range r.announced {
		if known := byID[p.id]; (known == nil || known.announced != a) && time.Since(a.lastAt()) > announcementMemory {
			delete(r.announced, p)
		}
	}
	return changes
}

// ReportLeave records that the endpoint stated in a response that it is leaving. It
// gets no more requests from this instance, whatever its registration says. A later
// process under the same ID is not concerned. It reports whether this is news.
func (r *Registry) ReportLeave(endpoint Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordLeave(processOf(endpoint))
}

func (r *Registry) recordLeave(p process) (isNew bool) {
	a := r.announcementOf(p)
	if a.isLeaving() {
		return false
	}
	a.leftAt = time.Now()
	return true
}

// Accepts reports whether the endpoint is still the one registered under its ID and
// accepts new requests.
func (r *Registry) Accepts(endpoint Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[endpoint.ID]
	return e != nil && processOf(e.Endpoint) == processOf(endpoint) && e.accepts()
}

// Find returns the endpoint that is registered under the ID.
func (r *Registry) Find(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
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

// Candidates returns the service's endpoints that accept new requests.
func (r *Registry) Candidates(service string) []Candidate {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := make([]Candidate, 0, len(r.services[service]))
	for _, e := range r.services[service] {
		if e.accepts() {
			c := e.candidate(now)
			c.IsFull = r.lockedIsFull(e, now)
			candidates = append(candidates, c)
		}
	}
	return candidates
}

func (e *entry) candidate(now time.Time) Candidate {
	c := Candidate{Endpoint: e.Endpoint, Load: float64(e.outstanding), Outstanding: e.outstanding, Age: -1, Avoid: e.isAvoided(now), Limit: e.announced.limit, LimitAge: now.Sub(e.announced.limitAt)}
	if age := now.Sub(e.reportedAt); !e.reportedAt.IsZero() && age <= loadMaxAge {
		c.Age, c.Pace = age, e.load.Pace
		c.Load = max(c.Load, float64(e.load.Running+e.load.Waiting+e.outstanding-e.outstandingAtReport))
	}
	return c
}

// Begin counts a request as outstanding at the endpoint.
func (r *Registry) Begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		e.outstanding++
		r.lockedRecordChange(e, 1)
	}
}

// End records the outcome of a request that Begin counted.
func (r *Registry) End(id string, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil {
		return
	}
	// The endpoint may have been registered again in the meantime, with no
	// outstanding requests.
	if e.outstanding > 0 {
		r.lockedRecordChange(e, -1)
	}
	e.outstanding = max(e.outstanding-1, 0)
	switch outcome {
	case Served:
		e.failures = 0
	case Failed:
		e.failures++
		e.failedAt, e.hops = time.Now(), 0
		pause := min(avoidMin<<min(e.failures-1, 10), avoidMax)
		e.avoidUntil = time.Now().Add(pause)
	case Neutral:
	}
}

// Report records the load that an endpoint reported with a response.
func (r *Registry) Report(id string, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		e.load, e.reportedAt, e.outstandingAtReport = load, time.Now(), e.outstanding
		r.lockedRecordPace(e)
	}
}

const (
	// unevenPace is by how much a stated pace differs from the usual one if the machine is
	// shared with other work.
	unevenPace = 0.1
	// unevenMemory is how long a service counts as uneven after such a pace.
	unevenMemory = 30 * time.Second
)

// lockedRecordPace records whether the endpoint stated an unusual pace with its load.
func (r *Registry) lockedRecordPace(e *entry) {
	if e.load.Pace > 0 && math.Abs(e.load.Pace-1) > unevenPace {
		r.unevenAt[e.Service] = e.reportedAt
	}
}

// IsUneven reports whether an endpoint of the service has stated an unusual pace lately: the
// endpoints share their machines with other work, so that their speeds differ.
func (r *Registry) IsUneven(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, isKnown := r.unevenAt[service]
	return isKnown && time.Since(at) <= unevenMemory
}

// Observation is one instance's knowledge of an endpoint, sent to other instances:
// the reported load and the last failure.
type Observation struct {
	ID      string        `cbor:"1,keyasint"`
	Running int           `cbor:"2,keyasint"`
	Waiting int           `cbor:"3,keyasint"`
	Slots   int           `cbor:"4,keyasint"`
	Age     time.Duration `cbor:"5,keyasint"`
	// HasFailed is true if a request failed recently, FailureAge ago.
	HasFailed  bool          `cbor:"6,keyasint,omitempty"`
	FailureAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Hops is how often the failure was forwarded, this time included.
	Hops int `cbor:"8,keyasint,omitempty"`
	// HasAnnouncedLeave is true if the process at Address, started at StartedMillis,
	// announced that it is leaving.
	HasAnnouncedLeave bool           `cbor:"9,keyasint,omitempty"`
	Address           netip.AddrPort `cbor:"10,keyasint,omitzero"`
	StartedMillis     int64          `cbor:"11,keyasint,omitempty"`
	// StatedLimit is the limit that this process stated last, if any, and the end of a
	// limit for some time; nil otherwise.
	StatedLimit *StatedLimit `cbor:"12,keyasint,omitempty"`
	// PacePercent is the pace that was stated with the load, in percent; zero for none.
	PacePercent int `cbor:"13,keyasint,omitempty"`
	// Changes are the requests of the sender that began, or if negative ended, since the
	// sender's last call: their ages in milliseconds, plus one.
	Changes []int `cbor:"14,keyasint,omitempty"`
	// Sum is by how much the load changed since it was reported, as far as the sender knows
	// as a bookkeeper.
	HasSum bool `cbor:"15,keyasint,omitempty"`
	Sum    int  `cbor:"16,keyasint,omitempty"`
	// StatedSpeed is what the sender has learned of the speed of the process that started at
	// StartedMillis; nil for nothing.
	StatedSpeed *StatedSpeed `cbor:"17,keyasint,omitempty"`
}

// Observations returns the recent loads and failures of endpoints, their limits, and the
// leaves that they announced and that their registrations do not state.
func (r *Registry) Observations() []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lockedObservations(addSum)
}

// lockedObservations returns the observations, to each of which add adds what is known of
// the changes since the report.
func (r *Registry) lockedObservations(add func(e *entry, o *Observation, now time.Time)) []Observation {
	now := time.Now()
	var observations []Observation
	for id, e := range r.byID {
		age, failureAge := now.Sub(e.reportedAt), now.Sub(e.failedAt)
		hasFailed := failureAge <= observationMaxAge && e.hops < maxHops
		isLeaving := e.announced.isLeaving() && !e.Leaving
		limit := e.announced.observation(now)
		o := Observation{
			ID: id, Running: e.load.Running, Waiting: e.load.Waiting, Slots: e.load.Slots, Age: age,
			HasFailed: hasFailed, FailureAge: failureAge, Hops: e.hops + 1, PacePercent: int(math.Round(e.load.Pace * percent)),
		}
		e.trim(e.reportedAt, now)
		add(e, &o, now)
		if age > observationMaxAge && !hasFailed && !isLeaving && limit == nil && len(o.Changes) == 0 {
			continue
		}
		if isLeaving || limit != nil {
			p := processOf(e.Endpoint)
			o.HasAnnouncedLeave, o.StatedLimit, o.Address, o.StartedMillis = isLeaving, limit, p.address, p.startedMillis
		}
		observations = append(observations, o)
	}
	r.lockedAddSpeeds(observations, now)
	return observations
}

// Merge applies observations of another instance that are newer than the known
// load or failure.
func (r *Registry) Merge(observations []Observation) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range observations {
		p := process{id: o.ID, address: o.Address, startedMillis: o.StartedMillis}
		if o.HasAnnouncedLeave {
			r.recordLeave(p)
		}
		if o.StatedLimit != nil {
			r.announcementOf(p).merge(*o.StatedLimit, now)
		}
		e := r.byID[o.ID]
		if at := now.Add(-o.Age); e != nil && at.After(e.reportedAt) {
			e.load = Load{Running: o.Running, Waiting: o.Waiting, Slots: o.Slots, Pace: float64(max(o.PacePercent, 0)) / percent}
			e.reportedAt, e.outstandingAtReport = at, e.outstanding
			r.lockedRecordPace(e)
		}
		if e != nil {
			e.mergeChanges(o, e.reportedAt, now)
		}
		if e != nil && o.StatedSpeed != nil && o.StartedMillis == e.Started.UnixMilli() {
			e.mergeSpeed(*o.StatedSpeed, e.Version, now)
		}
		if at := now.Add(-o.FailureAge); e != nil && o.HasFailed && at.After(e.failedAt) {
			e.failedAt, e.hops = at, o.Hops
			e.remoteAvoidUntil = at.Add(remoteAvoidMin + rand.N(remoteAvoidJitter))
		}
	}
}
