package reconciler_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/reconciler"
)

var (
	oldDesired = reconciler.DesiredState{Models: []string{"old"}, Role: "Decode"}
	newDesired = reconciler.DesiredState{Models: []string{"new"}, Adapters: []reconciler.Adapter{{Model: "new", Name: "a"}}, Role: "Prefill"}
	newState   = generator.OrderReport{Fence: 2, Models: []string{"new"}, Adapters: []string{"a"}, Role: "Prefill"}
	stateOnly  = cmp.Options{cmpopts.EquateEmpty(), cmpopts.IgnoreFields(generator.OrderReport{}, "LastOrder")}
	unlimited  = reconciler.WithLoadRate(rate.Inf, 0)
)

// TestLateOrderOfPausedHolderIsCorrected lets a former holder check its lease,
// pause, and send its order after the successor's.
func TestLateOrderOfPausedHolderIsCorrected(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e, s := &engine{checksFence: checks}, &store{}
			former := &instance{engine: e, fence: 1, held: true, pause: time.Hour}
			done := make(chan error)
			go func() {
				done <- newReconciler(former, s, unlimited).Reconcile(t.Context(), endpoint(checks), oldDesired)
			}()
			synctest.Wait()

			s.newestFence = 2
			successor := &instance{engine: e, fence: 2, held: true}
			o := newReconciler(successor, s, unlimited)
			for o.Reconcile(t.Context(), endpoint(checks), newDesired) != nil {
				time.Sleep(time.Second)
			}
			if diff := cmp.Diff(newState, e.read(), stateOnly); diff != "" {
				t.Errorf("before the late order: %s", diff)
			}
			if err := <-done; err == nil {
				t.Error("the former holder believes that the engine is in line")
			}
			sent := former.sent
			if diff := cmp.Diff(checks, cmp.Equal(newState, e.read(), stateOnly)); diff != "" {
				t.Errorf("after the late order: %s", diff)
			}
			if err := o.Reconcile(t.Context(), endpoint(checks), newDesired); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(newState, e.read(), stateOnly); diff != "" {
				t.Errorf("after the state was read back: %s", diff)
			}
			if err := newReconciler(former, s, unlimited).Reconcile(t.Context(), endpoint(true), oldDesired); !errors.Is(err, reconciler.ErrNotHolder) {
				t.Error(err)
			}
			if diff := cmp.Diff(sent, former.sent); diff != "" {
				t.Errorf("the former holder ordered again: %s", diff)
			}
		})
	}
}

func TestSuccessorWaitsForDeadlinesOfFormerOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, s := &engine{}, &store{newestFence: 2}
		s.intents = []reconciler.Intent{
			{Endpoint: "e1", Order: generator.Order{Fence: 1}, Deadline: 7 * time.Second},
			{Endpoint: "e1", Order: generator.Order{Fence: 1}, Deadline: 3 * time.Second},
		}
		i := &instance{engine: e, fence: 2, held: true}
		o := newReconciler(i, s, unlimited)
		started := time.Now()
		for {
			err := o.Reconcile(t.Context(), endpoint(false), newDesired)
			if err == nil {
				break
			}
			if !errors.Is(err, reconciler.ErrOrdersInFlight) || i.sent > 0 {
				t.Fatalf("%d orders sent: %v", i.sent, err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if diff := cmp.Diff(7*time.Second, time.Since(started)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(0, len(s.intents)); diff != "" || !o.Converged("e1") {
			t.Errorf("stable %v: %s", o.Converged("e1"), diff)
		}
	})
}

func TestNoOrderIsSentWithoutRecordedIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, s := &engine{}, &store{}
		i := &instance{engine: e, fence: 1, held: true}
		o := newReconciler(i, s, unlimited)
		if err := o.Reconcile(t.Context(), endpoint(false), reconciler.DesiredState{}); err != nil {
			t.Fatal(err)
		}
		s.unavailable = true
		if err := o.Reconcile(t.Context(), endpoint(false), newDesired); !errors.Is(err, errUnavailable) {
			t.Error(err)
		}
		s.unavailable, s.newestFence = false, 2
		if err := o.Reconcile(t.Context(), endpoint(false), newDesired); !errors.Is(err, errUnavailable) {
			t.Error(err)
		}
		if diff := cmp.Diff(0, i.sent); diff != "" || o.Converged("e1") {
			t.Errorf("stable %v: %s", o.Converged("e1"), diff)
		}
	})
}

func TestNoOrderIsSentAfterSlowRecordOrLostClaim(t *testing.T) {
	for _, lost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			i := &instance{engine: &engine{}, fence: 1, held: true}
			s := &store{onRecord: func() {
				if lost {
					i.held = false
					return
				}
				time.Sleep(time.Minute)
			}}
			o := newReconciler(i, s, unlimited, reconciler.WithDeadline(time.Minute))
			if err := o.Reconcile(t.Context(), endpoint(false), newDesired); err == nil {
				t.Error("the engine is in line")
			}
			if diff := cmp.Diff(0, i.sent); diff != "" {
				t.Errorf("lease lost %v: %s", lost, diff)
			}
		})
	}
}

func TestTakeoverRaisesFenceOfConvergedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{checksFence: true, highestFence: 1, state: newState}
		e.state.Fence = 1
		i := &instance{engine: e, fence: 2, held: true}
		if err := newReconciler(i, &store{}).Reconcile(t.Context(), endpoint(true), newDesired); err != nil {
			t.Error(err)
		}
		if err := e.apply(generator.Order{Fence: 1, Change: "UnloadModel", Model: "new"}); err == nil {
			t.Error("a former holder's order was carried out")
		}
		if diff := cmp.Diff(newState, e.read(), stateOnly); diff != "" {
			t.Error(diff)
		}
	})
}

func TestVersionIsOrderedLastAndOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		i := &instance{engine: e, fence: 1, held: true}
		o := newReconciler(i, &store{}, unlimited)
		desired := newDesired
		desired.Version = "7"
		for range 3 {
			if err := o.Reconcile(t.Context(), endpoint(true), desired); err != nil {
				t.Error(err)
			}
		}
		var changes []string
		for _, order := range e.applied {
			changes = append(changes, order.Change)
		}
		if diff := cmp.Diff([]string{"LoadModel", "LoadAdapter", "SetRole", "SetVersion"}, changes); diff != "" {
			t.Error(diff)
		}
	})
}

func TestWeightStoreReadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		i := &instance{engine: e, fence: 1, held: true}
		o := newReconciler(i, &store{}, reconciler.WithLoadRate(rate.Every(4*time.Second), 1))
		started := time.Now()
		desired := reconciler.DesiredState{Models: []string{"a", "b", "c"}, Role: "Decode"}
		if err := o.Reconcile(t.Context(), endpoint(true), desired); err != nil {
			t.Error(err)
		}
		var after []time.Duration
		for _, at := range e.times {
			after = append(after, at.Sub(started))
		}
		if diff := cmp.Diff([]time.Duration{0, 4 * time.Second, 8 * time.Second, 8 * time.Second}, after); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRunReconcilesHeldEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := &compiler.Version{
			Endpoints: map[string]*compiler.Endpoint{
				"e1": endpoint(true),
				"s1": {Name: "s1", Service: "fees"},
			},
			Agents: map[string]*compiler.Agent{
				"b/x": {Model: "m", Adapter: "y"}, "b/y": {Model: "m", Adapter: "x"}, "b/z": {Model: "m"},
				"b/q": {Model: "other", Adapter: "z"}, "c/x": {Model: "m", Adapter: "y"},
			},
		}
		e := &engine{checksFence: true, state: generator.OrderReport{Models: []string{"gone"}, Adapters: []string{"z"}}}
		i := &instance{engine: e, fence: 1, held: true}
		o := reconciler.New(func() *compiler.Version { return version }, i, i, &store{}, unlimited)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := o.Run(ctx); err != nil {
			t.Error(err)
		}
		want := generator.OrderReport{Fence: 1, Models: []string{"m"}, Adapters: []string{"x", "y"}}
		if diff := cmp.Diff(want, e.read(), stateOnly); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(5, i.sent); diff != "" {
			t.Errorf("orders: %s", diff)
		}
	})
}

// drawDesired draws what an engine is to serve.
func drawDesired(r *rapid.T, label string) reconciler.DesiredState {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string])
	desired := reconciler.DesiredState{Models: names.Draw(r, label+" models")}
	for _, name := range names.Draw(r, label+" adapters") {
		desired.Adapters = append(desired.Adapters, reconciler.Adapter{Model: "a", Name: name})
	}
	desired.Role = rapid.SampledFrom([]string{"", "Decode", "Prefill"}).Draw(r, label+" role")
	return desired
}

// TestEngineConvergesToNewestDesiredState runs holders one after another.
// Each is paused, loses answers and leaves orders behind that come late; the
// last one must have its way once all orders have come.
func TestEngineConvergesToNewestDesiredState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		checks := rapid.Bool().Draw(r, "checks")
		holders := rapid.IntRange(1, 4).Draw(r, "holders")
		late := rapid.SliceOfN(rapid.IntRange(0, 30), holders, holders).Draw(r, "late seconds")
		lose := rapid.SliceOfN(rapid.Bool(), holders, holders).Draw(r, "lose answers")
		rounds := rapid.SliceOfN(rapid.IntRange(1, 4), holders, holders).Draw(r, "rounds")
		var wanted []reconciler.DesiredState
		for range holders {
			wanted = append(wanted, drawDesired(r, "holder"))
		}
		var got generator.OrderReport
		synctest.Test(t, func(t *testing.T) {
			var pending sync.WaitGroup
			e, s := &engine{checksFence: checks}, &store{}
			for n := range holders {
				s.newestFence = int64(n + 1)
				i := &instance{engine: e, fence: s.newestFence, held: true, delayed: &pending}
				i.orderDelay, i.loseAnswers = time.Duration(late[n])*time.Second, lose[n]
				o := newReconciler(i, s, unlimited, reconciler.WithDeadline(5*time.Second))
				for range rounds[n] {
					_ = o.Reconcile(t.Context(), endpoint(checks), wanted[n])
					time.Sleep(3 * time.Second)
				}
			}
			pending.Wait()
			i := &instance{engine: e, fence: int64(holders), held: true}
			o := newReconciler(i, s, unlimited)
			for range 3 {
				_ = o.Reconcile(t.Context(), endpoint(checks), wanted[holders-1])
				time.Sleep(5 * time.Second)
			}
			got = e.read()
		})
		last := wanted[holders-1]
		want := generator.OrderReport{Fence: int64(holders), Role: got.Role, Models: slices.Sorted(slices.Values(last.Models))}
		if last.Role != "" {
			want.Role = last.Role
		}
		for _, adapter := range last.Adapters {
			want.Adapters = append(want.Adapters, adapter.Name)
		}
		slices.Sort(want.Adapters)
		if diff := cmp.Diff(want, got, stateOnly); diff != "" {
			r.Error(diff)
		}
	})
}
