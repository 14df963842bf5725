package limiter

import (
	"math"
	"time"
)

const (
	// firstTokenTarget and gapTarget are the times that 95 in 100 generations
	// should keep.
	firstTokenTarget = 680 * time.Millisecond
	gapTarget        = 45 * time.Millisecond
	// prefillTokensPerSecond is the prefill that the first-token target allows for beside
	// its fixed part, in tokens a second.
	prefillTokensPerSecond = 4000
	// adjustInterval is the least time between two changes of a window.
	adjustInterval = time.Second
	// windowDecreaseFactor is the factor that a window shrinks by.
	windowDecreaseFactor = 0.85
	// maxLateShare is the share of late observations above which a window shrinks.
	maxLateShare = 0.2
	// minWindow is the smallest window.
	minWindow = 1
)

// ConcurrencyWindow bounds the concurrent generations of one endpoint. It grows by one
// while it is used up and its generations are in time, and shrinks by a factor
// when too many of them are late.
type ConcurrencyWindow struct {
	limit    float64
	maxLimit int
	adjusted time.Time
	observed int
	late     int
	// peakInFlight is the largest number of generations in flight since the last change.
	peakInFlight int
}

// NewConcurrencyWindow returns a window that starts at the endpoint's slots and never
// exceeds them.
func NewConcurrencyWindow(now time.Time, slots int) *ConcurrencyWindow {
	most := max(slots, minWindow)
	return &ConcurrencyWindow{limit: float64(most), maxLimit: most, adjusted: now}
}

// Limit returns the generations that may be in flight.
func (w *ConcurrencyWindow) Limit() int { return int(w.limit) }

// RecordInFlight notes the generations in flight after a dispatch.
func (w *ConcurrencyWindow) RecordInFlight(inFlight int) {
	w.peakInFlight = max(w.peakInFlight, inFlight)
}

// RecordFirstToken notes the time to the first token of a generation that had to
// prefill the tokens given.
func (w *ConcurrencyWindow) RecordFirstToken(now time.Time, latency time.Duration, prefill int) {
	allowed := firstTokenTarget + time.Duration(prefill)*time.Second/prefillTokensPerSecond
	w.observe(now, latency > allowed)
}

// RecordGap notes the mean time between tokens of a generation.
func (w *ConcurrencyWindow) RecordGap(now time.Time, gap time.Duration) {
	w.observe(now, gap > gapTarget)
}

// RecordFailure notes a generation that broke off or timed out.
func (w *ConcurrencyWindow) RecordFailure(now time.Time) { w.observe(now, true) }

func (w *ConcurrencyWindow) observe(now time.Time, late bool) {
	w.observed++
	if late {
		w.late++
	}
	if now.Sub(w.adjusted) < adjustInterval {
		return
	}
	w.adjust()
	w.adjusted = now
	w.observed, w.late, w.peakInFlight = 0, 0, 0
}

func (w *ConcurrencyWindow) adjust() {
	switch {
	case float64(w.late) > maxLateShare*float64(w.observed):
		w.limit = max(math.Floor(w.limit*windowDecreaseFactor), minWindow)
	case w.peakInFlight >= w.Limit():
		w.limit = min(w.limit+1, float64(w.maxLimit))
	}
}
