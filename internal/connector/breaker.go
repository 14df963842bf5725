package connector

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of failures in a row that opens the breaker.
	failureThreshold = 5
	minOpenTime      = 250 * time.Millisecond
	maxOpenTime    = time.Second
)

// breaker refuses requests for a while after several failures in a row, and
// then lets one through to find out whether the platform answers again.
type breaker struct {
	mu       sync.Mutex
	failures int
	openTime     time.Duration
	openUntil    time.Time
	probing  bool
}

// allow says whether a request may be sent; if so, done or
// abandon must follow.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	if b.probing || time.Now().Before(b.openUntil) {
		return false
	}
	b.probing = true
	return true
}

// record notes whether the platform answered.
func (b *breaker) record(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if answered {
		b.failures = 0
		b.openTime = 0
		return
	}
	b.failures++
	if b.failures >= failureThreshold {
		b.openTime = min(max(minOpenTime, 2*b.openTime), maxOpenTime)
		b.openUntil = time.Now().Add(b.openTime)
	}
}

// cancel notes that the caller gave up, which says nothing about the platform.
func (b *breaker) cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
