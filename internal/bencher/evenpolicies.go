package bencher

import (
	"math"
	"strconv"

	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// forcedMargin is the default of the setting Placement.Margin.
	forcedMargin = 1.5
	// leastShare is the share of an endpoint without free places, in places.
	leastShare = 0.1
	// levelSteps is the number of bisections for the level.
	levelSteps = 17
)

// evenPolicies returns the policies of the comparison.
func evenPolicies() []EvenPolicy {
	return []EvenPolicy{
		{Name: "Least loaded of all", choose: leastLoaded},
		{Name: "Two by hash (TwoByHash)", choose: twoByHash, ownHome: true},
		{Name: "Two by hash, own sends", Knowledge: OwnSends, choose: twoByHash, ownHome: true},
		{Name: "Weighted by age", Knowledge: OwnSends, choose: byLevel},
		{Name: "Shares by rate", Knowledge: OwnSends, choose: byShares},
		{Name: "Soonest of 2", Knowledge: OwnSends, Sampled: 2},
		{Name: "Soonest of 2, told sends", Knowledge: ToldSends, Sampled: 2},
		{Name: "Soonest of 8, told sends", Knowledge: ToldSends, Sampled: 8},
		{Name: "Invitations, own sends", Knowledge: OwnSends, Sampled: 3, Invited: true},
		{Name: "Invitations, told sends (Soonest)", Knowledge: ToldSends, Sampled: 3, Invited: true},
	}
}

func leastLoaded(m *evenModel, w chooser.Work, candidates []registrar.Candidate) int {
	return chooser.LeastLoaded(strconv.Itoa(m.sent), w.DataCentre, candidates)
}

// twoByHash is the placement that takes the loads of all endpoints into account. It keeps the
// home by its margin.
func twoByHash(m *evenModel, w chooser.Work, candidates []registrar.Candidate) int {
	return chooser.ForTurn(chooser.Turn{Key: strconv.Itoa(m.sent), Home: w.Home, DataCentre: w.DataCentre}, candidates, forcedMargin)
}

// byShares draws an endpoint with a chance in proportion to the rate at which it has places.
func byShares(m *evenModel, _ chooser.Work, candidates []registrar.Candidate) int {
	return draw(m.choices.Float64(), candidates, func(c *registrar.Candidate) float64 {
		return max(evenSlots-c.Load, leastShare) / c.Speed.Generation()
	})
}

// byLevel draws an endpoint as if the requests that arrived since the reports had been spread
// so that all loads are level: with a chance in proportion to how far its load is below that
// level.
func byLevel(m *evenModel, _ chooser.Work, candidates []registrar.Candidate) int {
	arrived := m.rate * float64(max(m.Turns, 1)) * m.Age.Seconds()
	low, high := math.Inf(1), 0.0
	for i := range candidates {
		low, high = min(low, workLeft(&candidates[i])), max(high, workLeft(&candidates[i]))
	}
	high += arrived + 1
	for range levelSteps {
		level, room := (low+high)/2, 0.0
		for i := range candidates {
			room += max(level-workLeft(&candidates[i]), 0) / candidates[i].Speed.Generation()
		}
		if room < arrived {
			low = level
		} else {
			high = level
		}
	}
	return draw(m.choices.Float64(), candidates, func(c *registrar.Candidate) float64 {
		return max(high-workLeft(c), 0) / c.Speed.Generation()
	})
}

// workLeft returns the load in relation to how fast the endpoint works it off.
func workLeft(c *registrar.Candidate) float64 { return c.Load * c.Speed.Generation() }

// draw returns the index of a candidate that is drawn in proportion to the weights.
func draw(sample float64, candidates []registrar.Candidate, weight func(*registrar.Candidate) float64) int {
	total := 0.0
	for i := range candidates {
		total += weight(&candidates[i])
	}
	left := sample * total
	for i := range candidates {
		if left -= weight(&candidates[i]); left < 0 {
			return i
		}
	}
	return len(candidates) - 1
}
