package connector

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failures that opens the breaker.
	failureThreshold = 5
	// The open time starts at minOpenTime and doubles up to maxOpenTime.
	minOpenTime = 250 * time.Millisecond
	maxOpenTime = time.Second
)

// breaker is a circuit breaker. After failureThreshold consecutive failures it is
// open for a time, and then admits one request as a probe. It closes when a request
// succeeds. It is safe for concurrent use.
type breaker struct {
	mu        sync.Mutex
	failures  int
	openTime  time.Duration
	openUntil time.Time
	probing   bool
}

// allow reports whether a request may be sent. If so, the caller must call record
// or cancel afterwards.
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

// record records whether the platform answered a request.
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

// cancel records that the caller canceled a request, which counts neither as a
// success nor as a failure.
func (b *breaker) cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
