// Package rationer keeps the limits that endpoints state for the requests of all
// instances together. A request to an endpoint with a limit needs a permit, which one
// instance issues for all: the one with the highest rendezvous hash for the endpoint.
//
// If that instance does not answer, the next one stands in for it at a fraction of the
// rate, so that the limit holds although instances may disagree about who is reachable.
// If neither answers, there is no permit.
package rationer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	methodIssue = "IssuePermit"
	// callTimeout limits the call to an issuer. Instances are a few milliseconds apart.
	callTimeout = 150 * time.Millisecond
	// unreachableTimeout is how long an issuer that did not answer is not called.
	unreachableTimeout = time.Second
	// maxIssuers is the number of instances that issue permits for an endpoint: the
	// first and its substitute.
	maxIssuers = 2
	// maxPause limits for how long an instance to which a permit was denied asks for no
	// other one.
	maxPause = time.Second
	// idleTimeout is how long the state of an endpoint is kept after its last use.
	idleTimeout = time.Minute
)

var eventIssuerUnreachable = logger.Define(5080, "PermitIssuerUnreachable", log.WarnLevel,
	"the instance that issues the permits for an endpoint with a limit did not answer",
	"None, if the instance was stopped; otherwise see its log.")

// Members selects the issuers of permits.
type Members interface {
	// Ranking returns the n members with the highest hashes for the key, highest first.
	// Instances with the same list of members get the same order, whatever they can reach.
	Ranking(key string, n int) []discoverer.Member
	// Count returns the number of live members.
	Count() int
	// IsCurrent reports whether this instance is in the other instances' lists.
	IsCurrent() bool
	Self() discoverer.Member
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// Request asks an issuer for a permit.
type Request struct {
	// Process identifies the process of the endpoint.
	Process string `cbor:"1,keyasint"`
	// Rate is the endpoint's limit in requests a second, and Age the time since it was
	// stated.
	Rate float64       `cbor:"2,keyasint"`
	Age  time.Duration `cbor:"3,keyasint"`
	// MaxWait is how long the request can wait for its permit to become valid.
	MaxWait time.Duration `cbor:"4,keyasint"`
}

// Response is the issuer's response to a Request.
type Response struct {
	IsGranted bool `cbor:"1,keyasint"`
	// Wait is the time until the permit becomes valid, or until one may be available.
	Wait time.Duration `cbor:"2,keyasint"`
}

// Rationer issues permits and gets them from other instances. It is safe for concurrent
// use.
type Rationer struct {
	members Members
	caller  Caller
	log     *logger.Logger
	count   func(result string)

	mu sync.Mutex
	// schedules are those of the endpoints for which this instance issued permits.
	schedules map[string]*schedule
	// deniedUntil is, by endpoint, the time until which this instance asks for no permit
	// without a wait, and unreachableUntil, by instance, that until which it isn't called.
	deniedUntil      map[string]time.Time
	unreachableUntil map[string]time.Time
}

// Option sets one property of a Rationer.
type Option func(*Rationer)

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(r *Rationer) { r.log = l } }

// WithCounter sets the function that counts requests for permits by result: Granted,
// Delayed, Denied or Unreachable.
func WithCounter(count func(result string)) Option { return func(r *Rationer) { r.count = count } }

// New returns a Rationer.
func New(members Members, caller Caller, options ...Option) *Rationer {
	r := &Rationer{
		members: members, caller: caller, log: logger.Discard(), count: func(string) {},
		schedules: map[string]*schedule{}, deniedUntil: map[string]time.Time{}, unreachableUntil: map[string]time.Time{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Handlers returns the handlers of calls from other instances, by method.
func (r *Rationer) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodIssue: messenger.Handle(func(_ context.Context, in Request) (Response, error) { return r.issue(in), nil }),
	}
}

// Permit gets a permit for a request to the candidate, which has a limit. The request
// must be sent once the returned time has passed, which is at most maxWait. If no permit
// is granted, one may be available after the returned time.
func (r *Rationer) Permit(ctx context.Context, c registrar.Candidate, maxWait time.Duration) (wait time.Duration, isGranted bool) {
	process := c.Process()
	if wait := r.pauseOf(process); wait > 0 && maxWait == 0 {
		return wait, false
	}
	in := Request{Process: process, Rate: c.Limit.Rate, Age: c.LimitAge, MaxWait: maxWait}
	for _, m := range r.members.Ranking(process, maxIssuers) {
		out, ok := r.ask(ctx, m, in)
		if !ok {
			continue
		}
		switch {
		case !out.IsGranted:
			r.count("Denied")
			r.pause(process, out.Wait, c.Limit.Rate, r.members.Count())
		case out.Wait > 0:
			r.count("Delayed")
		default:
			r.count("Granted")
		}
		return out.Wait, out.IsGranted
	}
	r.count("Unreachable")
	return unreachableTimeout, false
}

// ask asks one issuer. It reports whether the issuer has answered.
func (r *Rationer) ask(ctx context.Context, m discoverer.Member, in Request) (Response, bool) {
	if m.Instance == r.members.Self().Instance {
		return r.issue(in), true
	}
	r.mu.Lock()
	isUnreachable := time.Now().Before(r.unreachableUntil[m.Instance])
	r.mu.Unlock()
	if isUnreachable {
		return Response{}, false
	}
	out, err := r.call(ctx, m, in)
	if errors.Is(err, messenger.ErrStale) && ctx.Err() == nil {
		out, err = r.call(ctx, m, in)
	}
	if err != nil {
		if ctx.Err() == nil {
			r.mu.Lock()
			r.unreachableUntil[m.Instance] = time.Now().Add(unreachableTimeout)
			r.mu.Unlock()
			r.log.Log(eventIssuerUnreachable, "Issuer", m.Instance, "Process", in.Process, "Cause", err)
		}
		return Response{}, false
	}
	return out, true
}

func (r *Rationer) call(ctx context.Context, m discoverer.Member, in Request) (out Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = r.caller.Call(ctx, m.Address, methodIssue, in, &out)
	return out, err
}

// issue issues a permit on this instance. An instance that is not the first in its own
// list, or that others may have dropped from theirs, is a substitute.
func (r *Rationer) issue(in Request) Response {
	first := r.members.Ranking(in.Process, 1)
	isSubstitute := len(first) == 0 || first[0].Instance != r.members.Self().Instance || !r.members.IsCurrent()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.schedules[in.Process]
	if s == nil {
		r.lockedRemoveIdle(now)
		s = &schedule{next: now}
		r.schedules[in.Process] = s
	}
	s.update(in.Rate, now.Add(-in.Age))
	wait, isTaken := s.reserve(now, in.MaxWait, isSubstitute)
	return Response{IsGranted: isTaken, Wait: wait}
}

// pauseOf returns for how long this instance asks for no permit of the endpoint.
func (r *Rationer) pauseOf(process string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.deniedUntil[process])
}

// pause sets for how long this instance asks for no permit of the endpoint after one was
// denied: until the next is available, and for a random time, so that all instances
// together ask about twice as often as permits are available.
func (r *Rationer) pause(process string, wait time.Duration, rate float64, instances int) {
	spread := time.Duration(float64(instances) / max(rate, minRate) * float64(time.Second))
	pause := min(wait+rand.N(min(spread, maxPause)+1), maxPause)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deniedUntil[process] = time.Now().Add(pause)
}

// lockedRemoveIdle removes what was not used for a while.
func (r *Rationer) lockedRemoveIdle(now time.Time) {
	for process, s := range r.schedules {
		if now.Sub(s.next) > idleTimeout {
			delete(r.schedules, process)
		}
	}
	for _, times := range []map[string]time.Time{r.deniedUntil, r.unreachableUntil} {
		for key, until := range times {
			if now.After(until) {
				delete(times, key)
			}
		}
	}
}
