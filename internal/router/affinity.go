package router

import "math/rand/v2"

const (
	// decodeStepTokens is the prefill work, in tokens, that takes as long as one decode
	// step of a full batch.
	decodeStepTokens = 240
	// maxExpectedOutput bounds the output tokens in the cost estimate.
	maxExpectedOutput = 256
	// idleStepRatio is the duration of a decode step on an idle engine relative
	// to that of a full batch.
	idleStepRatio = 0.5
	// minMoveSaving is the share of the cost at the last endpoint that moving the
	// program must save.
	minMoveSaving = 0.1
	// batchDelayWeight is the weight of the delay that a prefill causes to the
	// other sequences in the batch.
	batchDelayWeight = 3
	// maxLastLoad is the load relative to the usable slots below which the
	// endpoint that served the last turn may serve the next one if it holds a
	// prefix of the prompt.
	maxLastLoad = 3
	// maxUrgentLoad is the load relative to the usable slots below which an
	// endpoint may serve urgent requests.
	maxUrgentLoad = 1.25
)

// affinity weighs the prefill that a cached prefix saves against the slower
// decoding of a loaded endpoint. It compares two endpoints drawn at random, the
// endpoints that hold a longer prefix than the cheaper of these two, and the
// endpoint that served the last turn. It moves a program only if that saves at
// least minMoveSaving. A program may wait at its last endpoint if that holds a
// prefix, even if all slots there are in use, since a slot becomes free sooner
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

// sample returns the index of the cheaper of two candidates drawn at random, or
// -1 if no candidate admits the request. It grants no exception to the endpoint
// that served the last turn.
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

// admits reports whether the candidate may serve the request.
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

// shouldStay reports whether moving from last to best would save too little.
func shouldStay(request Request, last, best Candidate) bool {
	return cost(request, best) > cost(request, last)*(1-minMoveSaving)
}

// cheaper returns the index of the candidate with the lower cost, or of the less
// loaded one if the costs are equal. If i is -1, it returns j.
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

// cost estimates the duration of the generation at the candidate, in units of
// the time to prefill one token. It includes the wait for a slot if all are in
// use, and the delay that the prefill causes to the other sequences in the batch.
func cost(request Request, c Candidate) float64 {
	missing := max(request.PromptTokens-c.PrefixTokens, 0)
	batch := min(load(c), capacity(c))
	output := min(max(request.MaxTokens, 1), maxExpectedOutput)
	step := decodeStepTokens * (idleStepRatio + (1-idleStepRatio)*slotUsage(c))
	wait := max(slotUsage(c)-1, 0)
	return (float64(missing*(1+batchDelayWeight*batch)) + float64(output)*step*(1+wait)) * max(c.GapRatio, 1)
}
