package stopper

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of the last durations that are kept of a kind of request, and
	// minSamples the number from which they say what to expect.
	maxSamples = 128
	minSamples = 10
	// maxKinds bounds the memory. The routes of a configuration are some tens.
	maxKinds = 1000
	// percentRepeatable and percentUnrepeatable are the percentages of the last requests that took
	// as long as what is expected, or less. A request that is interrupted costs its caller more if it
	// can't just be repeated; one that is refused costs it an attempt at another instance.
	percentRepeatable   = 80
	percentUnrepeatable = 99
)

// kind is the kind of a request; route is empty for all of a service.
type kind struct{ service, route string }

// samples holds the last durations; next is the index that is replaced next.
type samples struct {
	durations []time.Duration
	next      int
}

// Durations learns how long requests take at endpoints. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[kind]*samples
}

// NewDurations returns a Durations that knows nothing.
func NewDurations() *Durations { return &Durations{kinds: map[kind]*samples{}} }

// Record records how long a request of the route took at an endpoint of the service.
func (d *Durations) Record(service, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range []kind{{service, route}, {service: service}} {
		s := d.kinds[k]
		if s == nil {
			if len(d.kinds) >= maxKinds {
				clear(d.kinds) // Most are of routes that are gone.
			}
			s = &samples{}
			d.kinds[k] = s
		}
		if len(s.durations) < maxSamples {
			s.durations = append(s.durations, took)
			continue
		}
		s.durations[s.next] = took
		s.next = (s.next + 1) % maxSamples
	}
}

// Expected returns the time in which an endpoint of the service serves most requests of the
// route, and nearly all of those that can't just be repeated. If few of the route are known, it is that of
// the service's requests; zero if few of these are known, too.
func (d *Durations) Expected(service, route string, isRepeatable bool) time.Duration {
	percent := percentUnrepeatable
	if isRepeatable {
		percent = percentRepeatable
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range []kind{{service, route}, {service: service}} {
		if s := d.kinds[k]; s != nil && len(s.durations) >= minSamples {
			sorted := slices.Sorted(slices.Values(s.durations))
			return sorted[(len(sorted)-1)*percent/100]
		}
	}
	return 0
}
