package connector

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const priorities = int(storer.PrioritySweep) + 1

// gate lets requests pass at a rate, the most urgent first.
type gate struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	waiting [priorities][]chan struct{}
	armed   bool
}

func newGate() *gate {
	return &gate{limiter: rate.NewLimiter(rate.Inf, leastBurst)}
}

func (g *gate) setRate(limit rate.Limit) {
	g.limiter.SetLimit(limit)
	g.limiter.SetBurst(max(leastBurst, int(limit/leastBurst)))
}

// wait returns once the request may be sent, or storer.ErrUnavailable when ctx ends first.
func (g *gate) wait(ctx context.Context, p storer.Priority) error {
	passed := g.enter(p)
	if passed == nil {
		return nil
	}
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		g.leave(p, passed)
		return fmt.Errorf("%w: rate limit: %w", storer.ErrUnavailable, ctx.Err())
	}
}

// allow lets a request pass only if it need not wait.
func (g *gate) allow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.first() < 0 && g.limiter.Allow()
}

// enter returns nil if the request may pass at once, or else a channel that is
// closed when it may.
func (g *gate) enter(p storer.Priority) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.first() < 0 && g.limiter.Allow() {
		return nil
	}
	passed := make(chan struct{})
	g.waiting[p] = append(g.waiting[p], passed)
	g.arm()
	return passed
}

func (g *gate) leave(p storer.Priority, passed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiting[p] {
		if w == passed {
			g.waiting[p] = append(g.waiting[p][:i], g.waiting[p][i+1:]...)
			return
		}
	}
}

// first returns the most urgent priority that has a waiting request, or -1.
func (g *gate) first() int {
	for p := range g.waiting {
		if len(g.waiting[p]) > 0 {
			return p
		}
	}
	return -1
}

// arm reserves the next token for whichever request is then the most urgent.
func (g *gate) arm() {
	if g.armed || g.first() < 0 {
		return
	}
	g.armed = true
	time.AfterFunc(g.limiter.Reserve().Delay(), g.grant)
}

func (g *gate) grant() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	p := g.first()
	if p < 0 {
		return
	}
	close(g.waiting[p][0])
	g.waiting[p] = g.waiting[p][1:]
	g.arm()
}
