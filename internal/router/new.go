package router

import (
	"math/rand/v2"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// The names of the routing policies in compiler.Policy.Routing.
const (
	// Affinity weighs the cached prefix of an endpoint against its load.
	Affinity = "Affinity"
	// TwoChoices takes the less loaded of two endpoints drawn at random.
	TwoChoices = "TwoChoices"
	// LeastLoaded takes the least loaded endpoint.
	LeastLoaded = "LeastLoaded"
	// RoundRobin takes the endpoints in rotation.
	RoundRobin = "RoundRobin"
	// Random takes an endpoint at random.
	Random = "Random"
)

// New returns a router for the routing policy; seed initializes its random
// number generator. An empty or unknown policy name means Affinity.
func New(policy compiler.Policy, seed uint64) Router {
	random := rand.New(rand.NewPCG(seed, seed))
	switch policy.Routing {
	case TwoChoices:
		return &twoChoices{random: random}
	case LeastLoaded:
		return &leastLoaded{random: random}
	case RoundRobin:
		return &roundRobin{}
	case Random:
		return &uniform{random: random}
	default:
		return &affinity{random: random}
	}
}

// load returns the number of generations that run or wait at the candidate: the
// reported ones plus those sent since the report, but at least those that this
// instance has in flight.
func load(c Candidate) int {
	return max(c.Running+c.Waiting+c.SentSinceReport, c.Outstanding)
}

// capacity returns the number of slots that may be used. It is at least one
// unless Ramp is zero.
func capacity(c Candidate) int {
	if c.Ramp <= 0 {
		return 0
	}
	return max(int(float64(c.Slots)*min(c.Ramp, 1)), 1)
}

func isFull(c Candidate) bool { return load(c) >= capacity(c) }

// slotUsage returns the load relative to the capacity; it may exceed 1.
func slotUsage(c Candidate) float64 {
	return float64(load(c)) / float64(max(capacity(c), 1))
}

// freeIndexes returns the indexes of the candidates that are not full.
func freeIndexes(candidates []Candidate) []int {
	indexes := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if !isFull(c) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// lessLoaded returns the index of the less loaded candidate; if the loads are
// equal, it prefers a local one.
func lessLoaded(candidates []Candidate, i, j int) int {
	a, b := candidates[i], candidates[j]
	if slotUsage(a) != slotUsage(b) {
		if slotUsage(a) < slotUsage(b) {
			return i
		}
		return j
	}
	if b.Local && !a.Local {
		return j
	}
	return i
}

// drawTwo returns two random elements of indexes, distinct if there are two.
func drawTwo(random *rand.Rand, indexes []int) (first, second int) {
	i := random.IntN(len(indexes))
	if len(indexes) == 1 {
		return indexes[i], indexes[i]
	}
	j := random.IntN(len(indexes) - 1)
	if j >= i {
		j++
	}
	return indexes[i], indexes[j]
}
