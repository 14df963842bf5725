package allotter

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

const (
	// contestAfter is for how long all calls to an issuer must have failed before it is contested.
	// A call fails after callTimeout, and is tried again every unreachableTimeout.
	contestAfter = 1500 * time.Millisecond
	// recentTime is how long a call is recent.
	recentTime = 2 * unreachableTimeout
	// contestPause is the time until this instance contests the same issuer again. One that has taken
	// a contest back runs, and others reach it.
	contestPause = 30 * time.Second
	// contestsPerLook is the mean number of instances that contest an issuer at a time, if none reaches it.
	contestsPerLook = 2
	// contestTimeout limits the write.
	contestTimeout = time.Second
)

// contestable returns the rows of issuers that this instance has not reached for a while and
// contests now. It contests none while it reaches fewer than it does not: the fault may be its own.
func (a *Allotter) contestable(now time.Time, sample func() float64) []discoverer.Row {
	a.mu.Lock()
	t := &a.tenure
	others, isValid := t.others, t.isValid && !t.hasOlderBuilds()
	a.mu.Unlock()
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	failing, answering := a.client.countRecent(now)
	if !isValid || failing == 0 || answering < failing {
		return nil
	}
	var out []discoverer.Row
	for _, m := range others {
		f, isFailing := a.client.failures[m.Address]
		if !isFailing || m.IsContested || now.Sub(f.since) < contestAfter || now.Sub(a.client.contestedAt[m.Address]) < contestPause {
			continue
		}
		if sample() < contestsPerLook/float64(len(others)+1) {
			a.client.contestedAt[m.Address] = now
			out = append(out, m)
		}
	}
	return out
}

// countRecent counts the issuers whose recent calls failed and those that answered, and forgets
// the others.
func (c *client) countRecent(now time.Time) (failing, answering int) {
	for address, f := range c.failures {
		if now.Sub(f.last) > recentTime {
			delete(c.failures, address)
		}
	}
	forget(c.answeredAt, now, recentTime)
	forget(c.contestedAt, now, contestPause)
	return len(c.failures), len(c.answeredAt)
}

func forget(times map[netip.AddrPort]time.Time, now time.Time, after time.Duration) {
	for address, at := range times {
		if now.Sub(at) > after {
			delete(times, address)
		}
	}
}

// contest contests the issuers that this instance does not reach.
func (a *Allotter) contest(ctx context.Context, now time.Time) {
	for _, m := range a.contestable(now, randomFraction) {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, contestTimeout)
			defer cancel()
			err := a.members.ContestMember(callCtx, m)
			a.log.Log(eventIssuerContested, "Issuer", m.Instance, "Cause", err)
		}()
	}
}
