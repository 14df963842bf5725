package allotter

import (
	"math"
	"time"
)

// bucket is a token bucket. It begins empty, so that the issuers that follow each other for one
// part of the bound, each from the end of the one before, permit in no window more than a single
// one could: the depth and the rate times the window.
type bucket struct {
	level float64
	// at is the time of level.
	at time.Duration
}

// fill adds the tokens since the last call, at a rate per nanosecond.
func (b *bucket) fill(now time.Duration, rate, depth float64) {
	b.level = min(b.level+float64(max(now-b.at, 0))*rate, depth)
	b.at = max(b.at, now)
}

// take takes a token, which must be there.
func (b *bucket) take() { b.level-- }

// timeUntil returns how long it takes until the level is reached.
func (b *bucket) timeUntil(level, rate float64) time.Duration {
	if b.level >= level {
		return 0
	}
	wait := (level - b.level) / max(rate, math.SmallestNonzeroFloat32)
	return time.Duration(min(wait, float64(time.Hour))) + 1
}
