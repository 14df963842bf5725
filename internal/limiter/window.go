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
	// prefillRate is the prefill that the first-token target allows for beside
	// its fixed part, in tokens a second.
	prefillRate = 4000
	// windowInterval is the least time between two changes of a window.
	windowInterval = time.Second
	// windowDecrease is the factor that a window shrinks by.
	windowDecrease = 0.85
	// lateShare is the share of late observations above which a window shrinks.
	lateShare = 0.2
	// windowMinimum is the smallest window.
	windowMinimum = 1
)

// ConcurrencyWindow bounds the concurrent generations of one endpoint. It grows by one
// while it is used up and its generations are in time, and shrinks by a factor
// when too many of them are late.
type ConcurrencyWindow struct {
	limit   float64
	most    int
	changed time.Time
	seen    int
	late    int
	// peak is the largest number of generations in flight since the last change.
	peak int
}

// NewConcurrencyWindow returns a window that starts at the endpoint's slots and never
// exceeds them.
func NewConcurrencyWindow(now time.Time, slots int) *ConcurrencyWindow {
	most := max(slots, windowMinimum)
	return &ConcurrencyWindow{limit: float64(most), most: most, changed: now}
}

// Limit returns the generations that may be in flight.
func (w *ConcurrencyWindow) Limit() int { return int(w.limit) }

// RecordInFlight notes the generations in flight after a dispatch.
func (w *ConcurrencyWindow) RecordInFlight(inFlight int) { w.peak = max(w.peak, inFlight) }

// RecordFirstToken notes the time to the first token of a generation that had to
// prefill the tokens given.
func (w *ConcurrencyWindow) RecordFirstToken(now time.Time, latency time.Duration, prefill int) {
	allowed := firstTokenTarget + time.Duration(prefill)*time.Second/prefillRate
	w.observe(now, latency > allowed)
}

// RecordGap notes the mean time between tokens of a generation.
func (w *ConcurrencyWindow) RecordGap(now time.Time, gap time.Duration) {
	w.observe(now, gap > gapTarget)
}

// RecordFailure notes a generation that broke off or timed out.
func (w *ConcurrencyWindow) RecordFailure(now time.Time) { w.observe(now, true) }

func (w *ConcurrencyWindow) observe(now time.Time, late bool) {
	w.seen++
	if late {
		w.late++
	}
	if now.Sub(w.changed) < windowInterval {
		return
	}
	w.adjust()
	w.changed = now
	w.seen, w.late, w.peak = 0, 0, 0
}

func (w *ConcurrencyWindow) adjust() {
	switch {
	case float64(w.late) > lateShare*float64(w.seen):
		w.limit = max(math.Floor(w.limit*windowDecrease), windowMinimum)
	case w.peak >= w.Limit():
		w.limit = min(w.limit+1, float64(w.most))
	}
}
