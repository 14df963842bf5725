// Package apportioner divides scarce capacity between accounts by weighted max-min fairness:
// what an account does not ask for is divided between those that ask for more than their
// share. It keeps what was asked for in the last seconds. A bookkeeper sees a random sample of
// all programs, as these are distributed over bookkeepers by a hash, so that its sample has
// the shares of the whole fleet. An Apportioner is safe for concurrent use.
package apportioner

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// bucketLength and bucketCount give the window of demand. A bookkeeper sees some three new
	// programs a second, so that a shorter window does not tell accounts apart.
	bucketLength = time.Second
	bucketCount  = 8
	// maxAccounts bounds the memory. Accounts beyond it have one share together.
	maxAccounts = 2000
	// maxWork bounds the work of one program and the weight of an account. Other figures come
	// from an invalid configuration or a fault.
	maxWork = 1e9
	// floorDivisor is the least part of what all accounts together are served that an account
	// is served.
	floorDivisor = 4
)

// Contender is an account that asks for capacity for a program. Its tags are those of the
// messages that carry it between instances.
type Contender struct {
	Account string `cbor:"1,keyasint,omitempty"`
	// Service and Level name those among whom capacity is divided.
	Service string `cbor:"2,keyasint"`
	Level   int    `cbor:"3,keyasint,omitempty"`
	// Work is what the program needs, and Weight the share of the account relative to others;
	// zero if none is configured.
	Work   float64 `cbor:"4,keyasint"`
	Weight float64 `cbor:"5,keyasint,omitempty"`
	// Refused is the share of the programs of the level that is to be refused.
	Refused float64 `cbor:"6,keyasint,omitempty"`
	// UnknownRoute is the route of the program if the instance has not learned yet what its
	// programs need.
	UnknownRoute string `cbor:"7,keyasint,omitempty"`
}

// group is those among whom capacity is divided.
type group struct {
	service string
	level   int
}

// claimant is an account within a group.
type claimant struct {
	group
	account string
}

// Demand is what an account asked for.
type Demand struct {
	Work   float64
	Weight float64
}

// tally is how much of the work for a service was asked for and refused.
type tally struct{ asked, refused float64 }

// bucket is the demand of one interval.
type bucket struct {
	demands map[claimant]Demand
	tallies map[string]tally
}

// Apportioner keeps the demand of accounts.
type Apportioner struct {
	mu      sync.Mutex
	buckets [bucketCount]bucket
	started time.Time
	current int64
}

// New returns an Apportioner without demand.
func New() *Apportioner { return &Apportioner{} }

// Ask records that the account asks for capacity, and returns the share of its programs that
// is to be refused.
func (a *Apportioner) Ask(c Contender) float64 { return a.AskAt(time.Now(), c) }

// AskAt is Ask at the given time, which must not precede that of an earlier call by much.
func (a *Apportioner) AskAt(at time.Time, c Contender) float64 {
	c.Refused = bounded(c.Refused, 0, 1)
	c.Work = bounded(c.Work, 1, maxWork)
	c.Weight = bounded(c.Weight, 0, maxWork)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.lockedBucket(at)
	key := claimant{group: group{service: c.Service, level: c.Level}, account: c.Account}
	if _, isKnown := now.demands[key]; !isKnown && len(now.demands) >= maxAccounts {
		key = claimant{}
	}
	d := now.demands[key]
	now.demands[key] = Demand{Work: d.Work + c.Work, Weight: c.Weight}
	refused := c.Refused
	if refused > 0 && key != (claimant{}) {
		demands, own := a.lockedDemands(key)
		refused = Refused(demands, own, c.Refused)
	}
	t := a.lockedTally(c.Service)
	if asked := t.asked + c.Work; asked > 0 {
		// The floor is the same for all levels, so that it does not favour a less urgent one.
		served := 1 - (t.refused+refused*c.Work)/asked
		refused = min(refused, 1-served/floorDivisor)
	}
	t = now.tallies[c.Service]
	now.tallies[c.Service] = tally{asked: t.asked + c.Work, refused: t.refused + refused*c.Work}
	return refused
}

// bounded returns the value within the bounds, and the lower one for NaN.
func bounded(value, least, most float64) float64 {
	if math.IsNaN(value) {
		return least
	}
	return min(max(value, least), most)
}

// lockedBucket returns the bucket of the moment. Those that have left the window are empty.
func (a *Apportioner) lockedBucket(at time.Time) *bucket {
	if a.started.IsZero() {
		a.started = at
	}
	number := int64(at.Sub(a.started) / bucketLength)
	for n := max(a.current+1, number-bucketCount+1); n <= number; n++ {
		a.buckets[n%bucketCount] = bucket{}
	}
	a.current = max(a.current, number)
	b := &a.buckets[a.current%bucketCount]
	if b.demands == nil {
		*b = bucket{demands: map[claimant]Demand{}, tallies: map[string]tally{}}
	}
	return b
}

// lockedDemands returns the demands of the accounts in the claimant's group, and the index of
// its own.
func (a *Apportioner) lockedDemands(own claimant) ([]Demand, int) {
	var demands []Demand
	index := map[string]int{}
	for i := range a.buckets {
		for key, d := range a.buckets[i].demands {
			if key.group != own.group {
				continue
			}
			at, isKnown := index[key.account]
			if !isKnown {
				at = len(demands)
				index[key.account] = at
				demands = append(demands, Demand{})
			}
			demands[at] = Demand{Work: demands[at].Work + d.Work, Weight: d.Weight}
		}
	}
	return demands, index[own.account]
}

func (a *Apportioner) lockedTally(service string) tally {
	var sum tally
	for i := range a.buckets {
		t := a.buckets[i].tallies[service]
		sum.asked += t.asked
		sum.refused += t.refused
	}
	return sum
}

// Refused returns the share of the work of one account to refuse if a share of the work of
// all accounts has to be refused.
func Refused(demands []Demand, account int, refused float64) float64 {
	weights := weightsOf(demands)
	total := 0.0
	for _, d := range demands {
		total += d.Work
	}
	level := levelOf(demands, weights, (1-refused)*total)
	return 1 - min(level*weights[account]/demands[account].Work, 1)
}

// weightsOf returns the weights of the accounts. Those without one have the mean of the
// others.
func weightsOf(demands []Demand) []float64 {
	sum, n := 0.0, 0
	for _, d := range demands {
		if d.Weight > 0 {
			sum += d.Weight
			n++
		}
	}
	weights := make([]float64, len(demands))
	for i, d := range demands {
		switch {
		case d.Weight > 0:
			weights[i] = d.Weight
		case n > 0:
			weights[i] = sum / float64(n)
		default:
			weights[i] = 1
		}
	}
	return weights
}

// levelOf returns the work per weight up to which accounts are served if the capacity is
// divided by max-min fairness.
func levelOf(demands []Demand, weights []float64, capacity float64) float64 {
	order := make([]int, len(demands))
	left := 0.0
	for i := range order {
		order[i] = i
		left += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].Work*weights[b], demands[b].Work*weights[a])
	})
	level := 0.0
	for _, i := range order {
		level = capacity / left
		if demands[i].Work > level*weights[i] {
			return level
		}
		capacity -= demands[i].Work
		left -= weights[i]
		level = demands[i].Work / weights[i]
	}
	return level
}
