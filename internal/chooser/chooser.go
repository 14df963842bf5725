// Package chooser selects the endpoint for a request. Its functions are pure and
// safe for concurrent use.
package chooser

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// remotePenalty is added to the cost of endpoints in other data centres. Half a
	// request makes distance decide only between equal loads.
	remotePenalty = 0.5
	// avoidPenalty ranks endpoints with recent failures behind all others.
	avoidPenalty = 1e6
)

// ForProgram returns the index of the endpoint for a turn, or -1 if there is no
// candidate. Programs have affinity to a home endpoint because under sustained
// overload engines otherwise spend most of their time on prefilling prompts that
// another engine has in its cache. The home is the endpoint with the highest
// rendezvous hash of the program, so all instances agree on it without
// communication. The least loaded endpoint is returned instead if the load of the
// home exceeds its load by more than margin times the slots of the home.
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

// LeastLoaded returns the index of the endpoint with the lowest load, or -1 if
// there is no candidate. Among equal loads it prefers the given data centre, and
// then the highest hash of the key, so that instances that see the same loads do
// not all choose the same endpoint.
func LeastLoaded(key, dataCentre string, candidates []registrar.Candidate) int {
	best, lowest := -1, math.Inf(1)
	var highest uint64
	for i, c := range candidates {
		cost := math.Floor(c.Load)
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

func rendezvous(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
