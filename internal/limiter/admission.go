package limiter

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the time after which a dispatch counts half in the drain
	// rate.
	drainHalfLife = 10 * time.Second
	// minDrainDispatches is the number of dispatches before which the drain rate is not
	// yet trusted and all requests are admitted.
	minDrainDispatches = 4
	// minRetryAfter and comeBackMaximum bound the time that a refused caller is asked
	// to wait.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// AdmissionController refuses requests that would not be served in time. It expects a
// request to wait for all requests before it at the rate at which the queue
// has drained lately while it was not empty.
type AdmissionController struct {
	// dispatched and busy are the dispatches and the seconds with a backlog, both
	// fading with the same half-life.
	dispatched     float64
	backlogSeconds float64
	updated        time.Time
	backlogged     bool
	// totalDispatched counts all dispatches.
	totalDispatched int
}

// NewAdmissionController returns a Feasibility that has seen no dispatch.
func NewAdmissionController() *AdmissionController { return &AdmissionController{} }

// SetBacklog notes whether requests wait from now on.
func (f *AdmissionController) SetBacklog(now time.Time, waiting int) {
	f.decay(now)
	f.backlogged = waiting > 0
}

// RecordDispatch notes that a request which had waited was dispatched.
func (f *AdmissionController) RecordDispatch(now time.Time) {
	f.decay(now)
	f.dispatched++
	f.totalDispatched++
}

// ExpectedWait returns the expected wait of the request at the position, from 1, and
// false while too few dispatches have been seen.
func (f *AdmissionController) ExpectedWait(now time.Time, position int) (time.Duration, bool) {
	f.decay(now)
	if f.totalDispatched < minDrainDispatches || f.backlogSeconds <= 0 {
		return 0, false
	}
	seconds := float64(position) * f.backlogSeconds / f.dispatched
	return toDuration(seconds), true
}

// Admit says whether a request at the position that can wait for left may
// enter the queue, and if not, after what time the caller should come back. A
// left of zero means that the caller waits without bound.
func (f *AdmissionController) Admit(now time.Time, position int, left time.Duration) (time.Duration, bool) {
	wait, known := f.ExpectedWait(now, position)
	if !known || left <= 0 || wait <= left {
		return 0, true
	}
	return min(max(wait-left, minRetryAfter), maxRetryAfter), false
}

// decay fades the figures and counts the time with a backlog.
func (f *AdmissionController) decay(now time.Time) {
	elapsed := now.Sub(f.updated)
	if f.updated.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	f.updated = now
	if !f.backlogged {
		return
	}
	fade := math.Exp2(-float64(elapsed) / float64(drainHalfLife))
	f.dispatched *= fade
	f.backlogSeconds = f.backlogSeconds*fade + elapsed.Seconds()
}

// toDuration converts seconds without overflow.
func toDuration(seconds float64) time.Duration {
	const maxWait = 24 * time.Hour
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}
