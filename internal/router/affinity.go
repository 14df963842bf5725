package router

import "math/rand/v2"

const (
	// stepTokens is the prefill work, in tokens, that takes as long as one decode
	// step of a full batch.
	stepTokens = 240
	// expectedTokens bounds the output that a choice reckons with.
	expectedTokens = 256
	// idleShare is the length of a decode step of an idle engine relative to
	// that of a full batch.
	idleShare = 0.5
	// moveMargin is the part of the cost at the last endpoint that a move must
	// save.
	moveMargin = 0.1
)

// affinity weighs the prefill that a held prefix saves against the slower
// decoding of a loaded endpoint. It compares the endpoints that hold a part of the prompt,
// the one that served the last turn and two drawn at random, and moves a
// program only for a clear saving.
type affinity struct{ random *rand.Rand }

// Pick implements Router.
func (r *affinity) Pick(request Request, candidates []Candidate) (int, bool) {
	indexes := free(candidates)
	if len(indexes) == 0 {
		return 0, false
	}
	i, j := draw(r.random, indexes)
	best := cheaper(request, candidates, i, j)
	last := -1
	for _, k := range indexes {
		if candidates[k].Endpoint == request.Last {
			last = k
		}
		if candidates[k].PrefixTokens > 0 {
			best = cheaper(request, candidates, best, k)
		}
	}
	if last >= 0 && stays(request, candidates[last], candidates[best]) {
		best = last
	}
	return best, true
}

// stays says whether a move from last to best saves too little.
func stays(request Request, last, best Candidate) bool {
	return cost(request, best) > cost(request, last)*(1-moveMargin)
}

// cheaper returns whichever index costs less; equal costs go to the less
// loaded.
func cheaper(request Request, candidates []Candidate, i, j int) int {
	a, b := cost(request, candidates[i]), cost(request, candidates[j])
	switch {
	case a < b:
		return i
	case b < a:
		return j
	default:
		return lighter(candidates, i, j)
	}
}

// cost returns the expected time of the generation at the candidate, in
// tokens of prefill.
func cost(request Request, c Candidate) float64 {
	missing := max(request.PromptTokens-c.PrefixTokens, 0)
	output := min(max(request.MaxTokens, 1), expectedTokens)
	step := stepTokens * (idleShare + (1-idleShare)*usage(c))
	return (float64(missing) + float64(output)*step) * max(c.GapRatio, 1)
}
