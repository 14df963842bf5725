package connector

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const priorityCount = int(storer.PrioritySweep) + 1

// priorityLimiter lets requests pass at a rate, the most urgent first.
type priorityLimiter struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	queues [priorityCount][]chan struct{}
	scheduled   bool
}

func newPriorityLimiter() *priorityLimiter {
	return &priorityLimiter{limiter: rate.NewLimiter(rate.Inf, minBurst)}
}

func (l *priorityLimiter) setRate(limit rate.Limit) {
	l.limiter.SetLimit(limit)
	l.limiter.SetBurst(max(minBurst, int(limit/minBurst)))
}

// wait returns once the request may be sent, or storer.ErrUnavailable when ctx ends first.
func (l *priorityLimiter) wait(ctx context.Context, p storer.Priority) error {
	granted := l.acquire(p)
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		l.remove(p, granted)
		return fmt.Errorf("%w: rate limit: %w", storer.ErrUnavailable, ctx.Err())
	}
}

// allow lets a request pass only if it need not wait.
func (l *priorityLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.topPriority() < 0 && l.limiter.Allow()
}

// acquire returns nil if the request may pass at once, or else a channel that is
// closed when it may.
func (l *priorityLimiter) acquire(p storer.Priority) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.topPriority() < 0 && l.limiter.Allow() {
		return nil
	}
	granted := make(chan struct{})
	l.queues[p] = append(l.queues[p], granted)
	l.scheduleGrant()
	return granted
}

func (l *priorityLimiter) remove(p storer.Priority, granted chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.queues[p] {
		if w == granted {
			l.queues[p] = append(l.queues[p][:i], l.queues[p][i+1:]...)
			return
		}
	}
}

// topPriority returns the most urgent priority that has a waiting request, or -1.
func (l *priorityLimiter) topPriority() int {
	for p := range l.queues {
		if len(l.queues[p]) > 0 {
			return p
		}
	}
	return -1
}

// scheduleGrant reserves the next token for whichever request is then the most urgent.
func (l *priorityLimiter) scheduleGrant() {
	if l.scheduled || l.topPriority() < 0 {
		return
	}
	l.scheduled = true
	time.AfterFunc(l.limiter.Reserve().Delay(), l.grant)
}

func (l *priorityLimiter) grant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduled = false
	p := l.topPriority()
	if p < 0 {
		return
	}
	close(l.queues[p][0])
	l.queues[p] = l.queues[p][1:]
	l.scheduleGrant()
}
