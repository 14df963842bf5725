// Package chooser selects the endpoint for a request. Its functions are pure and
// safe for concurrent use.
package chooser

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// remotePenalty is added to the cost of endpoints in other data centres. Half a
	// request makes distance decide only between equal loads.
	remotePenalty = 0.5
	// avoidPenalty ranks endpoints with recent failures behind all others.
	avoidPenalty = 1e6
	// choicesPerHash is the number of endpoints that one hash selects. The better one of two
	// balances nearly as well as the best of all.
	choicesPerHash = 2
	// remoteCost is the cost of an endpoint in another data centre, in requests per
	// slot.
	remoteCost = 0.1
	// minHolders is the number of instances that keep an endpoint in their subset, and
	// minSubset the number of endpoints in each subset.
	minHolders = 20
	minSubset  = 4
	// localWeight is how many times as often an endpoint of the own data centre is in
	// the subset as one of another.
	localWeight = 2
	// maxSubsetLoad is the load of the least loaded endpoint of the subset, in requests
	// per slot, from which all endpoints are used.
	maxSubsetLoad = 1.5
	// A shared part is kept at one in sharingDivisor of the endpoints, at minSharing
	// at least.
	sharingDivisor = 4
	minSharing     = 3
	// sharedTokensPerSlot is the size of a shared part whose reading costs as much as
	// one request per slot, and maxReadingCost limits that cost.
	sharedTokensPerSlot = 32768
	maxReadingCost      = 0.5
	// limitCost is the cost of an endpoint with a limit, in requests per slot. It leaves
	// the limit to the turns that have their home there.
	limitCost = 0.5
	// limitCostMaxAge is how long that cost applies after the limit was stated. After it,
	// a request there tells whether the limit still holds.
	limitCostMaxAge = time.Second
)

// Turn is a turn that needs an endpoint.
type Turn struct {
	// Key is the program's ID, or the request's outside a program.
	Key string
	// Home is the ID of the endpoint that has the turn's prompt in its cache; empty if
	// it is not known.
	Home string
	// DataCentre is that of this instance.
	DataCentre string
	// SharedPart is the ID of the part of the prompt that other programs' prompts
	// begin with, too; empty for none. SharedTokens is its size.
	SharedPart   string
	SharedTokens int64
}

// ForTurn returns the index of the endpoint for a turn, or -1 if there is no
// candidate. A turn goes to its home while the load of the home exceeds that of the
// least loaded endpoint by at most margin times its slots: under sustained overload
// engines otherwise spend most of their time on reading prompts that another engine
// has in its cache. Otherwise, and for the first turn of a program, it goes to the
// least loaded of a few endpoints, which becomes its home.
//
// The few are chosen by rendezvous hashes, so that new programs are spread although
// all instances see the same loads, which are old by the time they act on them.
// Some of them are in the own data centre, which keeps connections warm, and
// some are likely to have the shared part in their caches.
func ForTurn(t Turn, candidates []registrar.Candidate, margin float64) int {
	candidates = withLikelyLoads(candidates)
	usable := make([]int, 0, len(candidates))
	home, least := -1, -1
	for i, c := range candidates {
		if c.Avoid {
			continue
		}
		usable = append(usable, i)
		if c.ID == t.Home {
			home = i
		}
		if least < 0 || isLessLoaded(c, candidates[least]) {
			least = i
		}
	}
	if len(usable) == 0 {
		return LeastLoaded(t.Key, "", candidates)
	}
	if home >= 0 && candidates[home].Load <= candidates[least].Load+margin*float64(slots(candidates[home])) {
		return home
	}
	best := bestOfSampled(t, candidates, usable)
	if home >= 0 && candidates[best].Load >= candidates[home].Load {
		return home
	}
	return best
}

// isLessLoaded reports whether a has room for the turns of loaded endpoints before b. An
// endpoint with a limit is behind all others, as it can't take these turns.
func isLessLoaded(a, b registrar.Candidate) bool {
	if a.Limit.IsSet != b.Limit.IsSet {
		return b.Limit.IsSet
	}
	return a.Load < b.Load
}

// limitCostOf returns the cost of the candidate's limit, in requests per slot.
func limitCostOf(c registrar.Candidate) float64 {
	if c.Limit.IsSet && c.LimitAge < limitCostMaxAge {
		return limitCost
	}
	return 0
}

// bestOfSampled returns the endpoint with the lowest cost among those that the hashes of
// the turn's key and shared part select.
func bestOfSampled(t Turn, candidates []registrar.Candidate, usable []int) int {
	var local []int
	for _, i := range usable {
		if candidates[i].DataCentre == t.DataCentre {
			local = append(local, i)
		}
	}
	sampled := append(highest(t.Key, candidates, usable, choicesPerHash), highest(t.Key, candidates, local, choicesPerHash)...)
	var sharing []int
	if t.SharedPart != "" {
		n := max(len(usable)/sharingDivisor, minSharing)
		sharing = highest(t.SharedPart, candidates, usable, n)
		sampled = append(sampled, highest(t.Key, candidates, sharing, choicesPerHash)...)
	}
	readingCost := min(float64(t.SharedTokens)/sharedTokensPerSlot, maxReadingCost)
	best, lowest := -1, math.Inf(1)
	var bestHash uint64
	for _, i := range sampled {
		cost := candidates[i].Load/float64(slots(candidates[i])) + limitCostOf(candidates[i])
		if candidates[i].DataCentre != t.DataCentre {
			cost += remoteCost
		}
		if t.SharedPart != "" && !slices.Contains(sharing, i) {
			cost += readingCost
		}
		hash := rendezvous(t.Key, candidates[i].ID)
		if cost < lowest || (cost == lowest && hash > bestHash) {
			best, lowest, bestHash = i, cost, hash
		}
	}
	return best
}

// highest returns up to n of the candidates with the given indexes, those with the
// highest rendezvous hashes of the key.
func highest(key string, candidates []registrar.Candidate, indexes []int, n int) []int {
	type ranked struct {
		index int
		hash  uint64
	}
	all := make([]ranked, 0, len(indexes))
	for _, i := range indexes {
		all = append(all, ranked{index: i, hash: rendezvous(key, candidates[i].ID)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]int, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.index)
	}
	return out
}

// withLikelyLoads returns the candidates with the mean of the known loads, where it
// exceeds the instance's own requests, in place of those that are not known. In a
// large fleet an instance has recent reports of few endpoints; if the others counted
// as idle, it would send its requests to them.
func withLikelyLoads(candidates []registrar.Candidate) []registrar.Candidate {
	sum, known := 0.0, 0
	for _, c := range candidates {
		if c.Age >= 0 {
			sum += c.Load
			known++
		}
	}
	if known == 0 || known == len(candidates) {
		return candidates
	}
	candidates = slices.Clone(candidates)
	for i := range candidates {
		if candidates[i].Age < 0 {
			candidates[i].Load = max(candidates[i].Load, sum/float64(known))
		}
	}
	return candidates
}

func slots(c registrar.Candidate) int { return max(c.Slots, 1) }

// LeastLoaded returns the index of the endpoint with the lowest load, or -1 if
// there is no candidate. Among equal loads it prefers the given data centre, and
// then the highest hash of the key, so that instances that see the same loads do
// not all choose the same endpoint.
func LeastLoaded(key, dataCentre string, candidates []registrar.Candidate) int {
	best, lowest := -1, math.Inf(1)
	var highest uint64
	for i, c := range candidates {
		cost := math.Floor(c.Load) + limitCostOf(c)*float64(slots(c))
		if c.DataCentre != dataCentre {
			cost += remotePenalty
		}
		// A request beyond the slots waits until another one has finished.
		if over := c.Load - float64(c.Slots-1); c.Slots > 0 && over > 0 {
			cost += over
		}
		if c.Avoid {
			cost += avoidPenalty
		}
		hash := rendezvous(key, c.ID)
		if cost < lowest || (cost == lowest && hash > highest) {
			best, lowest, highest = i, cost, hash
		}
	}
	return best
}

// ForSuspect returns the index of the endpoint for a request that may have crashed others,
// or -1 if there is no candidate. It is the same for all instances and for all requests with
// the key, but for those with failures, so that one endpoint at a time is at risk, and so
// that two suspects seldom run beside each other and only one of them goes on crashing
// endpoints.
func ForSuspect(key string, candidates []registrar.Candidate) int {
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		hash := rendezvous(key, c.ID)
		if best < 0 || (c.Avoid == candidates[best].Avoid && hash > highest) || (!c.Avoid && candidates[best].Avoid) {
			best, highest = i, hash
		}
	}
	return best
}

// Fleet describes the instance that chooses among the others.
type Fleet struct {
	// Instance is the name of this instance and DataCentre its data centre.
	Instance   string
	DataCentre string
	// Instances is the number of live instances.
	Instances int
}

// ForCall returns the index of the endpoint for a call to a plain service, or -1 if
// there is no candidate: the least loaded one of the instance's subset of the
// endpoints, or of all endpoints while the whole subset is loaded or to be avoided.
//
// In a large fleet an instance that used all endpoints would send each of them a
// request every few seconds, too few to keep its connections or to know its load. The
// subsets are chosen by hash and small, but each endpoint is in those of many
// instances, so that it has takers after any loss.
func ForCall(key string, fleet Fleet, candidates []registrar.Candidate) int {
	n := max(minSubset, (minHolders*len(candidates)+fleet.Instances-1)/max(fleet.Instances, 1))
	if n < len(candidates) {
		subset := subsetOf(fleet, candidates, n)
		if i := LeastLoaded(key, fleet.DataCentre, subset); !subset[i].Avoid && subset[i].Load < maxSubsetLoad*float64(slots(subset[i])) {
			return slices.IndexFunc(candidates, func(c registrar.Candidate) bool { return c.ID == subset[i].ID })
		}
	}
	return LeastLoaded(key, fleet.DataCentre, candidates)
}

// subsetOf returns the n candidates with the highest weighted rendezvous hashes of the
// instance.
func subsetOf(fleet Fleet, candidates []registrar.Candidate, n int) []registrar.Candidate {
	score := func(c registrar.Candidate) float64 {
		weight := 1.0
		if c.DataCentre == fleet.DataCentre {
			weight = localWeight
		}
		unit := (float64(rendezvous(fleet.Instance, c.ID)>>11) + 0.5) / (1 << 53)
		return -weight / math.Log(unit)
	}
	scores := make(map[string]float64, len(candidates))
	for _, c := range candidates {
		scores[c.ID] = score(c)
	}
	sorted := slices.SortedFunc(slices.Values(candidates), func(a, b registrar.Candidate) int {
		return cmp.Compare(scores[b.ID], scores[a.ID])
	})
	return sorted[:n]
}

func rendezvous(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
