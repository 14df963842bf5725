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

// priorityLimiter limits the rate of requests. Waiting requests are admitted by
// priority, then in order of arrival. It is safe for concurrent use.
type priorityLimiter struct {
	mu        sync.Mutex
	limiter   *rate.Limiter
	queues    [priorityCount][]chan struct{}
	scheduled bool
}

func newPriorityLimiter() *priorityLimiter {
	return &priorityLimiter{limiter: rate.NewLimiter(rate.Inf, minBurst)}
}

// setRate sets the rate and a burst of limit/minBurst requests, but at least minBurst.
func (l *priorityLimiter) setRate(limit rate.Limit) {
	l.limiter.SetLimit(limit)
	l.limiter.SetBurst(max(minBurst, int(limit/minBurst)))
}

// wait blocks until the request may be sent. It returns storer.ErrUnavailable if ctx
// is done first.
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
		return fmt.Errorf("%w: waiting for the rate limit: %w", storer.ErrUnavailable, ctx.Err())
	}
}

// allow reports whether a request may be sent without waiting, and if so takes its
// token.
func (l *priorityLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.topPriority() < 0 && l.limiter.Allow()
}

// acquire returns nil if the request may be sent at once. Otherwise it queues the
// request and returns a channel that is closed when the request may be sent.
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

// topPriority returns the highest priority with a waiting request, or -1 if none waits.
func (l *priorityLimiter) topPriority() int {
	for p := range l.queues {
		if len(l.queues[p]) > 0 {
			return p
		}
	}
	return -1
}

// scheduleGrant reserves the next token. When it becomes available, grant gives it
// to the request that has the highest priority at that time.
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
