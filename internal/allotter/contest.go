package allotter

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

const (
	// contestAfter is for how long all calls to an issuer must have failed before it is contested.
	// A call fails after callTimeout, and is tried again every unreachableTimeout.
	contestAfter = 1500 * time.Millisecond
	// recentTime is how long a call is recent.
	recentTime = 2 * unreachableTimeout
	// contestPause is the time for which an issuer that has taken a contest back is not contested
	// again. It runs, and has the table.
	contestPause = time.Minute
	// contestsPerLook is the mean number of instances that contest an issuer at a time, if none
	// reaches it.
	contestsPerLook = 2
	// contestTimeout limits the calls and the write of a contest, and maxProbes the other members of
	// which one must answer before it.
	contestTimeout = 2 * time.Second
	maxProbes      = 3
)

// contestable returns the rows of the issuers that this instance has not reached for a while and
// that may be contested.
func (a *Allotter) contestable(now time.Time) []discoverer.Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.tenure
	if !t.isValid || t.hasOlderBuilds() {
		return nil
	}
	failures := a.client.recentFailures(now)
	var out []discoverer.Row
	for _, m := range t.others {
		f, isFailing := failures[m.Address]
		if isFailing && !m.IsContested && now.Sub(f.since) >= contestAfter && now.Sub(t.takenBackAt[m.Incarnation]) >= contestPause {
			out = append(out, m)
		}
	}
	return out
}

// recentFailures returns the issuers whose recent calls failed, and forgets the others.
func (c *client) recentFailures(now time.Time) map[netip.AddrPort]failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.failures, func(_ netip.AddrPort, f failure) bool { return now.Sub(f.last) > recentTime })
	return maps.Clone(c.failures)
}

// contest contests the issuers that this instance does not reach. Of many instances that do not
// reach one, few write at a time.
func (a *Allotter) contest(ctx context.Context, now time.Time) {
	for _, m := range a.contestable(now) {
		if randomFraction() >= contestsPerLook/float64(a.memberCount()) {
			continue
		}
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, contestTimeout)
			defer cancel()
			if !a.reachesOther(callCtx, m) {
				return // The fault may be this instance's own.
			}
			err := a.members.ContestMember(callCtx, m)
			a.log.Log(eventIssuerContested, "Issuer", m.Instance, "Cause", err)
		}()
	}
}

func (a *Allotter) memberCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tenure.others) + 1
}

// reachesOther reports whether one of some other members answers.
func (a *Allotter) reachesOther(ctx context.Context, contested discoverer.Row) bool {
	a.mu.Lock()
	others := slices.Clone(a.tenure.others)
	a.mu.Unlock()
	others = slices.DeleteFunc(others, func(m discoverer.Row) bool { return m.Instance == contested.Instance || m.IsContested })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	self := a.members.Self()
	for _, m := range others[:min(len(others), maxProbes)] {
		callCtx, cancel := context.WithTimeout(ctx, introduceTimeout)
		var out introductionResponse
		err := a.caller.Call(callCtx, m.Address, methodIntroduce, introduction{Instance: self.Instance, Incarnation: self.Incarnation}, &out)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
