package bookkeeper_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

// fleet is a set of bookkeepers that share one store.
type fleet struct {
	rows *fakeplatform.Rows

	mu          sync.Mutex
	bookkeepers map[string]*bookkeeper.Bookkeeper
	// isSilent makes calls of killed bookkeepers wait for their timeouts.
	isSilent bool
	work     sync.WaitGroup
	ctx      context.Context
	cancels  map[string]context.CancelFunc
}

func newFleet(ctx context.Context, seed uint64) *fleet {
	return &fleet{
		rows: fakeplatform.NewRows(seed), ctx: ctx,
		bookkeepers: map[string]*bookkeeper.Bookkeeper{}, cancels: map[string]context.CancelFunc{},
	}
}

// start starts a bookkeeper with a name that was not used before.
func (f *fleet) start(name string, options ...bookkeeper.Option) *bookkeeper.Bookkeeper {
	ctx, cancel := context.WithCancel(f.ctx)
	j := batcher.New(f.rows.For(name))
	k := bookkeeper.New(name, j, f.reclaim, options...)
	f.work.Go(func() { j.Run(ctx) })
	f.work.Go(func() { k.Run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bookkeepers[name], f.cancels[name] = k, cancel
	return k
}

// kill stops a bookkeeper without notice to the others.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[name]()
	delete(f.bookkeepers, name)
}

func (f *fleet) bookkeeper(name string) *bookkeeper.Bookkeeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bookkeepers[name]
}

func (f *fleet) reclaim(ctx context.Context, holder, program string) (bookkeeper.ReclaimResponse, error) {
	k := f.bookkeeper(holder)
	if k == nil && f.isSilent {
		<-ctx.Done()
	}
	if k == nil {
		return bookkeeper.ReclaimResponse{}, errors.New("bookkeeper was killed")
	}
	return k.Reclaim(ctx, bookkeeper.ReclaimRequest{Program: program, Holder: holder})
}

// runFleet runs the test in a synctest bubble and then stops all bookkeepers.
func runFleet(t *testing.T, seed uint64, test func(t *testing.T, f *fleet)) {
	t.Helper()
	// Timers of a bubble that are due at once run with one context of the race detector, also on
	// several processors, and its runtime crashes.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, seed)
		test(t, f)
		cancel()
		f.work.Wait()
	})
}

const turnTokens = 288

func open(t *testing.T, k *bookkeeper.Bookkeeper, turn string, budget int64) bookkeeper.OpenResponse {
	t.Helper()
	out, err := k.Open(t.Context(), bookkeeper.OpenRequest{
		Program: "p", Turn: turn, Tokens: turnTokens, Budget: budget, Wait: 2 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func settle(t *testing.T, k *bookkeeper.Bookkeeper, turn string, used int64) {
	t.Helper()
	if _, err := k.Close(t.Context(), bookkeeper.CloseRequest{Program: "p", Turn: turn, Used: used}); err != nil {
		t.Fatal(err)
	}
}

// Admission control refuses first turns of programs under load. A program counts
// as started once a turn is open or has used tokens, not because a grant has been
// written for it.
func TestProgramStartsWithItsFirstServedTurn(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		const budget = 5 * turnTokens
		a, b := f.start("a"), f.start("b")
		var got []bool
		record := func(k *bookkeeper.Bookkeeper, turn string) { got = append(got, open(t, k, turn, budget).HasStarted) }

		record(a, "first, refused")
		settle(t, a, "first, refused", 0)
		record(a, "first, served")
		record(a, "beside it")
		settle(t, a, "beside it", 0)
		settle(t, a, "first, served", 100)
		record(a, "second")
		record(b, "elsewhere")

		if diff := cmp.Diff([]bool{false, false, true, true, true}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// A program has turns in all four data centres, and then all bookkeepers are
// killed. Their lost grants must leave enough of the budget for further turns.
func TestProgramContinuesAfterAllItsHoldersDied(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		const budget, spent = 40 * turnTokens, 70
		for _, name := range []string{"a", "b", "c", "d"} {
			k := f.start(name)
			if out := open(t, k, "turn at "+name, budget); out.Status != bookkeeper.OK {
				t.Fatalf("%s: %+v", name, out)
			}
			settle(t, k, "turn at "+name, spent)
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			f.kill(name)
		}
		k := f.start("e")
		served := 0
		for open(t, k, fmt.Sprint(served), budget).Status == bookkeeper.OK {
			settle(t, k, fmt.Sprint(served), spent)
			served++
		}
		// A tenth of the turns that the whole budget allows.
		if least := budget / spent / 10; served < least {
			t.Errorf("%d turns were served, want at least %d", served, least)
		}
	})
}

func TestWholeBudgetCanBeSpent(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("a")
		const budget = 5 * turnTokens
		for i := range 5 {
			if out := open(t, k, fmt.Sprint(i), budget); out.Status != bookkeeper.OK {
				t.Fatalf("turn %d: status %v", i, out.Status)
			}
			settle(t, k, fmt.Sprint(i), turnTokens)
		}
		if out := open(t, k, "6", budget); out.Status != bookkeeper.Exhausted {
			t.Errorf("status %v beyond the budget", out.Status)
		}
	})
}

func TestUnusedTokensAreReturned(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("a")
		for i := range 40 {
			if out := open(t, k, fmt.Sprint(i), 5*turnTokens); out.Status != bookkeeper.OK {
				t.Fatalf("turn %d: status %v", i, out.Status)
			}
			settle(t, k, fmt.Sprint(i), 10)
		}
	})
}

func TestRestartKeepsUsedTokens(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("a")
		const budget = 2 * turnTokens
		for i := range 2 {
			open(t, k, fmt.Sprint(i), budget)
			settle(t, k, fmt.Sprint(i), turnTokens)
		}
		f.kill("a")
		if out := open(t, f.start("b"), "again", budget); out.Status != bookkeeper.Exhausted {
			t.Errorf("status %v after the restart", out.Status)
		}
	})
}

// A program whose turns alternate between data centres has grants on two
// instances. Without reclaiming, its turns were refused although it had used
// little of its budget.
func TestGrantIsReclaimedFromAnotherBookkeeper(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		a, b := f.start("a"), f.start("b")
		const budget = 4 * turnTokens
		for i := range 20 {
			k := a
			if i%2 == 1 {
				k = b
			}
			if out := open(t, k, fmt.Sprint(i), budget); out.Status != bookkeeper.OK {
				t.Fatalf("turn %d: status %v", i, out.Status)
			}
			settle(t, k, fmt.Sprint(i), 30)
		}
	})
}

// Guards against a budget that is said to be spent although a living holder would return its grant: holders
// that ended, whose hosts don't answer, must not use up the time in which the others are asked.
func TestGrantIsReclaimedBesideHoldersThatDoNotAnswer(t *testing.T) {
	served := func(seed uint64, isSilent bool) (turns int) {
		runFleet(t, seed, func(t *testing.T, f *fleet) {
			const budget = 40 * turnTokens
			f.isSilent = isSilent
			for _, name := range []string{"a", "b", "c", "living"} {
				k := f.start(name)
				open(t, k, "turn at "+name, budget)
				settle(t, k, "turn at "+name, 30)
				if name != "living" {
					f.kill(name)
				}
			}
			k := f.start("e")
			for open(t, k, fmt.Sprint(turns), budget).Status == bookkeeper.OK {
				settle(t, k, fmt.Sprint(turns), turnTokens)
				turns++
			}
		})
		return turns
	}
	for seed := range uint64(5) {
		if diff := cmp.Diff(served(seed, false), served(seed, true)); diff != "" {
			t.Errorf("run %d: turns served beside holders that refuse calls and that don't answer: %s", seed, diff)
		}
	}
}

func TestOpenIsIdempotent(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("a")
		for range 10 {
			if out := open(t, k, "same", turnTokens); out.Status != bookkeeper.OK {
				t.Fatalf("status %v", out.Status)
			}
		}
	})
}

func TestGrantServesTurnsDuringStoreOutage(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("a")
		const budget = 16 * turnTokens
		open(t, k, "first", budget)
		settle(t, k, "first", 70)
		f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		for i := range 8 {
			if out := open(t, k, fmt.Sprint(i), budget); out.Status != bookkeeper.OK {
				t.Fatalf("turn %d during the outage: status %v", i, out.Status)
			}
			settle(t, k, fmt.Sprint(i), 70)
		}
		if out, err := k.Open(t.Context(), bookkeeper.OpenRequest{
			Program: "new", Turn: "x", Tokens: turnTokens, Budget: budget, Wait: 100 * time.Millisecond,
		}); err != nil || out.Status != bookkeeper.Unavailable {
			t.Errorf("program without a grant: status %v, error %v", out.Status, err)
		}
	})
}

func TestRecordIsDurableBeforeItIsAcknowledged(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		k := f.start("a")
		f.rows.SetFaults(fakeplatform.RowFaults{LoseAnswers: 0.5, LandLate: time.Second})
		reader := transcriber.New(f.rows.For("reader"))
		var previous *transcriber.Turn
		want := ""
		for i := range 20 {
			id := fmt.Sprintf("turn-%02d", i)
			turn := transcriber.Next(previous, []byte(want), transcriber.Continuation{
				ID: id, Input: []byte("in " + id + "\n"), Output: []byte("out\n"), WrittenAt: time.Now(), Retention: time.Minute,
			})
			want += "in " + id + "\nout\n"
			out, err := k.Close(t.Context(), bookkeeper.CloseRequest{Program: "p", Turn: id, Record: turn, Wait: 30 * time.Second})
			if err != nil || out.Status != bookkeeper.OK {
				t.Fatalf("%s: %v, %v", id, out.Status, err)
			}
			_, text, err := reader.Transcript(t.Context(), id)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, string(text)); diff != "" {
				t.Fatal(diff)
			}
			previous = turn
		}
	})
}

// Several bookkeepers serve one program while the store fails and bookkeepers are
// killed. The turns must not use more than the budget in total.
func TestBudgetHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runFleet(t, seed, func(t *testing.T, f *fleet) { budgetUnderFaults(t, f, seed, 12) })
		})
	}
}

// The same with planned stops: a bookkeeper hands its ledger over to another one and ends later.
func TestBudgetHoldsOverPlannedStopsUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runFleet(t, seed, func(t *testing.T, f *fleet) { budgetUnderFaults(t, f, seed, 14) })
		})
	}
}

// budgetUnderFaults draws each step from the given number of kinds.
func budgetUnderFaults(t *testing.T, f *fleet, seed uint64, kinds int) {
	random := rand.New(rand.NewPCG(seed, 7))
	const budget = 20 * turnTokens
	names := []string{"a0", "b0", "c0"}
	for _, name := range names {
		f.start(name)
	}
	var (
		mu         sync.Mutex
		usedTokens int64
	)
	var turns sync.WaitGroup
	for step := range 150 {
		switch random.IntN(kinds) {
		case 0:
			f.rows.SetFaults(fakeplatform.RowFaults{
				LoseAnswers: random.Float64(), LandLate: time.Duration(random.IntN(2000)) * time.Millisecond,
			})
		case 1:
			f.rows.SetFaults(fakeplatform.RowFaults{Outage: random.IntN(2) == 0, Delay: time.Duration(random.IntN(200)) * time.Millisecond})
		case 2:
			f.rows.SetFaults(fakeplatform.RowFaults{})
		case 3:
			i := random.IntN(len(names))
			f.kill(names[i])
			names[i] = fmt.Sprintf("%c%d", names[i][0], step)
			f.start(names[i])
		case 12, 13:
			i, next := random.IntN(len(names)), random.IntN(len(names))
			if i == next {
				break
			}
			stopped := names[i]
			handovers, err := f.bookkeeper(stopped).Retire(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.bookkeeper(names[next]).Adopt(t.Context(), bookkeeper.AdoptRequest{Handovers: handovers}); err != nil {
				t.Fatal(err)
			}
			turns.Go(func() {
				time.Sleep(3 * time.Second)
				f.kill(stopped)
			})
			names[i] = fmt.Sprintf("%c%d", names[i][0], step)
			f.start(names[i])
		}
		k, turn := f.bookkeeper(names[random.IntN(len(names))]), fmt.Sprint(step)
		used := int64(random.IntN(turnTokens + 1))
		loseClose := random.IntN(8) == 0
		turns.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			opened, err := k.Open(ctx, bookkeeper.OpenRequest{Program: "p", Turn: turn, Tokens: turnTokens, Budget: budget, Wait: time.Second})
			if err != nil || opened.Status != bookkeeper.OK {
				return
			}
			mu.Lock()
			usedTokens += used
			mu.Unlock()
			if !loseClose {
				_, _ = k.Close(ctx, bookkeeper.CloseRequest{Program: "p", Turn: turn, Used: used}) // A lost call is one of the faults.
			}
		})
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	turns.Wait()
	// Whatever the budget seems to have left is spent.
	f.rows.SetFaults(fakeplatform.RowFaults{})
	for _, name := range names {
		k := f.bookkeeper(name)
		for i := 0; open(t, k, fmt.Sprint(name, " ", i), budget).Status == bookkeeper.OK; i++ {
			settle(t, k, fmt.Sprint(name, " ", i), turnTokens)
			usedTokens += turnTokens
		}
	}
	if usedTokens > budget {
		t.Errorf("%d tokens were used of a budget of %d", usedTokens, budget)
	}
	if _, err := f.rows.For("x").List(t.Context(), storer.Range{Table: bookkeeper.Table}); err != nil && !errors.Is(err, storer.ErrUnavailable) {
		t.Error(err)
	}
}

func setOutage(f *fleet, outage bool) { f.rows.SetFaults(fakeplatform.RowFaults{Outage: outage}) }

// After all instances were killed and restarted, a reclaim request for a killed
// process reached the new process at the same address, which answered with its own
// committed tokens. The budget was exceeded in 5 of 80 fault-injection runs, two
// seconds after the last fault.
func TestReclaimIsRefusedByAnotherProcess(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		const budget = 2 * turnTokens
		before := f.start("before")
		for i := range 2 {
			open(t, before, fmt.Sprint(i), budget)
			settle(t, before, fmt.Sprint(i), turnTokens)
		}
		f.kill("before")
		after, other := f.start("after"), f.start("other")
		// The new process has a ledger of the program and has used nothing.
		if out := open(t, after, "x", budget); out.Status != bookkeeper.Exhausted {
			t.Fatalf("status %v", out.Status)
		}
		f.mu.Lock()
		f.bookkeepers["before"] = after // Calls to the address reach the new process.
		f.mu.Unlock()
		if out := open(t, other, "y", budget); out.Status != bookkeeper.Exhausted {
			t.Errorf("status %v with the budget spent", out.Status)
		}
	})
}

// An idle ledger is dropped from memory after 90 s. The program may come back, here or
// at another bookkeeper, and must find the budget as it left it.
func TestIdleProgramKeepsItsBudget(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Minute} {
		runFleet(t, 1, func(t *testing.T, f *fleet) {
			const budget, pauses = 10 * turnTokens, 4
			a, b := f.start("a"), f.start("b")
			spent := int64(0)
			spend := func(k *bookkeeper.Bookkeeper, turn string) bookkeeper.Status {
				out := open(t, k, turn, budget)
				if out.Status == bookkeeper.OK {
					settle(t, k, turn, turnTokens)
					spent += turnTokens
				}
				return out.Status
			}
			for i := range pauses {
				for _, k := range []*bookkeeper.Bookkeeper{a, b} {
					if status := spend(k, fmt.Sprintf("turn %d at %p", i, k)); status != bookkeeper.OK {
						t.Errorf("after %d pauses and %d tokens: %v", i, spent, status)
					}
				}
				if outage > 0 {
					// Ledgers become idle during the outage, and closing them fails.
					f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
					time.Sleep(100 * time.Second)
					f.rows.SetFaults(fakeplatform.RowFaults{LoseAnswers: 0.5})
					time.Sleep(outage)
					f.rows.SetFaults(fakeplatform.RowFaults{})
				}
				time.Sleep(2 * time.Minute)
			}
			for i := 0; spend(a, fmt.Sprintf("last %d", i)) == bookkeeper.OK; i++ {
			}
			if diff := cmp.Diff(int64(budget), spent); diff != "" {
				t.Errorf("tokens spent: %s", diff)
			}
		})
	}
}
