package router

import "math/rand/v2"

const (
	// decodeStepTokens is the prefill work, in tokens, that takes as long as one decode
	// step of a full batch.
	decodeStepTokens = 240
	// maxExpectedOutput bounds the output that a choice reckons with.
	maxExpectedOutput = 256
	// idleStepRatio is the length of a decode step of an idle engine relative to
	// that of a full batch.
	idleStepRatio = 0.5
	// minMoveSaving is the part of the cost at the last endpoint that a move must
	// save.
	minMoveSaving = 0.1
	// batchDelayWeight is the weight of the delay that a prefill causes to the others in
	// the batch.
	batchDelayWeight = 3
	// maxLastLoad is the share of its slots up to which the endpoint that served the
	// last turn is given the next one, if it holds a part of the prompt.
	maxLastLoad = 3
	// maxUrgentLoad is the share of its slots up to which an endpoint is given urgent
	// requests.
	maxUrgentLoad = 1.25
)

// affinity weighs the prefill that a held prefix saves against the slower
// decoding of a loaded endpoint. It compares two endpoints drawn at random, those that
// hold more of the prompt than these and the one that served the last turn, and moves a
// program only for a clear saving. A program may wait at the endpoint that holds
// its prefix even if all slots there are taken, since a slot becomes free sooner
// than another endpoint has computed the prefix again.
type affinity struct{ random *rand.Rand }

// Pick implements Router.
func (r *affinity) Pick(request Request, candidates []Candidate) (int, bool) {
	best := r.sample(request, candidates)
	last, common := -1, 0
	if best >= 0 {
		common = candidates[best].PrefixTokens
	}
	for i, c := range candidates {
		if !admits(request, c) {
			continue
		}
		if c.Endpoint == request.LastEndpoint {
			last = i
		}
		if c.PrefixTokens > common {
			best = cheaper(request, candidates, best, i)
		}
	}
	if best < 0 {
		return 0, false
	}
	if last >= 0 && shouldStay(request, candidates[last], candidates[best]) {
		best = last
	}
	return best, true
}

// sample returns the cheaper of two candidates sample at random from those that
// admit any such request, or -1 if none does.
func (r *affinity) sample(request Request, candidates []Candidate) int {
	request.LastEndpoint = ""
	indexes := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if admits(request, c) {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) == 0 {
		return -1
	}
	i, j := drawTwo(r.random, indexes)
	return cheaper(request, candidates, i, j)
}

// admits says whether the candidate may be given the request.
func admits(request Request, c Candidate) bool {
	if !isFull(c) {
		return true
	}
	if request.Urgent && float64(load(c)) < maxUrgentLoad*float64(capacity(c)) {
		return true
	}
	holds := c.Endpoint == request.LastEndpoint && c.PrefixTokens > 0
	return holds && load(c) < maxLastLoad*capacity(c)
}

// shouldStay says whether a move from last to best saves too little.
func shouldStay(request Request, last, best Candidate) bool {
	return cost(request, best) > cost(request, last)*(1-minMoveSaving)
}

// cheaper returns whichever index costs less; equal costs go to the less
// loaded. An index of -1 stands for no candidate.
func cheaper(request Request, candidates []Candidate, i, j int) int {
	if i < 0 {
		return j
	}
	a, b := cost(request, candidates[i]), cost(request, candidates[j])
	switch {
	case a < b:
		return i
	case b < a:
		return j
	default:
		return lessLoaded(candidates, i, j)
	}
}

// cost returns the expected time of the generation at the candidate, in
// tokens of prefill. Above its slots the wait for one is added. Each token to be
// prefilled also delays the sequences that are in the batch.
func cost(request Request, c Candidate) float64 {
	missing := max(request.PromptTokens-c.PrefixTokens, 0)
	batch := min(load(c), capacity(c))
	output := min(max(request.MaxTokens, 1), maxExpectedOutput)
	step := decodeStepTokens * (idleStepRatio + (1-idleStepRatio)*slotUsage(c))
	wait := max(slotUsage(c)-1, 0)
	return (float64(missing*(1+batchDelayWeight*batch)) + float64(output)*step*(1+wait)) * max(c.GapRatio, 1)
}
