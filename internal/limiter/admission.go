package limiter

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the time after which a dispatch counts half in the drain
	// rate.
	drainHalfLife = 10 * time.Second
	// drainMinimum is the number of dispatches before which the drain rate is not
	// yet trusted and all requests are admitted.
	drainMinimum = 4
	// comeBackMinimum and comeBackMaximum bound the time that a refused caller is asked
	// to wait.
	comeBackMinimum = time.Second
	comeBackMaximum = time.Minute
)

// AdmissionController refuses requests that would not be served in time. It expects a
// request to wait for all requests before it at the rate at which the queue
// has drained lately while it was not empty.
type AdmissionController struct {
	// dispatched and busy are the dispatches and the seconds with a backlog, both
	// fading with the same half-life.
	dispatched float64
	busy       float64
	seen       time.Time
	backlogged bool
	// total counts all dispatches.
	total int
}

// NewAdmissionController returns a Feasibility that has seen no dispatch.
func NewAdmissionController() *AdmissionController { return &AdmissionController{} }

// SetBacklog notes whether requests wait from now on.
func (f *AdmissionController) SetBacklog(now time.Time, waiting int) {
	f.advance(now)
	f.backlogged = waiting > 0
}

// RecordDispatch notes that a request which had waited was dispatched.
func (f *AdmissionController) RecordDispatch(now time.Time) {
	f.advance(now)
	f.dispatched++
	f.total++
}

// ExpectedWait returns the expected wait of the request at the position, from 1, and
// false while too few dispatches have been seen.
func (f *AdmissionController) ExpectedWait(now time.Time, position int) (time.Duration, bool) {
	f.advance(now)
	if f.total < drainMinimum || f.busy <= 0 {
		return 0, false
	}
	seconds := float64(position) * f.busy / f.dispatched
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
	return min(max(wait-left, comeBackMinimum), comeBackMaximum), false
}

// advance fades the figures and counts the time with a backlog.
func (f *AdmissionController) advance(now time.Time) {
	elapsed := now.Sub(f.seen)
	if f.seen.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	f.seen = now
	if !f.backlogged {
		return
	}
	fade := math.Exp2(-float64(elapsed) / float64(drainHalfLife))
	f.dispatched *= fade
	f.busy = f.busy*fade + elapsed.Seconds()
}

// toDuration converts seconds without overflow.
func toDuration(seconds float64) time.Duration {
	const most = 24 * time.Hour
	if seconds >= most.Seconds() {
		return most
	}
	return time.Duration(seconds * float64(time.Second))
}
