package queuer

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// The names of the queue policies in compiler.Policy.Queue.
const (
	// LeastAttained shares between businesses by weight, then serves by
	// precedence and by least attained service of the program.
	LeastAttained = "LeastAttained"
	// FirstCome serves by arrival.
	FirstCome = "FirstCome"
	// ShortestCall serves the smallest estimate first.
	ShortestCall = "ShortestCall"
)

// Option changes a queue's settings.
type Option func(*settings)

type settings struct {
	starveAfter     time.Duration
	starvedInterval int
}

// WithStarvedInterval serves the longest waiting starved item of a business once
// in n dispatches of that business; 1 serves starved items before all others.
func WithStarvedInterval(n int) Option {
	return func(s *settings) { s.starvedInterval = n }
}

// New returns an empty queue of the policy's kind. An empty or unknown name
// means LeastAttained.
func New(policy compiler.Policy, opts ...Option) Queue {
	s := settings{starveAfter: policy.StarveAfter, starvedInterval: defaultStarvedInterval}
	for _, opt := range opts {
		opt(&s)
	}
	if s.starveAfter <= 0 {
		s.starveAfter = defaultStarveAfter
	}
	switch policy.Queue {
	case FirstCome:
		return newSingleQueue(compareArrival)
	case ShortestCall:
		return newSingleQueue(compareEstimate)
	default:
		return newLeastAttained(s.starveAfter, s.starvedInterval)
	}
}
