package allotter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
)

// ask asks the instance itself for a permit of the account, as the call of another one would.
func (f *fleet) ask(i int, account string, rate float64) code {
	out := f.node(i).allotter.issue(issueRequest{{Account: account, Version: 1, Quota: int64(rate * testLimits.Window.Seconds() * quotaScale), Program: 1}})
	return out.Results[0].code()
}

// part returns the part of the bound that the instance issues now.
func (f *fleet) part(i int, account string) float64 {
	n := f.node(i)
	f.mu.Lock()
	isFrozen := time.Now().Before(n.frozenUntil)
	f.mu.Unlock()
	if n.ctx.Err() != nil || isFrozen {
		return 0
	}
	a := n.allotter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if elapsed(a.tenure.observedAt, now) > observeInterval {
		a.lockedObserve(now)
	}
	if acct := a.accounts[account]; acct != nil {
		return acct.right.part(&a.tenure, account, now)
	}
	return 0
}

// watchParts asks all instances for the account, and returns a function that returns the largest sum of their
// parts so far, with a description.
func (f *fleet) watchParts(account string, rate float64, done <-chan struct{}) func() (float64, string) {
	var mu sync.Mutex
	largest, parts := 0.0, ""
	start := time.Now()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			sum, each := 0.0, make([]float64, len(f.nodes))
			for i := range f.nodes {
				if n := f.node(i); n.ctx.Err() == nil {
					n.allotter.mu.Lock()
					isNew := n.allotter.accounts[account] == nil
					n.allotter.mu.Unlock()
					if isNew {
						f.ask(i, account, rate)
					}
				}
				each[i] = f.part(i, account)
				sum += each[i]
			}
			mu.Lock()
			if sum > largest {
				largest, parts = sum, fmt.Sprintf("%v after %v", each, time.Since(start))
			}
			mu.Unlock()
		}
	}()
	return func() (float64, string) {
		mu.Lock()
		defer mu.Unlock()
		return largest, parts
	}
}

// contest lets an instance contest another one. It may fail.
func (f *fleet) contest(by, contested int) {
	n := f.node(by)
	for _, row := range n.Rows().Others {
		if row.Instance == fmt.Sprint("i-", contested) && !row.IsContested {
			ctx, cancel := context.WithTimeout(n.ctx, contestTimeout)
			_ = n.ContestMember(ctx, row) // The store may be away for the instance.
			cancel()
		}
	}
}

// contestUntilRead lets an instance contest another one until it has read that.
func (f *fleet) contestUntilRead(t *testing.T, by, contested int) {
	t.Helper()
	for range 5 {
		f.contest(by, contested)
		time.Sleep(1100 * time.Millisecond)
		rows := f.node(by).Rows().Others
		if slices.ContainsFunc(rows, func(r discoverer.Row) bool { return r.Instance == fmt.Sprint("i-", contested) && r.IsContested }) {
			return
		}
	}
	t.Errorf("instance %d is not contested", contested)
}

// isolate cuts the instances off from the store and from all others, and all others from them.
func (f *fleet) isolate(isolated ...int) {
	refused := map[string]bool{}
	for _, i := range isolated {
		refused[fmt.Sprint("i-", i)] = true
	}
	f.rows.SetFaults(fakeplatform.RowFaults{Refused: refused})
	for i := range f.nodes {
		for k := range f.nodes {
			isCut := i != k && (slices.Contains(isolated, i) || slices.Contains(isolated, k))
			f.setCut(i, k, isCut)
		}
	}
}

// startAll starts the processes of instances of one size.
func startAll(size int) *fleet {
	f := emptyFleet(size)
	for i := range f.nodes {
		f.startNode(i, "first", 1, f.rows.For(fmt.Sprint("i-", i)))
	}
	return f
}

// accountInOrder returns an account whose order of the instances, all of one size, begins with the indices.
func accountInOrder(t *testing.T, size int, first ...int) string {
	t.Helper()
	cores := slices.Repeat([]float64{1}, size)
	return accountWith(t, func(account string) bool { return slices.Equal(orderOf(account, cores...)[:len(first)], first) })
}

// accountBeforeBookkeeper returns an account, and its order of the instances, all of one size, of which the
// only bookkeeper, whose row lapses sooner, is the last.
func accountBeforeBookkeeper(t *testing.T, size int) (account string, order []int) {
	t.Helper()
	order = orderOf("", slices.Repeat([]float64{1}, size)...)
	order = append(order[1:], order[0])
	return accountInOrder(t, size, order...), order
}

// waitUntilStoodIn lets an instance contest another one, and waits until the one that stands in issues.
func (f *fleet) waitUntilStoodIn(t *testing.T, account string, by, contested, standIn int) {
	t.Helper()
	f.contestUntilRead(t, by, contested)
	time.Sleep(12 * time.Second)
	if part := f.part(standIn, account); part == 0 {
		t.Error("nobody stands in")
	}
}

// checkSum fails the test if the instances issued more than the whole bound.
func checkSum(t *testing.T, largest func() (float64, string)) {
	t.Helper()
	if sum, parts := largest(); sum > 1 {
		t.Errorf("the instances issue %v of the bound: %s", sum, parts)
	}
}

// end ends all processes and waits until their calls have ended.
func (f *fleet) end(done chan struct{}) {
	close(done)
	f.stop()
	time.Sleep(10 * time.Second)
}

// serviceWindow is the longest time without a permit for an account of which some instance stands in.
const serviceWindow = 4 * time.Second

// longestWithoutPermit asks the instances for the time, and returns the longest time in which none grants.
func (f *fleet) longestWithoutPermit(account string, d time.Duration, at ...int) time.Duration {
	start, last, longest := time.Now(), time.Now(), time.Duration(0)
	for time.Since(start) < d {
		for _, i := range at {
			if f.node(i).ctx.Err() == nil && f.part(i, account) > 0 {
				last = time.Now()
			}
		}
		longest = max(longest, time.Since(last))
		time.Sleep(100 * time.Millisecond)
	}
	return longest
}

// Guards against an account that is refused for 8 s at each change of the members that precede the one that
// stands in for its issuers.
func TestAccountIsServedDespiteChangesOfOtherMembers(t *testing.T) {
	// The members killed and restarted are named by their places in the order of the account. The rows
	// of those killed lapse some 20 s after an instance has begun to stand in for them.
	for _, test := range []struct {
		killed    []int
		restarted int
		pause     time.Duration
	}{
		{[]int{0, 1}, -1, 0},
		{[]int{0, 1, 2}, -1, 0},
		{[]int{0, 1}, 0, 0},
		{[]int{0, 1}, 1, 0},
		{[]int{0, 1, 2}, 2, 0},
		{[]int{0, 1, 2}, 2, 14 * time.Second},
		{[]int{0, 1, 2}, 2, 17 * time.Second},
		{[]int{0, 1, 2}, 2, 20 * time.Second},
		// The row of the third one lapses before those of the issuers.
		{[]int{2, 0, 1}, -1, 0},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			account, order := accountBeforeBookkeeper(t, 6)
			synctest.Test(t, func(t *testing.T) {
				f := startAll(6)
				time.Sleep(46 * time.Second)
				done := make(chan struct{})
				sum := f.watchParts(account, 20, done)
				time.Sleep(time.Second)
				isEarlier := test.killed[0] == 2
				if isEarlier {
					time.Sleep(16 * time.Second)
				}
				for n, place := range test.killed {
					if n == 1 && isEarlier {
						time.Sleep(3 * time.Second)
					}
					f.kill(order[place])
					f.contestUntilRead(t, order[4], order[place])
				}
				time.Sleep(12 * time.Second)
				if test.restarted >= 0 {
					time.AfterFunc(test.pause, func() {
						i := order[test.restarted]
						f.startNode(i, "second", 1, f.rows.For(fmt.Sprint("i-", i)))
					})
				}
				longest := f.longestWithoutPermit(account, time.Minute, order...)
				f.end(done)
				t.Logf("for %v nobody issued", longest)
				if longest > serviceWindow {
					t.Errorf("for %v nobody issued, %v allowed", longest, serviceWindow)
				}
				checkSum(t, sum)
			})
		})
	}
}

// Guards against an account that loses a part for 9 s after a contest that was taken back at once: of an
// issuer, or of the instance that stands in for the issuers.
func TestPartsReturnSoonAfterAContestThatIsTakenBack(t *testing.T) {
	for _, killed := range []int{0, 2} {
		t.Run(fmt.Sprint("killed-", killed), func(t *testing.T) {
			account, order := accountBeforeBookkeeper(t, 6)
			synctest.Test(t, func(t *testing.T) {
				f := startAll(6)
				time.Sleep(46 * time.Second)
				done := make(chan struct{})
				sum := f.watchParts(account, 20, done)
				time.Sleep(time.Second)
				for _, i := range order[:killed] {
					f.kill(i)
					f.contestUntilRead(t, order[4], i)
				}
				time.Sleep(12 * time.Second)
				issuing, whole := order[killed], f.part(order[killed], account)
				f.contest(order[4], issuing)
				reduced := time.Duration(0)
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					if f.part(issuing, account) < whole {
						reduced += 100 * time.Millisecond
					}
				}
				f.end(done)
				t.Logf("%v of the bound reduced for %v", whole, reduced)
				if whole == 0 || reduced == 0 || reduced > serviceWindow {
					t.Errorf("%v of the bound reduced for %v, %v allowed", whole, reduced, serviceWindow)
				}
				checkSum(t, sum)
			})
		})
	}
}

// Guards against an instance that goes on standing in by a former table for an issuer whose place another one
// takes that has joined since, which both have confirmed.
func TestIssuerThatJoinsBesideAStandInKeepsTheBound(t *testing.T) {
	account, order := accountBeforeBookkeeper(t, 6)
	synctest.Test(t, func(t *testing.T) {
		f := emptyFleet(6)
		contested := &gatedRows{Rows: f.rows.For(fmt.Sprint("i-", order[2]))}
		for _, i := range order[1:] {
			rows := f.rows.For(fmt.Sprint("i-", i))
			if i == order[2] {
				rows = contested
			}
			f.startNode(i, "first", 1, rows)
		}
		f.startNode(order[0], "none", 1, f.rows.For("none"))
		f.kill(order[0])
		time.Sleep(46 * time.Second)
		done := make(chan struct{})
		sum := f.watchParts(account, 20, done)
		time.Sleep(time.Second)
		// The second issuer can't take the contest back.
		contested.refusesWrites.Store(true)
		f.waitUntilStoodIn(t, account, order[4], order[2], order[3])
		f.startNode(order[0], "first", 1, f.rows.For(fmt.Sprint("i-", order[0])))
		time.Sleep(4 * time.Second)
		if part := f.part(order[0], account); part == 0 {
			t.Error("the instance that has joined issues nothing")
		}
		f.end(done)
		checkSum(t, sum)
	})
}

// Guards against a process that issues its whole half although its instance was contested some seconds
// before: another one may still stand in for it.
func TestRestartAfterAContestKeepsTheBound(t *testing.T) {
	for _, isRead := range []bool{true, false} {
		for pause := time.Duration(0); pause <= 8*time.Second; pause += 500 * time.Millisecond {
			t.Run(fmt.Sprint("read-", isRead, "-", pause), func(t *testing.T) {
				account, order := accountBeforeBookkeeper(t, 6)
				synctest.Test(t, func(t *testing.T) {
					f := startAll(6)
					time.Sleep(46 * time.Second)
					done := make(chan struct{})
					sum := f.watchParts(account, 20, done)
					time.Sleep(time.Second)
					f.isolate(order[0])
					f.waitUntilStoodIn(t, account, order[4], order[0], order[2])
					f.isolate()
					if !isRead {
						// The one that stands in reads no more.
						f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{fmt.Sprint("i-", order[2]): true}})
					}
					time.Sleep(pause)
					f.startNode(order[0], "second", 1, f.rows.For(fmt.Sprint("i-", order[0])))
					time.Sleep(20 * time.Second)
					f.end(done)
					checkSum(t, sum)
				})
			})
		}
	}
}

// Guards against a newcomer that begins as the second issuer beside an instance that is alone by its table
// and issues the whole bound.
func TestJoinBesideAnInstanceAloneKeepsTheBound(t *testing.T) {
	const rate = 20
	account := accountInOrder(t, 2, 0, 1)
	synctest.Test(t, func(t *testing.T) {
		f := emptyFleet(2)
		f.startNode(0, "first", 1, f.rows.For("i-0"))
		f.startNode(1, "none", 1, f.rows.For("i-1"))
		f.kill(1)
		time.Sleep(46 * time.Second)
		done := make(chan struct{})
		sum := f.watchParts(account, 20, done)
		time.Sleep(time.Second)
		f.isolate(0)
		f.startNode(1, "first", 1, f.rows.For("i-1"))
		f.demandFor(account, rate, 20*time.Second)
		f.end(done)
		bound := int(testLimits.bound(rate * testLimits.Window.Seconds()))
		if most := f.mostInWindow(time.Time{}); most > bound {
			t.Errorf("%d requests in a window, %d allowed", most, bound)
		}
		checkSum(t, sum)
	})
}

// Guards against a bucket that is filled twice for one time, as a right returns after another one.
func TestRightDoesNotReturnWithAFullBucket(t *testing.T) {
	start := time.Now()
	a := newAccount(testLimits, needs{})
	a.update(1, 100)
	first, second := rightID{since: start, beganAt: start}, rightID{since: start.Add(time.Minute), beganAt: start.Add(time.Minute)}
	count := 0
	drain := func(at time.Duration, id rightID) {
		a.begin(id, start, 0, 0)
		for a.decide(at, item{Program: 1}, 0.5, 0).code() == granted {
			count++
		}
	}
	drain(time.Minute, first)
	drain(time.Minute+time.Second, second)
	drain(time.Minute+2*time.Second, first)
	// In 2 s the part allows a burst, and 2 s of the rate.
	allowed := (a.limits.bound(a.quota)-a.quota)*0.5 + a.quota*0.5*2/testLimits.Window.Seconds()
	if count > int(allowed) {
		t.Errorf("%d requests in 2 s, %v allowed", count, allowed)
	}
}

// Guards against a bucket that fills as if an issuer's whole part had been its own while another instance
// stood in for it: nobody asks it meanwhile.
func TestIssuerThatWasContestedBeginsWithTheTokensLeftToIt(t *testing.T) {
	const rate = 4
	account, order := accountBeforeBookkeeper(t, 6)
	synctest.Test(t, func(t *testing.T) {
		f := startAll(6)
		time.Sleep(46 * time.Second)
		// All three have full buckets.
		for _, i := range order[:3] {
			f.ask(i, account, rate)
		}
		time.Sleep(10 * time.Second)
		f.ask(order[0], account, rate)
		f.isolate(order[0])
		f.contestUntilRead(t, order[4], order[0])
		time.Sleep(12 * time.Second)
		f.ask(order[2], account, rate)
		time.Sleep(4 * time.Second)
		f.isolate()
		f.waitForWholePart(t, account, rate, order[2], order[0])
		f.useTokens(account, rate, 5*time.Second, order[:2]...)
		checkMost(t, f, rate)
	})
}

// Guards against a bucket that fills for the whole bound as of the time of another issuer.
func TestIssuerThatIsLeftAloneBeginsWithTheTokensOfItsPart(t *testing.T) {
	const rate = 4
	account := accountInOrder(t, 2, 0, 1)
	synctest.Test(t, func(t *testing.T) {
		f := startAll(2)
		time.Sleep(46 * time.Second)
		for i := range f.nodes {
			f.ask(i, account, rate)
		}
		time.Sleep(10 * time.Second)
		for f.ask(1, account, rate) == granted {
			f.record(1)
		}
		if err := f.node(1).Deregister(t.Context()); err != nil {
			t.Error(err)
		}
		for start := time.Now(); f.part(0, account) < 1 && time.Since(start) < 30*time.Second; {
			time.Sleep(10 * time.Millisecond)
		}
		f.useTokens(account, rate, 5*time.Second, 0)
		checkMost(t, f, rate)
	})
}

// useTokens lets the instances use all their tokens for the time.
func (f *fleet) useTokens(account string, rate float64, d time.Duration, at ...int) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		for _, i := range at {
			for f.ask(i, account, rate) == granted {
				f.record(i)
			}
		}
	}
}

// useTokensAtTheEnd lets an instance that stands in use its tokens at the end of its right, if that
// is now.
func (f *fleet) useTokensAtTheEnd(account string, rate float64, standIn int) {
	a := f.node(standIn).allotter
	a.mu.Lock()
	var end time.Time
	if contested := a.accounts[account].right.standIn.contested; len(contested) > 0 && !contested[0].shownAt.IsZero() {
		end = contested[0].shownAt.Add(discoverer.StandInDelay)
	}
	a.mu.Unlock()
	for !end.IsZero() && time.Until(end) < 50*time.Millisecond && f.ask(standIn, account, rate) == granted {
		f.record(standIn)
	}
}

// waitForWholePart waits until the issuer has its whole part again. The one that stands in for it uses its
// tokens at the end of its right.
func (f *fleet) waitForWholePart(t *testing.T, account string, rate float64, standIn, issuer int) {
	t.Helper()
	for start := time.Now(); f.part(standIn, account) > 0 || f.part(issuer, account) < 1.0/issuersPerAccount; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 30*time.Second {
			t.Error("the issuer does not have its whole part again")
			return
		}
		f.useTokensAtTheEnd(account, rate, standIn)
	}
}

// record records a request of the instance that is sent and run now.
func (f *fleet) record(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{i, time.Now(), time.Now()})
}

// Guards against two issuers of one part in short faults, which contests, deletions and restarts of
// members in different places of the order make of each other.
func TestPartsKeepTheBoundDespiteShortFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(rt, "size")
		account := fmt.Sprint("account-", rapid.IntRange(0, 20).Draw(rt, "account"))
		seed := rapid.Uint64().Draw(rt, "seed")
		var faults []fault
		for range rapid.IntRange(1, 14).Draw(rt, "faults") {
			faults = append(faults, fault{
				pause:  time.Duration(rapid.IntRange(0, 9_000).Draw(rt, "pause")) * time.Millisecond,
				kind:   rapid.SampledFrom([]string{"kill", "restart", "freeze", "isolate", "partition", "storeCut", "contest", "leave", "loss"}).Draw(rt, "kind"),
				i:      rapid.IntRange(0, size-1).Draw(rt, "i"),
				j:      rapid.IntRange(0, size-1).Draw(rt, "j"),
				length: time.Duration(rapid.IntRange(100, 20_000).Draw(rt, "length")) * time.Millisecond,
				away:   rapid.IntRange(0, 1<<size-1).Draw(rt, "away"),
			})
		}
		var sum float64
		var parts string
		synctest.Test(t, func(*testing.T) {
			f := newFleet(size, seed, 0)
			done := make(chan struct{})
			largest := f.watchParts(account, 20, done)
			store := &storeFaults{rows: f.rows, refused: map[string]int{}}
			time.Sleep(30 * time.Second)
			for _, x := range faults {
				time.Sleep(x.pause)
				if x.kind == "contest" {
					if x.i != x.j {
						f.contest(x.i, x.j)
					}
					continue
				}
				f.apply(x, store)
			}
			time.Sleep(40 * time.Second)
			f.end(done)
			sum, parts = largest()
		})
		if sum > 1 {
			rt.Fatalf("the instances issue %v of the bound: %s", sum, parts)
		}
	})
}

// Guards against an instance that stands in by an old table: cut off, it gives up before the next one
// begins.
func TestInstanceThatIsCutOffStandsInNoLonger(t *testing.T) {
	account, order := accountBeforeBookkeeper(t, 6)
	synctest.Test(t, func(t *testing.T) {
		f := startAll(6)
		time.Sleep(46 * time.Second)
		done := make(chan struct{})
		sum := f.watchParts(account, 20, done)
		time.Sleep(time.Second)
		f.kill(order[0])
		f.contestUntilRead(t, order[4], order[0])
		time.Sleep(12 * time.Second)
		if part := f.part(order[2], account); part != (1-contestedShare)/issuersPerAccount {
			t.Errorf("the third instance issues %v of the bound", part)
		}
		f.isolate(order[2])
		f.contestUntilRead(t, order[4], order[2])
		time.Sleep(discoverer.StandInDelay + 2*time.Second)
		if part := f.part(order[2], account); part != 0 {
			t.Errorf("the third instance issues %v of the bound, cut off", part)
		}
		if part := f.part(order[3], account); part != (1-contestedShare)/issuersPerAccount {
			t.Errorf("the fourth instance issues %v of the bound", part)
		}
		f.end(done)
		checkSum(t, sum)
	})
}
