// Package chooser owns the choice of an endpoint for one request. Its functions
// are pure: what they know comes with the call.
package chooser

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// remotePenalty is what a request to another data centre counts for beside
	// the load: half a request, so that distance decides between equals.
	remotePenalty = 0.5
	// avoidPenalty puts endpoints with recent failures behind all others.
	avoidPenalty = 1e6
)

// ForProgram chooses the endpoint for a turn. It answers sustained overload, in
// which most of an engine's time goes to reading prompts that another engine
// has in its cache: a program stays on its home, the endpoint with the highest
// rendezvous hash, unless the home has more requests above the least loaded
// endpoint than margin times its slots. The home depends on the program and the endpoints
// alone, so that all instances agree on it without talking.
func ForProgram(program string, candidates []registrar.Candidate, margin float64) int {
	home, least := -1, -1
	var highest uint64
	for i, c := range candidates {
		if c.Avoid {
			continue
		}
		if hash := rendezvous(program, c.ID); home < 0 || hash > highest {
			home, highest = i, hash
		}
		if least < 0 || c.Load < candidates[least].Load {
			least = i
		}
	}
	if home < 0 {
		return LeastLoaded(program, "", candidates)
	}
	if candidates[home].Load > candidates[least].Load+margin*float64(max(candidates[home].Slots, 1)) {
		return least
	}
	return home
}

// LeastLoaded chooses the endpoint with the fewest requests for its slots,
// preferring the data centre given. Ties go by the hash of the key, so that
// instances that see the same loads do not all choose the same endpoint. It
// returns -1 if there is no candidate.
func LeastLoaded(key, dataCentre string, candidates []registrar.Candidate) int {
	best, lowest := -1, math.Inf(1)
	var highest uint64
	for i, c := range candidates {
		cost := math.Floor(c.Load)
		if c.DataCentre != dataCentre {
			cost += remotePenalty
		}
		// A request beyond the slots waits for a whole other one.
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

func rendezvous(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest never fails to write.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
