package rationer

import "time"

const (
	// burst is how long permits that were not used stay valid, so that requests that
	// arrive together need not wait for each other.
	burst = 250 * time.Millisecond
	// minRate is the rate of permits, per second, for an endpoint with a lower limit. A
	// response to one of these requests tells when the limit ends.
	minRate = 0.25
	// substituteDivisor divides the rate of an issuer that stands in for another one.
	// Both may issue permits at the same time, which then exceed the limit by a quarter.
	substituteDivisor = 4
)

// schedule issues the permits of one endpoint at a constant rate.
type schedule struct {
	// rate is the endpoint's limit, in requests a second, and statedAt the time at
	// which it was stated.
	rate     float64
	statedAt time.Time
	// next is the time of the next permit.
	next time.Time
}

// update sets the rate unless a later statement is known.
func (s *schedule) update(rate float64, statedAt time.Time) {
	if !statedAt.Before(s.statedAt) {
		s.rate, s.statedAt = rate, statedAt
	}
}

// reserve takes the next permit if it is valid within maxWait. It returns how long the
// permit's request must wait, or, if the permit was not taken, would have to wait.
//
// It answers requests of many instances that arrive for one endpoint at any rate: what
// it issues in a time t is at most (t + burst) times the rate, and one more.
func (s *schedule) reserve(now time.Time, maxWait time.Duration, isSubstitute bool) (wait time.Duration, isTaken bool) {
	rate := max(s.rate, minRate)
	if isSubstitute {
		rate /= substituteDivisor
	}
	if earliest := now.Add(-burst); s.next.Before(earliest) {
		s.next = earliest
	}
	wait = max(s.next.Sub(now), 0)
	if wait > maxWait {
		return wait, false
	}
	s.next = s.next.Add(time.Duration(float64(time.Second) / rate))
	return wait, true
}
