package queuer

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// The names of the queue policies in compiler.Policy.Queue.
const (
	// LeastAttained shares the service between businesses by weight; within a
	// business it serves by precedence, then by least attained service of the
	// program.
	LeastAttained = "LeastAttained"
	// FirstCome serves in the order of arrival.
	FirstCome = "FirstCome"
	// ShortestCall serves the smallest estimate first.
	ShortestCall = "ShortestCall"
)

// Option configures a queue.
type Option func(*settings)

type settings struct {
	starveAfter     time.Duration
	starvedInterval int
}

// WithStarvedInterval serves the longest waiting starved item of a business once
// every n dispatches of that business; 1 serves starved items before all others.
func WithStarvedInterval(n int) Option {
	return func(s *settings) { s.starvedInterval = n }
}

// New returns an empty queue for the queue policy. An empty or unknown policy name
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
