package allotter

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// programs is what became of the programs of an account.
type programs struct {
	mu                          sync.Mutex
	admitted, completed, broken int
	refusedFirst                int
	waits                       []time.Duration
	refusedAt                   []time.Time
}

// load is programs that arrive at a mean rate, at instances in a skewed way.
type load struct {
	// name is the beginning of the names of the programs.
	account, name string
	rate, quota   float64
	turns, calls  int
	// pause is the time between two turns.
	pause, maxWait time.Duration
}

// start lets programs arrive until the time. Each instance but the first gets a tenth of the
// first one's.
func (f *fleet) start(l load, until time.Time, out *programs) *sync.WaitGroup {
	var work sync.WaitGroup
	work.Go(func() {
		for id := 0; time.Now().Before(until); id++ {
			f.mu.Lock()
			wait, place := f.random.ExpFloat64(), f.random.IntN(10+len(f.nodes)-1)
			f.mu.Unlock()
			time.Sleep(time.Duration(wait / l.rate * float64(time.Second)))
			work.Go(func() { f.runProgram(l, max(place-9, 0), id, out) })
		}
	})
	return &work
}

func (f *fleet) runProgram(l load, i, id int, out *programs) {
	in := Request{Account: l.account, Version: 1, Rate: l.quota, Route: "r", Program: fmt.Sprint(l.name, "-", id), MaxWait: l.maxWait}
	for turn := range l.turns {
		in.IsUnderWay = false // Turns that aren't retained state no previous turn.
		for call := range 1 + l.calls {
			in.ID = fmt.Sprint(id, "-", turn, "-", call)
			d := f.request(i, in, 0)
			in.IsUnderWay = true
			out.mu.Lock()
			if turn+call == 0 {
				if d.Result != Granted {
					out.refusedFirst++
					out.waits = append(out.waits, d.Wait)
					out.refusedAt = append(out.refusedAt, time.Now())
					out.mu.Unlock()
					return
				}
				out.admitted++
			} else if d.Result != Granted {
				out.broken++
				out.mu.Unlock()
				return
			}
			out.mu.Unlock()
		}
		time.Sleep(l.pause)
	}
	out.mu.Lock()
	out.completed++
	out.mu.Unlock()
}

const settleTime = 8 * time.Second

// Guards against an excess that is refused in the middle of programs, which then earn nothing,
// and against a quota that is left unused while it is asked for: an account sends seven times
// its usual rate, which is its quota divided by 1.6, with arrivals skewed 10 to 1.
func TestProgramsAreCompletedUnderSevenTimesTheUsualLoad(t *testing.T) {
	const usualFactor, burstFactor, length, rise = 1.6, 7, 60 * time.Second, 5 * time.Second
	for _, quota := range []float64{4, 20, 100} {
		for _, l := range []load{{turns: 3, calls: 2, pause: 300 * time.Millisecond}, {turns: 9, calls: 0, pause: 500 * time.Millisecond}, {turns: 1, calls: 0}} {
			t.Run(fmt.Sprint(quota, "/", l.turns), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(11, 1, 0)
					time.Sleep(settleTime)
					l.account, l.quota, l.maxWait = "acme", quota, time.Second
					usual := quota / usualFactor / float64(l.turns*(1+l.calls))
					var before, out programs
					l.rate, l.name = usual, "before"
					f.start(l, time.Now().Add(30*time.Second), &before).Wait()
					start := time.Now()
					l.rate, l.name = usual*burstFactor, "burst"
					f.start(l, time.Now().Add(length), &out).Wait()
					f.stop()
					// The use rises until the first programs of the burst have ended.
					f.runs = slices.DeleteFunc(f.runs, func(r run) bool { return r.ranAt.Before(start.Add(rise)) || r.ranAt.After(start.Add(length)) })
					used := float64(len(f.runs)) / (length - rise).Seconds() / quota
					broken := float64(out.broken) / float64(out.admitted)
					t.Logf("before %d/%d/%d; quota %g: %.2f of it used; %d admitted, %d completed, %d broken (%.3f), %d refused at first", before.admitted, before.broken, before.refusedFirst, quota, used, out.admitted, out.completed, out.broken, broken, out.refusedFirst)
					if used < 0.95 {
						t.Errorf("%.2f of the quota used", used)
					}
					if broken > 0.005 {
						t.Errorf("%.3f of the admitted programs were refused later", broken)
					}
				})
			})
		}
	}
}

// Guards against callers that return at the same moment: the times of refusals within a second
// are spread over the time in which there will be room for them.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(11, 1, 0)
		time.Sleep(settleTime)
		var out programs
		f.start(load{account: "acme", rate: 100, quota: 20, turns: 3}, time.Now().Add(20*time.Second), &out).Wait()
		f.stop()
		slices.Sort(out.waits)
		n := len(out.waits)
		low, high := out.waits[n/10], out.waits[n*9/10]
		var most int
		for i, w := range out.waits {
			k := i
			for k < n && out.waits[k] < w+250*time.Millisecond {
				k++
			}
			most = max(most, k-i)
		}
		t.Logf("%d refusals, a tenth below %v, a tenth above %v, at most %d within 250 ms", n, low, high, most)
		if high-low < time.Second || float64(most) > 0.3*float64(n) {
			t.Errorf("%d of %d refusals tell the callers to return within 250 ms", most, n)
		}
	})
}

// Guards against a limit that is lowered only at some instances: one window after a request with
// the newer version, the lower bound holds, although most instances still have the older version.
func TestLowerQuotaBindsAfterOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 1, 0)
		time.Sleep(settleTime)
		var work sync.WaitGroup
		end := time.Now().Add(30 * time.Second)
		lowered := time.Now().Add(10 * time.Second)
		for id := 0; time.Now().Before(end); id++ {
			in := Request{Account: "acme", Version: 1, Rate: 40, Route: "r", ID: fmt.Sprint(id)}
			if i := id % 5; i == 0 && time.Now().After(lowered) {
				in.Version, in.Rate = 2, 2
			}
			work.Go(func() { f.request(id%5, in, 0) })
			time.Sleep(10 * time.Millisecond)
		}
		work.Wait()
		f.stop()
		// Both issuers have got a request with the newer version within a second.
		before := f.mostInWindow(time.Time{})
		f.runs = slices.DeleteFunc(f.runs, func(r run) bool { return r.ranAt.Before(lowered.Add(time.Second)) })
		after := f.mostInWindow(lowered)
		if bound := int(testLimits.bound(2 * testLimits.Window.Seconds())); after > bound || before <= bound {
			t.Errorf("%d requests in a window after the change, %d allowed, %d before", after, bound, before)
		}
	})
}

// usedAt returns the number of requests that were run in the window that ends at the time.
func (f *fleet) usedAt(end time.Time) int {
	used := 0
	for _, r := range f.runs {
		if d := end.Sub(r.ranAt); d >= 0 && d <= testLimits.Window {
			used++
		}
	}
	return used
}

// Guards against refusals below the quota: an account sends its usual load, with programs that
// arrive at random, and at most 0.5% of them are refused although their requests would have been
// within the quota.
func TestUsualLoadIsNotRefused(t *testing.T) {
	// A share of 0.5% can be told from chance in 1,000 programs.
	const usualFactor, programCount = 1.6, 1000
	for _, quota := range []float64{4, 20, 100} {
		for _, l := range []load{{turns: 3, calls: 2, pause: 300 * time.Millisecond}, {turns: 1, calls: 0}} {
			t.Run(fmt.Sprint(quota, "/", l.turns), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(11, 2, 0)
					time.Sleep(settleTime)
					var out programs
					l.account, l.name, l.quota, l.maxWait = "acme", "p", quota, time.Second
					need := l.turns * (1 + l.calls)
					l.rate = quota / usualFactor / float64(need)
					f.start(l, time.Now().Add(time.Duration(programCount/l.rate*float64(time.Second))), &out).Wait()
					f.stop()
					refused := out.broken
					for _, at := range out.refusedAt {
						if float64(f.usedAt(at)+need) <= quota*testLimits.Window.Seconds() {
							refused++
						}
					}
					t.Logf("quota %g: %d admitted, %d broken, %d refused at first, %d of them below the quota", quota, out.admitted, out.broken, out.refusedFirst, refused)
					if share := float64(refused) / float64(out.admitted+out.refusedFirst); share > 0.005 {
						t.Errorf("%.4f of the programs were refused below the quota", share)
					}
				})
			})
		}
	}
}

// Guards against an account that is refused below its quota for minutes, as one program of the route has sent
// many requests.
func TestLongProgramDoesNotKeepOthersOut(t *testing.T) {
	for _, long := range []int{0, 100, 400} {
		t.Run(fmt.Sprint(long), func(t *testing.T) {
			a := newAccount(testLimits, needs{})
			a.update(1, 20) // 4 a second, of which this issuer has half.
			at := time.Minute
			a.begin(rightID{since: time.Unix(1, 0)}, time.Unix(1, 0), 0, 0)
			for range long {
				if a.decide(at, item{Program: 1, Route: 1}, 0.5, 0).code() != granted {
					t.Fatal("the long program is refused")
				}
				at += time.Second
			}
			// New programs of one request come every 10 s: a twentieth of the issuer's quota.
			refused, longest, since := 0, time.Duration(0), at
			for n := range 60 {
				if a.decide(at, item{Program: uint32(n + 2), Route: 1}, 0.5, 0).code() == granted {
					since = at
				} else {
					refused++
				}
				longest = max(longest, at-since)
				at += 10 * time.Second
			}
			t.Logf("%d of 60 programs refused, for %v at the longest", refused, longest)
			if longest > 20*time.Second {
				t.Errorf("%d of 60 programs refused, for %v at the longest", refused, longest)
			}
		})
	}
}
