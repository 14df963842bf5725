package allotter

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

const (
	// introduceInterval is the time between two attempts to introduce this instance to
	// members that have not confirmed it.
	introduceInterval = 500 * time.Millisecond
	// introduceTimeout limits the call to a member, and introduceConcurrency the number of
	// concurrent calls.
	introduceTimeout     = 200 * time.Millisecond
	introduceConcurrency = 16
	// idleTimeout is how long the state of an account is kept after its last use.
	idleTimeout = 10 * time.Minute
	// maxItems limits the requests in one call.
	maxItems = 64
)

// issue decides about the requests of another instance, or of this one.
func (a *Allotter) issue(in issueRequest) issueResponse {
	out := issueResponse{Results: make([]result, 0, len(in))}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, i := range in[:min(len(in), maxItems)] {
		// The time is taken for each, after the look at the members: a permit counts at
		// the time at which this instance was last known to have the right.
		now := time.Now()
		if elapsed(a.tenure.observedAt, now) > observeInterval {
			a.lockedObserve(now)
		}
		acct := a.accounts[i.Account]
		if acct == nil {
			acct = newAccount(a.limits, a.needs)
			acct.right = a.lockedNewRight(i.Account, now)
			a.accounts[i.Account] = acct
		}
		acct.update(i.Version, float64(i.Quota)/quotaScale)
		acct.lastUsed = now.Sub(a.start)
		part := acct.right.part(&a.tenure, i.Account, now)
		if part == 0 {
			out.Results = append(out.Results, newResult(notIssuer, 0))
			if len(out.Issuers) == 0 {
				out.Issuers = a.candidates(i.Account).issuers
			}
			continue
		}
		acct.begin(acct.right.id, a.start, a.tenure.contestedUntil.Sub(a.start), acct.right.contestedPart)
		out.Results = append(out.Results, acct.decide(now.Sub(a.start), i, part, randomFraction()))
	}
	return out
}

// lockedNewRight returns the right for an account that is new to this instance.
func (a *Allotter) lockedNewRight(name string, now time.Time) right {
	a.lockedObserve(now)
	var r right
	r.update(&a.tenure, name)
	return r
}

// lockedObserve looks at the table of members and updates the rights if they have changed.
func (a *Allotter) lockedObserve(now time.Time) {
	t := &a.tenure
	changes, wasValid := t.changes, t.isValid
	t.observe(now)
	if t.changes != changes {
		for name, acct := range a.accounts {
			acct.right.update(t, name)
			acct.right.standIn.update(t, name, now)
		}
	}
	switch {
	case wasValid && !t.isValid:
		a.log.Log(eventTenureEnded, "IsCurrent", t.members.IsCurrent(), "IsListed", t.own.Version != 0)
	case !wasValid && t.isValid:
		a.log.Log(eventTenureBegan, "Members", len(t.others)+1, "Unsure", len(t.unsure))
	}
}

// lockedForget removes the accounts that have not been used for a while.
func (a *Allotter) lockedForget(now time.Time) {
	for name, acct := range a.accounts {
		if now.Sub(a.start)-acct.lastUsed > idleTimeout {
			delete(a.accounts, name)
		}
	}
}

// confirm handles the introduction of an instance. If the instance is in this one's table,
// this instance issues no permits from now on for the accounts for which the other one is
// an issuer in its place.
func (a *Allotter) confirm(in introduction) introductionResponse {
	row, isListed := a.find(in.Instance, in.Incarnation)
	return introductionResponse{IsListed: isListed && row.ExistsFrom() == in.ExistsFrom}
}

// confirmProcess handles the introduction of an instance that does not state its row.
func (a *Allotter) confirmProcess(in processIntroduction) introductionResponse {
	_, isListed := a.find(in.Instance, in.Incarnation)
	return introductionResponse{IsListed: isListed}
}

// find returns the row of the process from this instance's table.
func (a *Allotter) find(instance, incarnation string) (row discoverer.Row, isListed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lockedObserve(time.Now())
	for _, m := range a.tenure.others {
		if m.Instance == instance && m.Incarnation == incarnation {
			return m, true
		}
	}
	return discoverer.Row{}, false
}

// candidates are the addresses of the instances that may issue an account's permits.
type candidates struct {
	// issuers are the issuers, the one that stands in for contested ones, and those. The first of
	// them, as many as stated, are uncontested issuers.
	issuers     []netip.AddrPort
	uncontested int
	// spares are the others that may stand in.
	spares []netip.AddrPort
}

func (a *Allotter) candidates(account string) candidates {
	var out candidates
	var contested []netip.AddrPort
	hasStandIn := false
	for place, m := range a.members.RowRanking(account, candidatesPerAccount) {
		switch {
		case place < issuersPerAccount && m.IsContested:
			contested = append(contested, m.Address)
		case place < issuersPerAccount:
			out.issuers = append(out.issuers, m.Address)
			out.uncontested++
		case len(contested) > 0 && !m.IsContested && !hasStandIn:
			out.issuers = append(out.issuers, m.Address)
			hasStandIn = true
		default:
			out.spares = append(out.spares, m.Address)
		}
	}
	out.issuers = append(out.issuers, contested...)
	return out
}

// introduce introduces this instance to the members.
func (a *Allotter) introduce(ctx context.Context, members []discoverer.Row) {
	self := a.members.Self()
	a.mu.Lock()
	term, existsFrom := a.tenure.term, a.tenure.existsFrom
	a.mu.Unlock()
	var calls errgroup.Group
	calls.SetLimit(introduceConcurrency)
	for _, m := range members {
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, introduceTimeout)
			defer cancel()
			var out introductionResponse
			var err error
			if m.StatesKnowledge() {
				in := introduction{Instance: self.Instance, Incarnation: self.Incarnation, ExistsFrom: existsFrom}
				err = a.caller.Call(callCtx, m.Address, methodIntroduce, in, &out)
			} else {
				in := processIntroduction{Instance: self.Instance, Incarnation: self.Incarnation}
				err = a.caller.Call(callCtx, m.Address, methodIntroduceProcess, in, &out)
			}
			if err != nil || !out.IsListed {
				return nil // The next attempt follows.
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.tenure.term == term {
				a.tenure.confirmed[m.Incarnation] = true
			}
			return nil
		})
	}
	_ = calls.Wait() // The functions return no errors.
}
