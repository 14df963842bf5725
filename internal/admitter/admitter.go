// Package admitter implements admission control for turns: whether a turn is
// admitted, when a refused caller may retry, and the priority of admitted turns at
// the engine. Its functions are pure and safe for concurrent use.
package admitter

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Policy configures admission control.
type Policy struct {
	// SoftLimit is the mean load of the endpoints, in requests per slot, above
	// which first turns of programs are refused; the refused share grows with the
	// load. Zero means no limit.
	SoftLimit float64
	// HardLimit is the mean load from which all first turns are refused.
	HardLimit float64
	// MinRetryAfter and MaxRetryAfter are the bounds of the delay after which a
	// refused caller may retry.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Turn is a turn that requests admission.
type Turn struct {
	// First is true for the first turn of a program.
	First bool
	// Left is the time until the caller's deadline.
	Left time.Duration
	// LimitSample and RetrySample are random numbers in [0, 1). The first selects
	// the effective limit between the soft and the hard one, the second the delay
	// of the retry.
	LimitSample float64
	RetrySample float64
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Mean is the mean load of the endpoints, in requests per slot.
	Mean float64
	// RetryAfter is the delay of the retry if the turn is not admitted, at most a
	// third of the time until the deadline.
	RetryAfter time.Duration
}

// Admit decides whether to admit a turn. When a burst of programs arrives at full
// engines, each new program takes engine time and cache from the running ones, and
// all of them end late. Turns of running programs are therefore always admitted,
// and first turns only up to a mean load at which engines serve at a good rate.
//
// Load reports arrive with a delay. With a single limit, all instances would
// alternate between refusing and admitting at the same time; between the soft and
// the hard limit a share of the programs is admitted.
//
// Endpoints with a limit are left out of the mean while there are others: their load is
// low because they take few requests, not because they have room.
func Admit(policy Policy, turn Turn, candidates []registrar.Candidate) Decision {
	d := Decision{Admitted: true}
	if len(candidates) == 0 {
		return d
	}
	d.Mean = meanLoad(candidates)
	limit := policy.SoftLimit + turn.LimitSample*max(policy.HardLimit-policy.SoftLimit, 0)
	if !turn.First || policy.SoftLimit <= 0 || d.Mean <= limit {
		return d
	}
	d.Admitted = false
	spread := time.Duration(turn.RetrySample * float64(policy.MaxRetryAfter-policy.MinRetryAfter))
	d.RetryAfter = min(policy.MinRetryAfter+spread, turn.Left/3)
	return d
}

// meanLoad returns the mean load of the endpoints without a limit, or of all if each has
// one.
func meanLoad(candidates []registrar.Candidate) float64 {
	sum, n := 0.0, 0
	for _, c := range candidates {
		if !c.Limit.IsSet {
			sum += c.Load / float64(max(c.Slots, 1))
			n++
		}
	}
	if n > 0 {
		return sum / float64(n)
	}
	for _, c := range candidates {
		sum += c.Load / float64(max(c.Slots, 1))
	}
	return sum / float64(len(candidates))
}
