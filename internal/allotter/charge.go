package allotter

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// initialNeed is the number of requests that a program of an unknown route is taken to
	// need. It has the weight of minEnded programs. Until as many have ended, the requests
	// of those under way count.
	initialNeed = 3
	minEnded    = 3
	// needWeight is the weight of the last program in the moving average of its route.
	needWeight = 1.0 / 32
	// maxPrograms limits the programs that are remembered for an account.
	maxPrograms = 2048
	// programTimeout is how long a program without requests counts as under way.
	programTimeout = 10 * time.Second
	// newProgramShare is the part of what exceeds the quota that may be used to start
	// programs. The rest is left to programs under way, whose requests don't arrive evenly.
	newProgramShare = 0.5
	// reservedShare is the largest part of the tokens that is left to programs under way, and
	// reserveTime the time for which they can wait for further ones.
	reservedShare = 0.5
	reserveTime   = time.Second
	// owedMemory is the time constant with which requests are forgotten that programs were
	// charged with and did not need.
	owedMemory = 3 * time.Second
	// Beyond the quota, programs start at an even rate, with at most pacedDepth of what
	// exceeds the quota at once. Without that, programs that start together every few
	// seconds fill windows beyond the bound.
	pacedDepth = 0.8
	// minPacedPrograms is the least number of programs to which the depth amounts. With one,
	// the time until the next program arrives would be lost.
	minPacedPrograms = 1.5
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

// need is what is known of the programs of a route.
type need struct {
	// started and requests count the programs and their requests so far, and ended the
	// programs that have ended, with the mean number of their requests.
	started, requests, ended int
	mean                     float64
}

// needs holds what programs need, by route.
type needs map[uint16]*need

func (n needs) get(route uint16) *need {
	if n[route] == nil {
		n[route] = &need{}
	}
	return n[route]
}

// charge returns the number of requests that a new program is expected to need.
func (n *need) charge() int {
	mean := n.mean
	if n.ended < minEnded {
		mean = float64(initialNeed*minEnded+n.requests) / float64(minEnded+n.started)
	}
	return max(int(math.Round(mean)), 1)
}

// learn records a program that has ended after the number of requests.
func (n *need) learn(requests int) {
	n.ended++
	weight := max(needWeight, 1/float64(n.ended))
	n.mean += (float64(requests) - n.mean) * weight
}

// account is an issuer's state of one account.
type account struct {
	limits  Limits
	version int64
	// quota is the number of requests in a window that the account may send.
	quota float64
	// permits has a token for each request that may be permitted now, by the right with
	// rightID.
	permits bucket
	rightID rightID
	// used counts the permits, charged the requests that admitted programs are expected to
	// need, and refused the programs that were not admitted.
	used, charged, refused window
	// owed is the number of requests that programs under way are expected to need still, as
	// of owedAt.
	owed   float64
	owedAt time.Duration
	// paced is the number of charged requests that are ahead of the even rate at pacedAt.
	paced    float64
	pacedAt  time.Duration
	programs *simplelru.LRU[uint32, *program]
	needs    needs
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
			needs.get(p.route).learn(p.requests)
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

// begin begins to issue permits by the right if it is another one than before. The bucket fills
// from the time at which the right began, and not for a time that another right was used in. Until
// contestedUntil it has filled for contestedPart.
func (a *account) begin(id rightID, start time.Time, contestedUntil time.Duration, contestedPart float64) {
	if id != a.rightID {
		a.rightID, a.permits = id, bucket{at: max(id.beganAt.Sub(start), a.permits.at)}
	}
	if contestedUntil > a.permits.at {
		a.fill(contestedUntil, contestedPart)
	}
}

// fill fills the bucket as for the part of the bound. It returns the quota's part, and the bound's.
func (a *account) fill(now time.Duration, part float64) (soft, most float64) {
	soft, most = a.quota*part, a.limits.bound(a.quota)*part
	a.permits.fill(now, soft/float64(a.limits.Window), most-soft)
	return soft, most
}

// decide decides about one request. This issuer may permit the given part of the bound.
//
// It answers the load of an account that sends several times its quota: programs are charged
// with all that they will need when they start, so that the excess is refused at first turns
// and the requests of programs under way find room below the bound.
func (a *account) decide(now time.Duration, in item, part, sample float64) result {
	a.lastUsed = now
	a.endPrograms(now)
	soft, most := a.fill(now, part)
	rate := soft / float64(a.limits.Window)
	p, isKnown := a.programs.Get(in.Program)
	isUnderWay := in.Program != 0 && (isKnown || in.Route == 0)
	if isUnderWay {
		if wait := a.permits.timeUntil(1, rate); wait > 0 {
			if isKnown {
				p.isWhole = false // It may end before its time.
			}
			return newResult(windowFull, wait)
		}
		a.owed = max(a.owed-1, 0)
		a.grant(now, in, p, false)
		return newResult(granted, 0)
	}
	charge := 1
	if in.Program != 0 {
		charge = a.needs.get(in.Route).charge()
	}
	if wait := a.waitForProgram(now, charge, soft, most); wait > 0 {
		// Those that were refused return over the time in which there will be room for them.
		a.refused.add(now, 1)
		spread := float64(a.refused.count(now)*charge) / max(soft, 1) * float64(a.limits.Window)
		wait += time.Duration(sample * min(spread, float64(a.limits.Window)))
		return newResult(programRefused, wait)
	}
	a.charged.add(now, charge)
	a.paced += float64(charge)
	a.owed += float64(charge - 1)
	a.grant(now, in, nil, true)
	return newResult(granted, 0)
}

// waitForProgram returns how long it takes until a program with the charge can start; zero if
// it can start now.
func (a *account) waitForProgram(now time.Duration, charge int, soft, most float64) time.Duration {
	limit := int(soft + (most-soft)*newProgramShare)
	rate := soft / float64(a.limits.Window)
	a.paced = max(a.paced-float64(now-a.pacedAt)*rate, 0)
	a.pacedAt = now
	charged := a.charged.count(now)
	a.owed *= math.Exp(-float64(now-a.owedAt) / float64(owedMemory))
	a.owedAt = now
	reserved := min(a.owed-rate*float64(reserveTime), (most-soft)*reservedShare)
	wait := a.permits.timeUntil(max(reserved, 1), rate)
	// A program that needs more than there is starts alone.
	if over := charged + charge - int(most); over > 0 && charged > 0 {
		wait = max(wait, a.charged.timeUntil(now, min(over, charged)))
	}
	depth := max((most-soft)*pacedDepth, float64(charge)*minPacedPrograms)
	if ahead := a.paced + float64(charge) - depth; ahead > 0 && charged+charge > limit {
		wait = max(wait, time.Duration(min(ahead/max(rate, math.SmallestNonzeroFloat32), float64(time.Hour))), 1)
	}
	return wait
}

// grant counts a permit.
func (a *account) grant(now time.Duration, in item, p *program, isFirst bool) {
	a.permits.take()
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
	if p.isWhole {
		n := a.needs.get(p.route)
		n.requests++
		if isFirst {
			n.started++
		}
	}
}
