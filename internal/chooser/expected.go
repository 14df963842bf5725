package chooser

import (
	"math"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// distance is the time that a request to another data centre takes beyond one to the own.
	distance = 5 * time.Millisecond
	// neighbourShare is the part of a request's own work that a full set of neighbours within
	// the slots adds to it, as the requests of an endpoint share its machine.
	neighbourShare = 0.5
	// waitWeight is the weight of the wait against the request's own work. A request that
	// waits delays those that come after it. With a weight of 1, requests queue at fast
	// endpoints while slower ones are idle; see docs/design/placement.md.
	waitWeight = 8
	// homeShare is the part of the work by which it must end earlier elsewhere for a turn to
	// leave its home. Learned speeds differ by less from one sample to the next.
	homeShare = 0.1
	// maxPace bounds the effect of a stated pace, so that a wrong figure does not move all
	// traffic.
	maxPace = 4
	// paceMaxAge is how long a stated pace is used. Bursts of neighbours last some hundred
	// milliseconds.
	paceMaxAge = 300 * time.Millisecond
	// usualTurnover is used while nothing is known of how long requests take.
	usualTurnover = 100 * time.Millisecond
)

// Work is what a request needs at an endpoint of usual speed.
type Work struct {
	// DataCentre is that of this instance.
	DataCentre string
	// Prefill is the time for reading the whole prompt, or that of a call to a plain service,
	// and Generation the time for the output.
	Prefill, Generation time.Duration
	// Home is the ID of the endpoint that has a part of the prompt in its cache, and Cached
	// the time that this saves. Home is empty if there is none.
	Home   string
	Cached time.Duration
	// Turnover is the time for which a request usually takes a slot; 0 if it is not known.
	Turnover time.Duration
}

// ForWork returns the index of the endpoint for the work among the few candidates that
// registrar.Registry.Draw returns, or -1 if there is none. It is the endpoint of the own data
// centre that invites, or else the one at which the work is expected to cost least; but the home unless the work costs
// clearly more there.
func ForWork(w Work, candidates []registrar.Candidate) int {
	home, best, lowest := -1, -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		cost := cost(w, c)
		switch {
		case c.IsInviting && !c.Avoid && c.DataCentre == w.DataCentre:
			cost = math.Inf(-1)
		case c.ID == w.Home && home < 0:
			home = i
			continue
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if home >= 0 && (best < 0 || cost(w, &candidates[home]) <= cost(w, &candidates[best])+homeShare*float64(ExpectedWork(w, &candidates[best]))) {
		return home
	}
	return best
}

// cost is the expected time of the work with its wait weighted. Candidates with recent
// failures are behind all others.
func cost(w Work, c *registrar.Candidate) float64 {
	cost := waitWeight*float64(ExpectedWait(w, c)) + float64(ExpectedWork(w, c))
	if c.Avoid {
		cost += float64(time.Hour)
	}
	return cost
}

// ExpectedWait returns the time until the work is expected to run if it is sent now.
func ExpectedWait(w Work, c *registrar.Candidate) time.Duration {
	n := float64(slots(*c))
	ahead := max(c.Load-n+1, 0) + n*limitCostOf(*c)
	return time.Duration(ahead / n * float64(turnover(w)) * c.Speed.Generation() * pace(c))
}

// ExpectedWork returns the time from when the work runs to its end, with the way to the
// endpoint.
func ExpectedWork(w Work, c *registrar.Candidate) time.Duration {
	prefill := w.Prefill
	if w.Home != "" && c.ID == w.Home {
		prefill -= min(w.Cached, prefill)
	}
	work := float64(prefill)*c.Speed.Prefill() + float64(w.Generation)*c.Speed.Generation()
	if w.Prefill+w.Generation == 0 {
		// Nothing is known of the work yet, so that the load decides.
		work = float64(turnover(w))
	}
	inSlots := min(max(c.Load, 0)/float64(slots(*c)), 1)
	expected := time.Duration(work * (1 + neighbourShare*inSlots) * pace(c))
	if c.DataCentre != w.DataCentre {
		expected += distance
	}
	return expected
}

func turnover(w Work) time.Duration {
	if w.Turnover > 0 {
		return w.Turnover
	}
	return usualTurnover
}

// pace returns how long work takes on the candidate's machine now, in multiples of the usual
// time.
func pace(c *registrar.Candidate) float64 {
	if c.Pace <= 0 || c.Age < 0 || c.Age > paceMaxAge {
		return 1
	}
	return min(max(c.Pace, 1.0/maxPace), maxPace)
}
