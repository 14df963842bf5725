package chooser

import (
	"math"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// objectMargin is the load, in requests per slot, by which the endpoint of an object may exceed
// the least loaded one. Requests of one object are few, so that half a request per slot is
// enough for chance, and no endpoint gets a queue while others are idle.
const objectMargin = 0.5

// ForObject returns the index of the endpoint for a call that concerns an object, or -1 if there
// is none within the margin. All instances choose the same one while they know of the same
// endpoints, so that it is the one that recently had the object: the highest in the rendezvous
// ranking of the object, and the second while the first is loaded or to be avoided. A third one
// would seldom have the object, so that the call is then placed as others are.
func ForObject(object string, candidates []registrar.Candidate) int {
	candidates = withLikelyLoads(candidates)
	first, second := -1, -1
	var firstHash, secondHash uint64
	least := math.Inf(1)
	for i, c := range candidates {
		if !c.Avoid {
			least = min(least, c.Load/float64(slots(c)))
		}
		switch hash := rendezvous(object, c.ID); {
		case first < 0 || hash > firstHash:
			first, second, firstHash, secondHash = i, first, hash, firstHash
		case second < 0 || hash > secondHash:
			second, secondHash = i, hash
		}
	}
	for _, i := range []int{first, second} {
		if i >= 0 && !candidates[i].Avoid && candidates[i].Load/float64(slots(candidates[i])) <= least+objectMargin {
			return i
		}
	}
	return -1
}
