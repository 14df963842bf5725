package limiter

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the half-life of a dispatch's weight in the drain rate.
	drainHalfLife = 10 * time.Second
	// minDrainDispatches is the number of dispatches that an estimate of the drain
	// rate needs; before that all requests are admitted.
	minDrainDispatches = 4
	// minRetryAfter and maxRetryAfter bound the wait proposed to a refused caller.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// AdmissionController refuses requests that would not be served before their
// deadline. It estimates the wait of a request from its position in the queue
// and the rate at which the queue has recently drained while it was not empty.
type AdmissionController struct {
	// dispatched and backlogSeconds count the dispatches and the seconds with a
	// backlog; both decay with drainHalfLife while there is a backlog.
	dispatched     float64
	backlogSeconds float64
	updated        time.Time
	backlogged     bool
	// totalDispatched counts all dispatches, without decay.
	totalDispatched int
}

// NewAdmissionController returns an AdmissionController without any recorded
// dispatch.
func NewAdmissionController() *AdmissionController { return &AdmissionController{} }

// SetBacklog sets the number of requests that wait from now on.
func (c *AdmissionController) SetBacklog(now time.Time, waiting int) {
	c.decay(now)
	c.backlogged = waiting > 0
}

// RecordDispatch records the dispatch of a request that had waited.
func (c *AdmissionController) RecordDispatch(now time.Time) {
	c.decay(now)
	c.dispatched++
	c.totalDispatched++
}

// ExpectedWait returns the expected wait of the request at the position in the
// queue, from 1, or false before minDrainDispatches dispatches.
func (c *AdmissionController) ExpectedWait(now time.Time, position int) (time.Duration, bool) {
	c.decay(now)
	if c.totalDispatched < minDrainDispatches || c.backlogSeconds <= 0 {
		return 0, false
	}
	seconds := float64(position) * c.backlogSeconds / c.dispatched
	return toDuration(seconds), true
}

// Admit reports whether a request at the position whose caller waits at most left
// may enter the queue, and if not, after what time the caller should retry. A
// left of zero or less means that the caller has no deadline.
func (c *AdmissionController) Admit(now time.Time, position int, left time.Duration) (time.Duration, bool) {
	wait, known := c.ExpectedWait(now, position)
	if !known || left <= 0 || wait <= left {
		return 0, true
	}
	return min(max(wait-left, minRetryAfter), maxRetryAfter), false
}

// decay applies the decay since the last update and adds the time with a backlog.
func (c *AdmissionController) decay(now time.Time) {
	elapsed := now.Sub(c.updated)
	if c.updated.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	c.updated = now
	if !c.backlogged {
		return
	}
	weight := math.Exp2(-float64(elapsed) / float64(drainHalfLife))
	c.dispatched *= weight
	c.backlogSeconds = c.backlogSeconds*weight + elapsed.Seconds()
}

// toDuration converts seconds to a duration of at most maxWait, so that the
// conversion does not overflow.
func toDuration(seconds float64) time.Duration {
	const maxWait = 24 * time.Hour
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}
