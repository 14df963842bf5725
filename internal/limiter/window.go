package limiter

import (
	"math"
	"time"
)

const (
	// firstTokenTarget and gapTarget are the 95th percentile targets of the time to
	// first token and the time between tokens.
	firstTokenTarget = 680 * time.Millisecond
	gapTarget        = 45 * time.Millisecond
	// prefillTokensPerSecond is the prefill rate by which the first-token target is
	// extended for the tokens to be prefilled.
	prefillTokensPerSecond = 4000
	// adjustInterval is the minimum time between two adjustments of the limit.
	adjustInterval = time.Second
	// windowDecreaseFactor is the multiplicative decrease of the limit.
	windowDecreaseFactor = 0.85
	// maxLateShare is the share of late observations above which the limit
	// decreases.
	maxLateShare = 0.2
	// minWindow is the smallest limit.
	minWindow = 1
)

// ConcurrencyWindow bounds the concurrent generations of one endpoint by additive
// increase and multiplicative decrease. The limit grows by one if it was reached
// and the generations met their latency targets, and shrinks by
// windowDecreaseFactor if more than maxLateShare of them did not.
type ConcurrencyWindow struct {
	limit    float64
	maxLimit int
	adjusted time.Time
	observed int
	late     int
	// peakInFlight is the largest number of generations in flight since the last
	// adjustment.
	peakInFlight int
}

// NewConcurrencyWindow returns a window whose limit starts at the endpoint's slots
// and never exceeds them.
func NewConcurrencyWindow(now time.Time, slots int) *ConcurrencyWindow {
	most := max(slots, minWindow)
	return &ConcurrencyWindow{limit: float64(most), maxLimit: most, adjusted: now}
}

// Limit returns the number of generations that may be in flight.
func (w *ConcurrencyWindow) Limit() int { return int(w.limit) }

// RecordInFlight records the number of generations in flight after a dispatch.
func (w *ConcurrencyWindow) RecordInFlight(inFlight int) {
	w.peakInFlight = max(w.peakInFlight, inFlight)
}

// RecordFirstToken records the time to first token of a generation that had to
// prefill the given number of tokens.
func (w *ConcurrencyWindow) RecordFirstToken(now time.Time, latency time.Duration, prefill int) {
	allowed := firstTokenTarget + time.Duration(prefill)*time.Second/prefillTokensPerSecond
	w.observe(now, latency > allowed)
}

// RecordGap records the mean time between tokens of a generation.
func (w *ConcurrencyWindow) RecordGap(now time.Time, gap time.Duration) {
	w.observe(now, gap > gapTarget)
}

// RecordFailure records a generation that was interrupted or timed out.
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
