package rerouter

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// Run probes for a better path to the store until ctx ends. A probe does not wait for
// the previous ones: a silent store answers none of those that it was sent, and the
// first one after its return must not be delayed by their timeouts.
func (r *Rerouter) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	direct, relayed := make(chan struct{}, maxDirectProbes), make(chan struct{}, 1)
	// start runs a probe unless its limit of concurrent probes is reached.
	start := func(running chan struct{}, probe func(context.Context)) {
		select {
		case running <- struct{}{}:
			probes.Go(func() {
				defer func() { <-running }()
				probe(ctx)
			})
		default:
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if path, _ := r.Path(); path == Direct {
				continue
			}
			if r.isLost() {
				start(relayed, r.probeRelays)
			}
		case <-r.probeRequests:
		}
		start(direct, func(ctx context.Context) {
			if r.probeDirect(ctx); r.isLost() {
				start(relayed, r.probeRelays)
			}
		})
	}
}

// probeDirect updates the path by a read that need not find any row. While the path
// is Direct, it takes several failures to change it.
func (r *Rerouter) probeDirect(ctx context.Context) {
	for range maxDirectFailures {
		err := r.callDirect(ctx, probe, func(ctx context.Context) error {
			_, err := r.direct.List(ctx, probeRange)
			return err
		})
		if isResponse(err) || ctx.Err() != nil {
			return
		}
		if path, _ := r.Path(); path != Direct {
			return
		}
	}
}

func (r *Rerouter) isLost() bool {
	path, _ := r.Path()
	return path == Lost
}

// isFirstSearch reports whether the path may be Lost only until the first search for a relay ends.
func (r *Rerouter) isFirstSearch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.relaysFailed && time.Since(r.lostAt) <= relaySearch
}

// probeRelays looks for an instance that reaches the store. The path stays Lost if
// there is none.
func (r *Rerouter) probeRelays(ctx context.Context) {
	_ = r.callRelays(ctx, operation{name: "Probe"}, r.relayRead(methodList, relayList{Range: probeRange}, new(storer.Page)))
}

// requestProbe makes Run probe the store.
func (r *Rerouter) requestProbe() {
	select {
	case r.probeRequests <- struct{}{}:
	default:
	}
}

// setPath records the path of the last call and reports a change.
func (r *Rerouter) setPath(to Path, cause error) {
	r.mu.Lock()
	from := r.path
	r.path = to
	if to != Lost {
		r.lastResponse, r.relaysFailed = time.Now(), false
	}
	if from != to {
		r.updateRerouted(to)
	}
	if from != Lost && to == Lost {
		r.lostAt = time.Now()
	}
	if from == Lost && to != Lost {
		if to == Direct || time.Since(r.lostAt) > relaySearch {
			r.awayAt = time.Now()
		}
		close(r.restored)
		r.restored = make(chan struct{})
	}
	r.mu.Unlock()
	if from != to {
		r.onPathChange(from, to, cause)
	}
}

// updateRerouted closes rerouted for a Relayed path and replaces it for a Direct
// one. The caller holds the lock.
func (r *Rerouter) updateRerouted(to Path) {
	isClosed := false
	select {
	case <-r.rerouted:
		isClosed = true
	default:
	}
	switch {
	case to == Relayed && !isClosed:
		close(r.rerouted)
	case to == Direct && isClosed:
		r.rerouted = make(chan struct{})
	}
}

// awaitPath waits until the path is not Lost, and at most for the given time. It reports whether
// there is a path.
func (r *Rerouter) awaitPath(ctx context.Context, wait time.Duration) bool {
	r.mu.Lock()
	path, restored := r.path, r.restored
	r.mu.Unlock()
	if path != Lost {
		return path == Relayed
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-restored:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
