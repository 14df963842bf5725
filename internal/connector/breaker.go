package connector

import (
	"sync"
	"time"
)

const (
	// failuresToOpen is the number of failures in a row that opens the breaker.
	failuresToOpen = 5
	firstOpen      = 250 * time.Millisecond
	longestOpen    = time.Second
)

// breaker refuses requests for a while after several failures in a row, and
// then lets one through to find out whether the platform answers again.
type breaker struct {
	mu       sync.Mutex
	failures int
	open     time.Duration
	until    time.Time
	probing  bool
}

// allow says whether a request may be sent; if so, done or
// abandon must follow.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failuresToOpen {
		return true
	}
	if b.probing || time.Now().Before(b.until) {
		return false
	}
	b.probing = true
	return true
}

// done notes whether the platform answered.
func (b *breaker) done(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if answered {
		b.failures = 0
		b.open = 0
		return
	}
	b.failures++
	if b.failures >= failuresToOpen {
		b.open = min(max(firstOpen, 2*b.open), longestOpen)
		b.until = time.Now().Add(b.open)
	}
}

// abandon notes that the caller gave up, which says nothing about the platform.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
