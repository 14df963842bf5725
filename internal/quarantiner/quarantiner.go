// Package quarantiner finds the requests that crash the endpoints that run them, and keeps
// them from further endpoints for some time.
//
// An instance whose requests break off at an endpoint checks whether the endpoint's process
// has ended, and reports the requests that it had there to the bookkeepers, which collect
// those of all instances. attribute decides which requests, or which targets of requests, are
// the cause. Once all instances were asked when they last served it, a cause is quarantined:
// no instance sends it while the quarantine lasts. The responses of bookkeepers carry the
// quarantines to all instances, before these send the turn for which they asked.
//
// Nothing of it is stored. Crashes are forgotten after a time, and their number is bounded.
package quarantiner

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// checkDelay is the time from the first request that broke off at a process to the
	// check whether it has ended. Requests that break off within it are reported together.
	checkDelay = 20 * time.Millisecond
	// checkTimeout limits the check. An instance that is cut off from the endpoint needs the
	// timeout of a connection before it asks others.
	checkTimeout = 1500 * time.Millisecond
	// maxChecks is the number of checks in all if their time is up without a result, as on a
	// busy host.
	maxChecks = 3
	// breakMemory is by how much a request may have broken off before the last one to count
	// among those that a process had when it ended.
	breakMemory = 3 * time.Second
	// retention is how long a crash is remembered, and how long a quarantine lasts after
	// the last crash.
	retention = 5 * time.Minute
	// maxCrashes and maxRequests limit the crashes that are remembered, and the requests
	// of each; beyond them the oldest crash is forgotten, and further requests are.
	maxCrashes  = 128
	maxRequests = 32
	// attributionAge is how old the suspicions may be before they are derived anew, so that
	// they end in time and without further crashes.
	attributionAge = time.Second
	// aliveMargin is the time after a crash from which a response of the process shows
	// that it has not ended. Responses before the crash are reported late by others.
	aliveMargin = 300 * time.Millisecond
)

var (
	eventEndpointEnded = logger.Define(5007, "EndpointEnded", log.WarnLevel,
		"requests to an endpoint broke off and it refuses connections; its process has ended",
		"Find out why the process ended. Keys that occur with several endpoints are requests that may have caused it.")
	eventQuarantined = logger.Define(5100, "RequestQuarantined", log.WarnLevel,
		"a request crashed endpoints one after the other and is sent to no other one for a time",
		"Find the request by its Key in lines 5002 and 5003, and why endpoints crash under it.")
	eventReleased = logger.Define(5101, "QuarantineEnded", log.InfoLevel,
		"a request that crashed endpoints may be sent again", "None.")
)

// Prober checks endpoints.
type Prober interface {
	// IsRefusing reports whether the address refuses connections. It is false if the
	// address does not respond.
	IsRefusing(ctx context.Context, address netip.AddrPort) bool
}

// Registry knows which endpoints respond.
type Registry interface {
	// HasRespondedSince reports whether the process responded to an instance after the
	// time.
	HasRespondedSince(process string, at time.Time) bool
}

// Members lists the instances.
type Members interface {
	Bookkeepers(program string) []discoverer.Member
	// Others returns the live instances other than this one.
	Others() []discoverer.Member
	Self() discoverer.Member
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// run is one execution of a request that broke off.
type run struct {
	request Identity
	// sentAt is when the request was sent, brokenAt when its connection failed.
	sentAt, brokenAt time.Time
}

// quarantine is the state of a request that is not sent.
type quarantine struct {
	until   time.Time
	crashes int
	// lastAt is the time of its last crash.
	lastAt time.Time
}

// Quarantiner keeps crashes and quarantines. It is safe for concurrent use.
type Quarantiner struct {
	prober   Prober
	registry Registry
	members  Members
	caller   Caller
	log      *logger.Logger
	// withTimeout returns the contexts of calls.
	withTimeout Timeouts
	// isWatching is set while any request is under suspicion.
	isWatching atomic.Bool

	mu sync.Mutex
	// broken holds the runs that broke off at processes that are not known to have ended.
	broken map[string][]run
	// crashes holds the crashes by process.
	crashes map[string]crash
	// served is when a request under suspicion was last served.
	served map[Key]time.Time
	// suspicions is what follows from the crashes, and quarantines those requests among
	// them that are not sent.
	suspicions  map[Key]suspicion
	quarantines map[Key]quarantine
	// asked holds the causes about which the other instances were asked, and when;
	// confirmed those that none of them served.
	asked     map[Key]time.Time
	confirmed map[Key]bool
	// recent is when requests were last served here, whether under suspicion or not.
	recent       recentServices
	attributedAt time.Time
	// verdicts are those of other instances.
	verdicts map[Key]receivedVerdict
	// releases are the quarantines that ended early.
	releases map[Key]release
}

// Timeouts returns a context that ends after the timeout.
type Timeouts func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// Option sets one property of a Quarantiner.
type Option func(*Quarantiner)

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(q *Quarantiner) { q.log = l } }

// WithTimeouts sets the source of the timeouts of calls, context.WithTimeout by default.
func WithTimeouts(t Timeouts) Option { return func(q *Quarantiner) { q.withTimeout = t } }

// New returns a Quarantiner that knows no crashes.
func New(prober Prober, registry Registry, members Members, caller Caller, options ...Option) *Quarantiner {
	q := &Quarantiner{
		prober: prober, registry: registry, members: members, caller: caller, log: logger.Discard(), withTimeout: context.WithTimeout,
		broken: map[string][]run{}, crashes: map[string]crash{}, served: map[Key]time.Time{},
		suspicions: map[Key]suspicion{}, quarantines: map[Key]quarantine{}, verdicts: map[Key]receivedVerdict{}, releases: map[Key]release{}, asked: map[Key]time.Time{}, confirmed: map[Key]bool{},
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Status is what is known of a request.
type Status struct {
	// Crashes is the number of crashes, one after the other, that may be due to it.
	Crashes int
	// Left is how much longer it is not to be sent; zero if it may be sent.
	Left time.Duration
}

// IsWatching reports whether any request is under suspicion. Otherwise Find need not be called.
func (q *Quarantiner) IsWatching() bool { return q.isWatching.Load() }

// Find returns what is known of the request, and of its target.
func (q *Quarantiner) Find(request Identity) Status {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lockedRefresh(now)
	var status Status
	for _, key := range []Key{request.Key, request.Target} {
		left := max(q.quarantines[key].until.Sub(now), 0)
		crashes := q.suspicions[key].crashes
		if v, isKnown := q.verdicts[key]; isKnown && v.isValid(now) {
			crashes, left = max(crashes, v.Crashes), max(left, v.left(now))
		}
		status.Crashes, status.Left = max(status.Crashes, crashes), max(status.Left, left)
	}
	return status
}

// RecordBreak records that a request, sent at the time, broke off at the endpoint, and checks
// whether the endpoint's process has ended.
func (q *Quarantiner) RecordBreak(request Identity, endpoint registrar.Endpoint, sentAt time.Time) {
	process := endpoint.Process()
	q.mu.Lock()
	defer q.mu.Unlock()
	isChecked := len(q.broken[process]) > 0
	if len(q.broken[process]) < maxRequests {
		q.broken[process] = append(q.broken[process], run{request: request, sentAt: sentAt, brokenAt: time.Now()})
	}
	if !isChecked {
		time.AfterFunc(checkDelay, func() { q.check(endpoint, 1) })
	}
}

// check records a crash if the endpoint's process has ended, and reports it. The number is that
// of the check.
func (q *Quarantiner) check(endpoint registrar.Endpoint, number int) {
	ctx, cancel := q.withTimeout(context.Background(), checkTimeout)
	defer cancel()
	hasEnded := q.prober.IsRefusing(ctx, endpoint.Address)
	if !hasEnded && ctx.Err() != nil && number < maxChecks {
		time.AfterFunc(checkDelay, func() { q.check(endpoint, number+1) })
		return
	}
	process := endpoint.Process()
	q.mu.Lock()
	// The check itself may take long on a busy host.
	var last time.Time
	for _, r := range q.broken[process] {
		if r.brokenAt.After(last) {
			last = r.brokenAt
		}
	}
	runs := slices.DeleteFunc(q.broken[process], func(r run) bool { return last.Sub(r.brokenAt) > breakMemory })
	delete(q.broken, process)
	if !hasEnded || len(runs) == 0 {
		q.mu.Unlock()
		return
	}
	c := crash{at: runs[0].brokenAt, sent: map[Key]sending{}}
	keys := make([]string, 0, len(runs))
	for _, r := range runs {
		keys = append(keys, r.request.Key.String())
		if r.sentAt.After(c.sent[r.request.Key].at) {
			c.sent[r.request.Key] = sending{at: r.sentAt, target: r.request.Target}
		}
	}
	q.lockedAdd(process, c)
	q.lockedAttribute()
	q.mu.Unlock()
	q.log.Log(eventEndpointEnded, "Endpoint", endpoint.ID, "Service", endpoint.Service, "Started", endpoint.Started, "Keys", keys)
	q.send(report{Crashes: []reportedCrash{encodeCrash(process, c, time.Now())}})
}

// lockedAdd adds a crash, or its requests to those known of the same crash.
func (q *Quarantiner) lockedAdd(process string, c crash) {
	known, isKnown := q.crashes[process]
	if !isKnown {
		known = crash{at: c.at, sent: map[Key]sending{}}
	}
	for key, sent := range c.sent {
		if known.has(key) || len(known.sent) < maxRequests {
			if sent.at.After(known.sent[key].at) {
				known.sent[key] = sent
			}
		}
	}
	if c.at.Before(known.at) {
		known.at = c.at
	}
	q.crashes[process] = known
	if len(q.crashes) <= maxCrashes {
		return
	}
	oldest := process
	for p, other := range q.crashes {
		if other.at.Before(q.crashes[oldest].at) {
			oldest = p
		}
	}
	delete(q.crashes, oldest)
}

// RecordServed records that an endpoint responded to the request. The crashes before it have
// another cause.
func (q *Quarantiner) RecordServed(request Identity) {
	now := time.Now()
	var cleared []reportedService
	q.mu.Lock()
	q.recent.add(request, now)
	for _, key := range []Key{request.Key, request.Target} {
		_, isSuspected := q.suspicions[key]
		_, isReceived := q.verdicts[key]
		if isSuspected || isReceived {
			q.served[key] = now
			delete(q.verdicts, key)
			cleared = append(cleared, reportedService{Key: key})
		}
	}
	if len(cleared) > 0 {
		q.lockedAttribute()
	}
	q.mu.Unlock()
	if len(cleared) > 0 {
		q.send(report{Served: cleared})
	}
}

// lockedRefresh derives the suspicions anew if they are old.
func (q *Quarantiner) lockedRefresh(now time.Time) {
	if now.Sub(q.attributedAt) > attributionAge {
		q.lockedAttribute()
	}
}

// lockedAttribute forgets what is old and derives the suspicions and quarantines anew.
func (q *Quarantiner) lockedAttribute() {
	now := time.Now()
	q.attributedAt = now
	q.lockedForget(now)
	crashes := slices.Collect(maps.Values(q.crashes))
	// A known cause stays one until it is served, or until too few of its crashes are left.
	for key, known := range q.quarantines {
		left := 0
		for _, c := range crashes {
			if c.hasAny(map[Key]bool{key: true}) {
				left++
			}
		}
		if left < minCrashes || q.served[key].After(known.lastAt) {
			delete(q.confirmed, key)
		}
	}
	q.suspicions = attribute(crashes, q.served, q.confirmed)
	for key := range q.confirmed {
		if !q.suspicions[key].isCause {
			delete(q.confirmed, key)
		}
	}
	q.lockedQuarantine(now)
	if unconfirmed := q.lockedUnconfirmed(now); len(unconfirmed) > 0 {
		go q.confirm(unconfirmed)
	}
	q.isWatching.Store(len(q.suspicions)+len(q.verdicts)+len(q.releases) > 0)
}

// lockedForget forgets what is old, and crashes of processes that respond.
func (q *Quarantiner) lockedForget(now time.Time) {
	maps.DeleteFunc(q.crashes, func(process string, c crash) bool {
		return now.Sub(c.at) > retention || q.registry.HasRespondedSince(process, c.at.Add(aliveMargin))
	})
	maps.DeleteFunc(q.verdicts, func(_ Key, v receivedVerdict) bool { return !v.isValid(now) })
	maps.DeleteFunc(q.served, func(_ Key, at time.Time) bool { return now.Sub(at) > retention })
	maps.DeleteFunc(q.asked, func(_ Key, at time.Time) bool { return now.Sub(at) > retention })
	maps.DeleteFunc(q.releases, func(_ Key, r release) bool { return now.Sub(r.at) > releaseMemory })
}

// lockedQuarantine replaces the quarantines by those of the confirmed causes.
func (q *Quarantiner) lockedQuarantine(now time.Time) {
	before := q.quarantines
	q.quarantines = map[Key]quarantine{}
	for key := range q.confirmed {
		s := q.suspicions[key]
		until := s.lastAt.Add(retention)
		if !until.After(now) {
			continue
		}
		q.quarantines[key] = quarantine{until: until, crashes: s.crashes, lastAt: s.lastAt}
		if _, isKnown := before[key]; !isKnown {
			q.log.Log(eventQuarantined, "Key", key, "Crashes", s.crashes, "Until", until, "Source", "Own")
		}
	}
	for key, old := range before {
		if _, isKept := q.quarantines[key]; isKept {
			continue
		}
		q.log.Log(eventReleased, "Key", key, "Crashes", old.crashes)
		if old.until.After(now) {
			q.lockedRelease(key, 0)
		}
	}
}

// lockedUnconfirmed returns the causes about which the other instances are to be asked now.
func (q *Quarantiner) lockedUnconfirmed(now time.Time) []Key {
	var keys []Key
	for key, s := range q.suspicions {
		if s.isCause && !q.confirmed[key] && now.Sub(q.asked[key]) >= askInterval {
			q.asked[key] = now
			keys = append(keys, key)
		}
	}
	return keys
}
