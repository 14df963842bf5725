// Package admitter owns whether a turn is taken now or turned away, and when
// its caller may come back. It is pure: what it knows comes with the call.
package admitter

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Policy bounds the load up to which work is taken.
type Policy struct {
	// SoftLimit is the mean load of the endpoints, in requests per slot, above
	// which first turns of programs are turned away, the more of them the higher
	// the load; zero for no limit.
	SoftLimit float64
	// HardLimit is the mean load from which all of them are turned away.
	HardLimit float64
	// MinRetryAfter and ReturnMost bound the time after which a caller that was
	// turned away may come back.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Turn is a turn that asks to be taken.
type Turn struct {
	// First is true for the first turn of a program.
	First bool
	// Left is the time until the caller's deadline.
	Left time.Duration
	// LimitSample and ReturnChance are random numbers in [0, 1). The first decides
	// between the two limits, the second spreads the callers' return.
	LimitSample float64
	RetrySample float64
}

// Decision is whether a turn is taken.
type Decision struct {
	Admitted bool
	// Mean is the mean load that decided, in requests per slot.
	Mean float64
	// RetryAfter is when to come back if the turn is not taken.
	RetryAfter time.Duration
}

// Admit answers a burst of programs on engines that are full already: each
// program that begins takes engine time and cache from those under way, which
// then all end late. So programs under way are always taken, and new ones wait
// outside while the engines have more requests than they serve at a good rate.
// Loads are known late. With one limit all instances would refuse, and then take,
// together; between the two limits a share of the programs is taken.
func Admit(policy Policy, turn Turn, candidates []registrar.Candidate) Decision {
	d := Decision{Admitted: true}
	if len(candidates) == 0 {
		return d
	}
	for _, c := range candidates {
		d.Mean += c.Load / float64(max(c.Slots, 1))
	}
	d.Mean /= float64(len(candidates))
	limit := policy.SoftLimit + turn.LimitSample*max(policy.HardLimit-policy.SoftLimit, 0)
	if !turn.First || policy.SoftLimit <= 0 || d.Mean <= limit {
		return d
	}
	d.Admitted = false
	spread := time.Duration(turn.RetrySample * float64(policy.MaxRetryAfter-policy.MinRetryAfter))
	d.RetryAfter = min(policy.MinRetryAfter+spread, turn.Left/3)
	return d
}
