package router

import (
	"math/rand/v2"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// The names of the routing policies in compiler.Policy.Routing.
const (
	// Affinity weighs the prefix held against the load there.
	Affinity = "Affinity"
	// TwoChoices takes the less loaded of two endpoints drawn at random.
	TwoChoices = "TwoChoices"
	// LeastLoaded takes the least loaded endpoint.
	LeastLoaded = "LeastLoaded"
	// RoundRobin takes the endpoints in turn.
	RoundRobin = "RoundRobin"
	// Random draws an endpoint.
	Random = "Random"
)

// New returns a router of the policy's kind; the seed fixes its random
// choices. An empty or unknown name means Affinity.
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

// load returns the generations that the candidate is believed to serve or hold
// waiting: those reported and those dispatched since.
func load(c Candidate) int {
	return max(c.Running+c.Waiting+c.SentSinceReport, c.Outstanding)
}

// capacity returns the slots that may be used; an endpoint whose ramp has begun has
// one at least.
func capacity(c Candidate) int {
	if c.Ramp <= 0 {
		return 0
	}
	return max(int(float64(c.Slots)*min(c.Ramp, 1)), 1)
}

func isFull(c Candidate) bool { return load(c) >= capacity(c) }

// slotUsage returns the share of the candidate's slots in use.
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

// lessLoaded returns whichever index is the less loaded; a local one wins a tie.
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

// drawTwo returns two of the indexes, different ones where there are two.
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
