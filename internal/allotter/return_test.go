package allotter

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
)

// recoveryTime is the time after the return of the instances by which each account is to be served,
// as the bound `recovery_s` of the users states.
const recoveryTime = 15 * time.Second

// killAll ends all processes at once, and starts those of the instances that come back after the
// time.
func (f *fleet) killAll(down time.Duration, away map[int]bool) {
	for i := range f.nodes {
		f.kill(i)
	}
	time.Sleep(down)
	for i := range f.nodes {
		if !away[i] {
			f.restart(i)
		}
	}
}

// timeUntilServed sends requests of each account at instances that are back, and returns the time
// until the first one of each has a permit; limit for accounts that have none by then.
func (f *fleet) timeUntilServed(accounts int, away map[int]bool, limit time.Duration) []time.Duration {
	start, out := time.Now(), make([]time.Duration, accounts)
	var work sync.WaitGroup
	for k := range accounts {
		out[k] = limit
		work.Go(func() {
			for id := 0; time.Since(start) < limit; id++ {
				i := f.draw(len(f.nodes))
				if away[i] {
					continue
				}
				in := Request{Account: fmt.Sprint("account-", k), Version: 1, Rate: 20, Route: "r", ID: fmt.Sprint(k, "-", id), IsUnderWay: true}
				if f.request(i, in, 0).Result == Granted {
					out[k] = time.Since(start)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	work.Wait()
	return out
}

// Guards against a return that waits for all instances: after the loss of all of them, no account
// was served until the rows of those that stay away were dropped.
func TestAccountsAreServedAfterTheLossOfAllInstancesAlthoughSomeStayAway(t *testing.T) {
	const size, accounts = 40, 80
	for _, test := range []struct {
		away int
		down time.Duration
	}{{0, 1400 * time.Millisecond}, {1, 1400 * time.Millisecond}, {3, 1400 * time.Millisecond}, {size / 10, 1400 * time.Millisecond}, {3, 25 * time.Second}} {
		t.Run(fmt.Sprint(test.away, "-", test.down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size, 1, 0)
				time.Sleep(30 * time.Second)
				// Those that stay away are the issuers of one account, and others.
				away := map[int]bool{}
				for _, m := range f.node(0).RowRanking("account-0", min(test.away, issuersPerAccount)) {
					away[index(m.Address)] = true
				}
				for i := 0; len(away) < test.away; i += 7 {
					away[i] = true
				}
				f.killAll(test.down, away)
				times := f.timeUntilServed(accounts, away, time.Minute)
				f.stop()
				time.Sleep(time.Second) // All calls end.
				late, longest := 0, time.Duration(0)
				for _, d := range times {
					if longest = max(longest, d); d > recoveryTime {
						late++
					}
				}
				t.Logf("the first request of each account was served after %v at the longest", longest)
				if late > 0 {
					t.Errorf("%d of %d accounts are not served within %v", late, accounts, recoveryTime)
				}
			})
		})
	}
}

// cutOff cuts the instance off from the others and from the store.
func (f *fleet) cutOff(i int, isCut bool) {
	for k := range f.nodes {
		f.setCut(i, k, isCut && i != k)
		f.setCut(k, i, isCut && i != k)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{fmt.Sprint("i-", i): isCut}})
}

// Guards against the part of an issuer that is lost until its row is deleted, and against an issuer
// that goes on by an older table beside the one that stands in for it: an issuer is cut off, and
// later returns, while all instances get several times the quota.
func TestInstanceStandsInForAnIssuerThatIsCutOff(t *testing.T) {
	const size, rate = 6, 100
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size, seed, 0)
				start := time.Now()
				done := make(chan struct{})
				var work sync.WaitGroup
				account := fmt.Sprint("account-", seed)
				sum := f.watchParts(account, rate, done)
				for k := range 12 {
					work.Go(func() { f.demand(k, account, rate, done) })
				}
				time.Sleep(30 * time.Second)
				issuer := index(f.node(0).RowRanking(account, issuersPerAccount)[seed%issuersPerAccount].Address)
				f.cutOff(issuer, true)
				cutAt := time.Now()
				time.Sleep(34 * time.Second)
				f.cutOff(issuer, false)
				time.Sleep(30 * time.Second)
				close(done)
				work.Wait()
				f.stop()
				time.Sleep(10 * time.Second) // All calls end.
				if most, bound := f.mostInWindow(start), int(testLimits.bound(rate*testLimits.Window.Seconds())); most > bound {
					t.Errorf("%d requests in a window, %d allowed", most, bound)
				}
				checkSum(t, sum)
				reachable := 0
				from, to := cutAt.Add(recoveryTime), cutAt.Add(34*time.Second)
				for _, r := range f.runs {
					if r.instance != issuer && r.ranAt.After(from) && r.ranAt.Before(to) {
						reachable++
					}
				}
				used := float64(reachable) / to.Sub(from).Seconds() / rate
				t.Logf("%.2f of the quota used without the issuer", used)
				if used < 0.7 {
					t.Errorf("%.2f of the quota used without the issuer, three quarters are there", used)
				}
			})
		})
	}
}

// Guards against two instances that stand in for the same issuer: one that can't take a contest of
// its own back, as its writes fail, gives way to the next one.
func TestContestedInstanceStandsInForNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 1, 0)
		time.Sleep(30 * time.Second)
		ranking := f.node(0).RowRanking("account-0", candidatesPerAccount)
		first, next := f.node(index(ranking[issuersPerAccount].Address)), f.node(index(ranking[issuersPerAccount+1].Address))
		contest := func(n *node, instance string) {
			for _, row := range n.Rows().Others {
				if row.Instance == instance {
					if err := n.ContestMember(t.Context(), row); err != nil {
						t.Error(err)
					}
				}
			}
		}
		parts := func(n *node) float64 {
			n.allotter.mu.Lock()
			defer n.allotter.mu.Unlock()
			r := n.allotter.lockedNewRight("account-0", time.Now())
			r.standIn.update(&n.allotter.tenure, "account-0", time.Now().Add(-discoverer.StandInDelay-rightMargin))
			return r.part(&n.allotter.tenure, "account-0", time.Now())
		}
		f.kill(index(ranking[0].Address))
		contest(next, ranking[0].Instance)
		time.Sleep(2 * time.Second)
		if part := parts(first); part != (1-contestedShare)/issuersPerAccount {
			t.Errorf("the first candidate issues %v of the bound", part)
		}
		setMembers := func(members Members) {
			first.allotter.mu.Lock()
			defer first.allotter.mu.Unlock()
			first.allotter.tenure.members = members
		}
		setMembers(contestedMembers{first})
		// Others begin later than that.
		time.Sleep(discoverer.StandInDelay)
		if part := parts(first); part != 0 {
			t.Errorf("the first candidate issues %v of the bound while it is contested", part)
		}
		setMembers(first)
		if part := parts(first); part != (1-contestedShare)/issuersPerAccount {
			t.Errorf("the first candidate issues %v of the bound, not contested", part)
		}
		f.stop()
		time.Sleep(10 * time.Second) // All calls end.
	})
}

// contestedMembers are the members of an instance that is contested.
type contestedMembers struct{ *node }

func (contestedMembers) Contest() (isContested bool, endedAt time.Time) { return true, time.Time{} }
