// Package quarantiner finds out which endpoints ended, and with which requests.
package quarantiner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// checkDelay is the time from the first request that broke off at a process to the
	// check whether it has ended. Requests that break off within it are reported together.
	checkDelay = 20 * time.Millisecond
	// checkTimeout limits the check. An endpoint accepts or refuses a connection within a
	// few milliseconds.
	checkTimeout = 300 * time.Millisecond
	// breakMemory is how long a request that broke off counts among those that a process
	// had when it ended.
	breakMemory = time.Second
)

var eventEndpointEnded = logger.Define(5007, "EndpointEnded", log.WarnLevel,
	"requests to an endpoint broke off and it refuses connections; its process has ended",
	"Find out why the process ended. Keys that occur with several endpoints are requests that may have caused it.")

// Prober checks endpoints.
type Prober interface {
	// IsRefusing reports whether the address refuses connections. It is false if the
	// address does not respond.
	IsRefusing(ctx context.Context, address netip.AddrPort) bool
}

// run is one execution of a request that broke off.
type run struct {
	key Key
	// sentAt is when the request was sent, brokenAt when its connection failed.
	sentAt, brokenAt time.Time
}

// Quarantiner is safe for concurrent use.
type Quarantiner struct {
	prober Prober
	log    *logger.Logger

	mu sync.Mutex
	// broken holds the runs that broke off at processes that are not known to have ended.
	broken map[string][]run
}

// Option sets one property of a Quarantiner.
type Option func(*Quarantiner)

// WithLogger sets the logger of events.
func WithLogger(l *logger.Logger) Option { return func(q *Quarantiner) { q.log = l } }

// New returns a Quarantiner.
func New(prober Prober, options ...Option) *Quarantiner {
	q := &Quarantiner{prober: prober, log: logger.Discard(), broken: map[string][]run{}}
	for _, option := range options {
		option(q)
	}
	return q
}

// RecordBreak records that a request with the key, sent at the time, broke off at the
// endpoint, and checks whether the endpoint's process has ended.
func (q *Quarantiner) RecordBreak(key Key, endpoint registrar.Endpoint, sentAt time.Time) {
	process := endpoint.Process()
	q.mu.Lock()
	defer q.mu.Unlock()
	isChecked := len(q.broken[process]) > 0
	q.broken[process] = append(q.broken[process], run{key: key, sentAt: sentAt, brokenAt: time.Now()})
	if !isChecked {
		time.AfterFunc(checkDelay, func() { q.check(endpoint) })
	}
}

func (q *Quarantiner) check(endpoint registrar.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	hasEnded := q.prober.IsRefusing(ctx, endpoint.Address)
	process := endpoint.Process()
	q.mu.Lock()
	runs := q.broken[process]
	delete(q.broken, process)
	q.mu.Unlock()
	if !hasEnded {
		return
	}
	keys := make([]string, 0, len(runs))
	for _, r := range runs {
		if time.Since(r.brokenAt) <= breakMemory {
			keys = append(keys, r.key.String())
		}
	}
	q.log.Log(eventEndpointEnded, "Endpoint", endpoint.ID, "Service", endpoint.Service, "Started", endpoint.Started, "Keys", keys)
}
