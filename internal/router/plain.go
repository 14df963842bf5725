package router

import "math/rand/v2"

// twoChoices takes the less loaded of two free candidates drawn at random.
type twoChoices struct{ random *rand.Rand }

// Pick implements Router.
func (r *twoChoices) Pick(_ Request, candidates []Candidate) (int, bool) {
	indexes := freeIndexes(candidates)
	if len(indexes) == 0 {
		return 0, false
	}
	i, j := drawTwo(r.random, indexes)
	return lessLoaded(candidates, i, j), true
}

// leastLoaded takes the least loaded candidate and breaks ties at random.
type leastLoaded struct{ random *rand.Rand }

// Pick implements Router.
func (r *leastLoaded) Pick(_ Request, candidates []Candidate) (int, bool) {
	best, ties := 0, 0
	for i, c := range candidates {
		switch {
		case isFull(c):
		case ties == 0 || slotUsage(c) < slotUsage(candidates[best]):
			best, ties = i, 1
		case slotUsage(c) == slotUsage(candidates[best]):
			ties++
			if r.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, ties > 0
}

// roundRobin takes the candidates in rotation and skips full ones.
type roundRobin struct{ next int }

// Pick implements Router.
func (r *roundRobin) Pick(_ Request, candidates []Candidate) (int, bool) {
	for k := range candidates {
		i := (r.next + k) % len(candidates)
		if !isFull(candidates[i]) {
			r.next = i + 1
			return i, true
		}
	}
	return 0, false
}

// uniform takes a free candidate at random, all with equal probability.
type uniform struct{ random *rand.Rand }

// Pick implements Router.
func (r *uniform) Pick(_ Request, candidates []Candidate) (int, bool) {
	indexes := freeIndexes(candidates)
	if len(indexes) == 0 {
		return 0, false
	}
	return indexes[r.random.IntN(len(indexes))], true
}
