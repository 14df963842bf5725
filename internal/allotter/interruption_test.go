package allotter

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// gatedRows is the store as an instance sees it whose reads or writes fail for a time.
type gatedRows struct {
	storer.Rows
	refusesReads, refusesWrites atomic.Bool
	// onDelete is called before a row is deleted.
	onDelete func(name string)
}

func (r *gatedRows) List(ctx context.Context, list storer.Range) (storer.Page, error) {
	if r.refusesReads.Load() {
		return storer.Page{}, storer.ErrUnavailable
	}
	return r.Rows.List(ctx, list)
}

func (r *gatedRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	if r.refusesReads.Load() {
		return storer.Page{}, storer.ErrUnavailable
	}
	return r.Rows.Changes(ctx, table, after, wait)
}

func (r *gatedRows) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	if r.refusesWrites.Load() {
		return 0, storer.ErrUnavailable
	}
	if r.onDelete != nil && changes[0].Delete {
		r.onDelete(changes[0].Name)
	}
	return r.Rows.Transact(ctx, changes)
}

func (r *gatedRows) refuse(isRefused bool) {
	r.refusesReads.Store(isRefused)
	r.refusesWrites.Store(isRefused)
}

// startGated starts the instances of one size with gates before their stores, which call the function, if
// there is one, before a row is deleted.
func startGated(size int, onDelete func(gates []*gatedRows, name string)) (*fleet, []*gatedRows) {
	f := emptyFleet(size)
	gates := make([]*gatedRows, size)
	for i := range f.nodes {
		gates[i] = &gatedRows{Rows: f.rows.For(fmt.Sprint("i-", i))}
		if onDelete != nil {
			gates[i].onDelete = func(name string) { onDelete(gates, name) }
		}
	}
	for i := range f.nodes {
		f.startNode(i, "first", 1, gates[i])
	}
	return f, gates
}

// rowSeen returns the row of an instance in the table of another one.
func (f *fleet) rowSeen(by, of int) discoverer.Row {
	rows := f.node(by).Rows().Others
	if i := slices.IndexFunc(rows, func(r discoverer.Row) bool { return r.Instance == fmt.Sprint("i-", of) }); i >= 0 {
		return rows[i]
	}
	return discoverer.Row{}
}

func waitUntil(t *testing.T, what string, limit time.Duration, isSo func() bool) {
	t.Helper()
	for start := time.Now(); !isSo(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Error("not within the time: ", what)
			return
		}
	}
}

// cutOffAfterHeartbeat cuts the instance off from the store after its next heartbeat, for which its lease is
// current for some 20 s, and lets another one contest it.
func (f *fleet) cutOffAfterHeartbeat(t *testing.T, gate *gatedRows, i, by int) {
	t.Helper()
	before := f.rowSeen(by, i).Heartbeats
	waitUntil(t, "the heartbeat is read", 25*time.Second, func() bool { return f.rowSeen(by, i).Heartbeats > before })
	gate.refuse(true)
	f.contest(by, i)
}

// Guards against an instance that counts a member before it as contested all the time, because it has read
// two contests of it, and not that the first one was taken back in between.
func TestContestThatIsTakenBackUnseenKeepsTheBound(t *testing.T) {
	account, order := accountBeforeBookkeeper(t, 6)
	first, third, fourth, by := order[0], order[2], order[3], order[4]
	synctest.Test(t, func(t *testing.T) {
		f, gates := startGated(6, nil)
		time.Sleep(46 * time.Second)
		done := make(chan struct{})
		sum := f.watchParts(account, 20, done)
		time.Sleep(time.Second)
		f.cutOffAfterHeartbeat(t, gates[first], first, by)
		waitUntil(t, "the fourth one reads the contest", 5*time.Second, func() bool {
			f.contest(by, third) // It fails if the row was written meanwhile.
			return f.rowSeen(fourth, third).IsContested
		})
		gates[fourth].refuse(true) // For less than 8 s.
		seenVersion := f.rowSeen(fourth, third).Version
		waitUntil(t, "the contest is taken back", 3*time.Second, func() bool { r := f.rowSeen(by, third); return r.Version > seenVersion && !r.IsContested })
		time.Sleep(4 * time.Second)
		gates[third].refuse(true)
		f.contest(by, third)
		gates[fourth].refuse(false)
		time.Sleep(20 * time.Second)
		f.end(done)
		checkSum(t, sum)
	})
}

// suspended returns the time with a time of day that is later, as after a suspension in which the steady clock stood still.
func suspended(at time.Time, d time.Duration) time.Time {
	const secondsShift = 30 // In the first word of a time with a steady clock.
	*(*uint64)(unsafe.Pointer(&at)) += uint64(d/time.Second) << secondsShift
	return at
}

// quietMembers are the members of an instance that is not contested.
type quietMembers struct{ self discoverer.Member }

func (m quietMembers) RowRanking(string, int) []discoverer.Member { return nil }
func (m quietMembers) IsCurrent() bool                            { return true }
func (m quietMembers) Rows() discoverer.Rows                      { return discoverer.Rows{} }

func (m quietMembers) Contest() (isContested bool, endedAt time.Time)      { return false, time.Time{} }
func (m quietMembers) ContestMember(context.Context, discoverer.Row) error { return nil }
func (m quietMembers) Self() discoverer.Member                             { return m.self }

// Guards against an instance that goes on standing in by a former table after its machine was suspended, while
// the steady clock stood still.
func TestSuspensionEndsStandingInByAFormerTable(t *testing.T) {
	account := accountInOrder(t, 3, 0, 1, 2)
	now := time.Now()
	later := suspended(now, 20*time.Second)
	if d := elapsed(now, later); d != 20*time.Second {
		t.Fatalf("%v elapsed", d)
	}
	tn := tenure{members: quietMembers{memberWithCores(2, 1)}, cleanAt: later, changes: 1} // It has read the table since.
	c := contestedIssuer{since: now.Add(-20 * time.Second), shownAt: now.Add(-time.Second)}
	for i := range 2 {
		row := discoverer.Row{Member: memberWithCores(i, 1), Version: int64(i + 1)}
		row.ReadVersion = 5
		tn.others = append(tn.others, row)
		c.preceding = append(c.preceding, idOf(&row))
	}
	s := standIn{changes: 1, contested: []contestedIssuer{c}}
	if part, _ := s.part(&tn, account, now.Add(6*time.Second)); part == 0 {
		t.Error("it does not stand in before the end")
	}
	if part, _ := s.part(&tn, account, later); part != 0 {
		t.Errorf("13 s after the end it issues %v of the bound by a former table", part)
	}
}

// Guards against an instance that stands in for others at once after its row was deleted and written anew,
// and nothing was read in between.
func TestRowThatIsWrittenAnewKeepsTheBound(t *testing.T) {
	account, order := accountBeforeBookkeeper(t, 6)
	first, third, fourth, by := order[0], order[2], order[3], order[4]
	synctest.Test(t, func(t *testing.T) {
		var deleted atomic.Bool
		f, gates := startGated(6, func(gates []*gatedRows, name string) {
			if name == fmt.Sprint("i-", third) && !deleted.Swap(true) {
				gates[third].refusesReads.Store(true)
			}
		})
		time.Sleep(46 * time.Second)
		done := make(chan struct{})
		sum := f.watchParts(account, 20, done)
		before := f.rowSeen(by, third).Heartbeats
		waitUntil(t, "the heartbeat is read", 25*time.Second, func() bool { return f.rowSeen(by, third).Heartbeats > before })
		gates[third].refusesWrites.Store(true)
		time.Sleep(33 * time.Second)
		f.cutOffAfterHeartbeat(t, gates[first], first, by)
		waitUntil(t, "the row is deleted", 60*time.Second, deleted.Load)
		time.Sleep(5500 * time.Millisecond)
		gates[fourth].refuse(true)
		gates[third].refuse(false)
		time.Sleep(20 * time.Second)
		f.end(done)
		checkSum(t, sum)
	})
}

// Guards against a bucket that fills as for the whole part for the time of a short interruption in which a
// contest ends for this instance.
func TestInterruptionAtTheEndOfAContestKeepsTheBound(t *testing.T) {
	const rate = 4
	account, order := accountBeforeBookkeeper(t, 6)
	for _, length := range []time.Duration{0, 1800 * time.Millisecond} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startAll(6)
				time.Sleep(46 * time.Second)
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
				var endedAt time.Time
				waitUntil(t, "the contest is taken back", 5*time.Second, func() bool {
					var isContested bool
					isContested, endedAt = f.node(order[0]).Contest()
					return !isContested && !endedAt.IsZero()
				})
				resumedAt := endedAt.Add(discoverer.StandInDelay + rightMargin)
				if length > 0 {
					time.AfterFunc(time.Until(resumedAt)-length, func() { f.node(order[0]).freeze(length) })
				}
				for time.Until(resumedAt) > 0 {
					f.useTokensAtTheEnd(account, rate, order[2])
					time.Sleep(10 * time.Millisecond)
				}
				f.useTokens(account, rate, 5500*time.Millisecond, order[:2]...)
				checkMost(t, f, rate)
			})
		})
	}
}

// Guards against an account that is refused after the loss of all instances until the row of one that stays
// away is deleted, as those that return have new rows.
func TestAccountIsServedAfterAReturnWithANewRow(t *testing.T) {
	for _, size := range []int{2, 3, 4} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			account, order := accountBeforeBookkeeper(t, size)
			synctest.Test(t, func(t *testing.T) {
				f := startAll(size)
				time.Sleep(46 * time.Second)
				for _, i := range order[1:] {
					f.kill(i)
				}
				f.kill(order[0])
				time.Sleep(1400 * time.Millisecond)
				for _, i := range order[1:] {
					f.startNode(i, "second", 2, f.rows.For(fmt.Sprint("i-", i))) // Larger machines.
				}
				served := f.servedAfter(account, time.Minute, order[1:]...)
				f.stop()
				time.Sleep(10 * time.Second)
				t.Logf("served after %v", served)
				if served > recoveryTime {
					t.Errorf("served after %v, %v allowed", served, recoveryTime)
				}
			})
		})
	}
}

// Guards against the same after the loss of the only instance, as another one starts that had stopped before.
func TestAccountIsServedAfterAReturnOfAnInstanceThatHadStopped(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			account, order := accountBeforeBookkeeper(t, 2)
			synctest.Test(t, func(t *testing.T) {
				f := startAll(2)
				time.Sleep(46 * time.Second)
				if err := f.node(order[1]).Deregister(t.Context()); err != nil {
					t.Error(err)
				}
				f.kill(order[1])
				time.Sleep(pause)
				f.kill(order[0])
				f.startNode(order[1], "second", 1, f.rows.For(fmt.Sprint("i-", order[1])))
				served := f.servedAfter(account, time.Minute, order[1])
				f.stop()
				time.Sleep(10 * time.Second)
				t.Logf("served after %v", served)
				if served > recoveryTime {
					t.Errorf("served after %v, %v allowed", served, recoveryTime)
				}
			})
		})
	}
}

// Guards against an instance that issues half of the bound as it is alone by a table that it has not read for 8 s,
// beside the second issuer and one that stands in for it: both have joined since.
func TestInstanceAloneByAnOldTableBesideAStandInKeepsTheBound(t *testing.T) {
	account := accountInOrder(t, 3, 0, 1, 2)
	for _, phase := range []time.Duration{0, 100, 200, 300, 400, 500, 600, 700, 800, 900} {
		t.Run(fmt.Sprint(phase*time.Millisecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := emptyFleet(3)
				gate := &gatedRows{Rows: f.rows.For("i-0")}
				f.startNode(0, "first", 1, gate)
				for _, i := range []int{1, 2} {
					f.startNode(i, "none", 1, f.rows.For(fmt.Sprint("none-", i)))
					f.kill(i)
				}
				time.Sleep(46 * time.Second)
				done := make(chan struct{})
				sum := f.watchParts(account, 20, done)
				time.Sleep(time.Second)
				gate.refusesReads.Store(true)
				time.Sleep(phase * time.Millisecond)
				for _, i := range []int{1, 2} {
					f.startNode(i, "first", 1, f.rows.For(fmt.Sprint("i-", i)))
				}
				time.Sleep(15 * time.Second)
				before := f.rowSeen(2, 0).Heartbeats
				waitUntil(t, "the heartbeat is read", 25*time.Second, func() bool { return f.rowSeen(2, 0).Heartbeats > before })
				gate.refuse(true)
				f.contest(2, 0)
				time.Sleep(20 * time.Second)
				f.end(done)
				largest, parts := sum()
				t.Log(largest, parts)
				checkSum(t, sum)
			})
		})
	}
}

// Guards against a bucket that fills as for the whole bound for the time of an interruption, as the table is read
// before the first look after it: an instance alone is frozen for less than the time after which its row lapses, and
// another one joins, issues and stops meanwhile.
func TestJoinAndStopDuringAFreezeKeepsTheBound(t *testing.T) {
	const rate, frozenFor = 6, 12900 * time.Millisecond
	account := accountInOrder(t, 2, 0, 1)
	for _, late := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := emptyFleet(2)
				n := &node{fleet: f}
				n.ctx, n.cancel = context.WithCancel(context.Background())
				n.Discoverer = discoverer.New(memberWithCores(0, 1), f.rows.For("i-0"))
				n.allotter = New(n.Discoverer, n, testLimits)
				f.nodes[0] = n
				go n.keepMembership()
				var delay atomic.Int64 // Of each look.
				go n.loop(observeInterval, func() {
					time.Sleep(time.Duration(delay.Load()))
					n.allotter.maintain(n.ctx)
				})
				f.startNode(1, "none", 1, f.rows.For("none"))
				f.kill(1)
				time.Sleep(46 * time.Second)
				f.ask(0, account, rate)
				time.Sleep(10 * time.Second)
				f.setCut(1, 0, true)
				f.node(0).freeze(frozenFor)
				resumedAt := time.Now().Add(frozenFor)
				f.startNode(1, "first", 1, f.rows.For("i-1"))
				time.AfterFunc(frozenFor-time.Millisecond, func() { delay.Store(int64(late)) })
				for time.Until(resumedAt) > 100*time.Millisecond {
					// It is asked when it has some tokens.
					if time.Until(resumedAt) < 200*time.Millisecond || f.part(1, account) == 0 {
						for f.ask(1, account, rate) == granted {
							f.record(1)
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				if err := f.node(1).Deregister(t.Context()); err != nil {
					t.Error(err)
				}
				f.kill(1)
				time.Sleep(time.Until(resumedAt) + late + 10*time.Millisecond)
				f.useTokens(account, rate, 6*time.Second, 0)
				checkMost(t, f, rate)
			})
		})
	}
}

// Guards against a step of the time of day that counts for a wait.
func TestStepOfTheTimeOfDayDoesNotShortenAWait(t *testing.T) {
	now := time.Now()
	members := endedMembers{quietMembers{memberWithCores(0, 1)}, now.Add(-7 * time.Second)}
	tn := tenure{members: members, cleanAt: now, listedAt: now.Add(-7 * time.Second), observedAt: now}
	stepped := suspended(now.Add(observeInterval), 2*time.Second)
	if tn.hasPaused(stepped) {
		t.Fatal("it counts as an interruption")
	}
	tn.cleanAt = stepped
	if tn.isWhole(stepped) {
		t.Error("7.25 s after it took a contest back it is whole")
	}
	if tn.findUnsure(stepped); tn.isSettled {
		t.Error("after 7.25 s it is settled")
	}
}

type endedMembers struct {
	quietMembers
	endedAt time.Time
}

func (m endedMembers) Contest() (isContested bool, endedAt time.Time) { return false, m.endedAt }

// Guards against an account that is refused after the loss of all, as the one that stays away is behind those
// that return.
func TestAccountIsServedAfterAReturnWithANewRowBeforeTheOneAway(t *testing.T) {
	for _, size := range []int{2, 3, 4} {
		for away := range size {
			t.Run(fmt.Sprint(size, "-", away), func(t *testing.T) {
				account, order := accountBeforeBookkeeper(t, size)
				synctest.Test(t, func(t *testing.T) {
					f := startAll(size)
					time.Sleep(46 * time.Second)
					for i := range size {
						f.kill(i)
					}
					time.Sleep(1400 * time.Millisecond)
					var back []int
					for place, i := range order {
						if place != away {
							f.startNode(i, "second", 2, f.rows.For(fmt.Sprint("i-", i))) // Larger machines.
							back = append(back, i)
						}
					}
					served := f.servedAfter(account, time.Minute, back...)
					f.stop()
					time.Sleep(10 * time.Second)
					t.Logf("served after %v", served)
					if served > recoveryTime {
						t.Errorf("served after %v, %v allowed", served, recoveryTime)
					}
				})
			})
		}
	}
}
