package allotter

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// initialNeed is the number of requests that a program is taken to need before one of
	// its route has ended.
	initialNeed = 4
	// needWeight is the weight of the last program in the moving average of its route.
	needWeight = 1.0 / 16
	// maxPrograms limits the programs that are remembered for an account.
	maxPrograms = 2048
	// programTimeout is how long a program without requests counts as under way.
	programTimeout = 10 * time.Second
	// newProgramShare is the part of what exceeds the quota that may be used to start
	// programs. The rest is left to programs under way, whose requests don't arrive evenly.
	newProgramShare = 0.5
)

// Limits are the tolerances of the bound on an account's requests.
type Limits struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Overage is the fraction, and Tolerance the number, of requests by which the quota may
	// be exceeded.
	Overage   float64
	Tolerance float64
}

// bound returns the number of requests that all issuers together may permit in a window, for
// an account with the quota.
func (l Limits) bound(quota float64) float64 { return quota*(1+l.Overage) + l.Tolerance }

// program is a program that has got permits.
type program struct {
	route    uint16
	requests int
	lastUsed time.Duration
	// isWhole is set if the first request of the program was seen, so that the number of
	// its requests is known when it ends.
	isWhole bool
}

// needs holds the mean number of requests that programs need, by route.
type needs map[uint16]float64

func (n needs) of(route uint16) float64 {
	if need, ok := n[route]; ok {
		return need
	}
	return initialNeed
}

// learn records a program that has needed the number of requests.
func (n needs) learn(route uint16, requests int) {
	need := n.of(route)
	n[route] = need + (float64(requests)-need)*needWeight
}

// account is an issuer's state of one account.
type account struct {
	limits  Limits
	version int64
	// quota is the number of requests in a window that the account may send.
	quota float64
	// used counts the permits, charged the requests that admitted programs are expected to
	// need, and refused the programs that were not admitted.
	used, charged, refused window
	programs               *simplelru.LRU[uint32, *program]
	needs                  needs
	// right is that of this instance to issue the account's permits.
	right right
	// lastUsed is the time of the last request.
	lastUsed time.Duration
}

func newAccount(limits Limits, needs needs) *account {
	a := &account{
		limits: limits, needs: needs, version: -1,
		used: newWindow(limits.Window), charged: newWindow(limits.Window), refused: newWindow(limits.Window),
	}
	// NewLRU fails only for a size of zero.
	a.programs, _ = simplelru.NewLRU(maxPrograms, func(_ uint32, p *program) {
		if p.isWhole {
			needs.learn(p.route, p.requests)
		}
	})
	return a
}

// update sets the quota unless that of a newer version is known.
func (a *account) update(version int64, quota float64) {
	if version >= a.version {
		a.version, a.quota = version, quota
	}
}

// endPrograms forgets the programs that have had no request for a while.
func (a *account) endPrograms(now time.Duration) {
	for {
		_, p, ok := a.programs.GetOldest()
		if !ok || now-p.lastUsed < programTimeout {
			return
		}
		a.programs.RemoveOldest()
	}
}

// decide decides about one request. This issuer may permit the given part of the bound.
//
// It answers the load of an account that sends several times its quota: programs are charged
// with all that they will need when they start, so that the excess is refused at first turns
// and the requests of programs under way find room below the bound.
func (a *account) decide(now time.Duration, in item, part, sample float64) result {
	a.lastUsed = now
	a.endPrograms(now)
	most := int(a.limits.bound(a.quota) * part)
	used := a.used.count(now)
	p, isKnown := a.programs.Get(in.Program)
	isUnderWay := in.Program != 0 && (isKnown || in.IsUnderWay)
	if isUnderWay {
		if used >= most {
			return result{Code: windowFull, Wait: milliseconds(a.used.timeUntil(now, used+1-most))}
		}
		a.grant(now, in, p, false)
		return result{Code: granted}
	}
	charge := 1
	if in.Program != 0 {
		charge = max(int(math.Round(a.needs.of(in.Route))), 1)
	}
	soft := a.quota * part
	limit := int(soft + (float64(most)-soft)*newProgramShare)
	charged := a.charged.count(now)
	// A program that needs more than the limit is admitted alone.
	if overCharge, overUse := charged+charge-limit, used+1-limit; (overCharge > 0 && charged > 0) || overUse > 0 {
		wait := max(a.charged.timeUntil(now, min(overCharge, charged)), a.used.timeUntil(now, overUse))
		// Those that were refused return over the time in which there will be room for them.
		a.refused.add(now, 1)
		spread := float64(a.refused.count(now)*charge) / max(soft, 1) * float64(a.limits.Window)
		wait += time.Duration(sample * min(spread, float64(a.limits.Window)))
		return result{Code: programRefused, Wait: milliseconds(wait)}
	}
	a.charged.add(now, charge)
	a.grant(now, in, nil, true)
	return result{Code: granted}
}

// grant counts a permit.
func (a *account) grant(now time.Duration, in item, p *program, isFirst bool) {
	a.used.add(now, 1)
	if in.Program == 0 {
		return
	}
	if p == nil {
		p = &program{route: in.Route, isWhole: isFirst}
		a.programs.Add(in.Program, p)
	}
	p.requests++
	p.lastUsed = now
	if p.isWhole && float64(p.requests) > a.needs.of(p.route) {
		// Programs that already needed more than the mean count before they end, so
		// that a start value that is too low is corrected early.
		a.needs.learn(p.route, p.requests)
	}
}

func milliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}
