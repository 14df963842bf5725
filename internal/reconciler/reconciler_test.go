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

// TestLateOrderOfPausedHolderIsCorrected lets a former holder check its fencing
// number, pause, and send its order after the successor's.
func TestLateOrderOfPausedHolderIsCorrected(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e, s := &engine{checksFence: checksFence}, &store{}
			former := &instance{engine: e, fence: 1, held: true, pause: time.Hour}
			done := make(chan error)
			go func() {
				done <- newReconciler(former, s, unlimited).Reconcile(t.Context(), endpoint(checksFence), oldDesired)
			}()
			synctest.Wait()

			s.newestFence = 2
			successor := &instance{engine: e, fence: 2, held: true}
			r := newReconciler(successor, s, unlimited)
			for r.Reconcile(t.Context(), endpoint(checksFence), newDesired) != nil {
				time.Sleep(time.Second)
			}
			if diff := cmp.Diff(newState, e.read(), stateOnly); diff != "" {
				t.Errorf("before the late order: %s", diff)
			}
			if err := <-done; err == nil {
				t.Error("Reconcile of the former holder returned no error")
			}
			sent := former.sent
			if diff := cmp.Diff(checksFence, cmp.Equal(newState, e.read(), stateOnly)); diff != "" {
				t.Errorf("after the late order: %s", diff)
			}
			if err := r.Reconcile(t.Context(), endpoint(checksFence), newDesired); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(newState, e.read(), stateOnly); diff != "" {
				t.Errorf("after the next reconciliation: %s", diff)
			}
			if err := newReconciler(former, s, unlimited).Reconcile(t.Context(), endpoint(true), oldDesired); !errors.Is(err, reconciler.ErrNotHolder) {
				t.Error(err)
			}
			if diff := cmp.Diff(sent, former.sent); diff != "" {
				t.Errorf("orders of the former holder after it was fenced: %s", diff)
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
		r := newReconciler(i, s, unlimited)
		started := time.Now()
		for {
			err := r.Reconcile(t.Context(), endpoint(false), newDesired)
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
		if diff := cmp.Diff(0, len(s.intents)); diff != "" || !r.Converged("e1") {
			t.Errorf("converged %v, difference: %s", r.Converged("e1"), diff)
		}
	})
}

func TestNoOrderIsSentWithoutRecordedIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, s := &engine{}, &store{}
		i := &instance{engine: e, fence: 1, held: true}
		r := newReconciler(i, s, unlimited)
		if err := r.Reconcile(t.Context(), endpoint(false), reconciler.DesiredState{}); err != nil {
			t.Fatal(err)
		}
		s.unavailable = true
		if err := r.Reconcile(t.Context(), endpoint(false), newDesired); !errors.Is(err, errUnavailable) {
			t.Error(err)
		}
		s.unavailable, s.newestFence = false, 2
		if err := r.Reconcile(t.Context(), endpoint(false), newDesired); !errors.Is(err, errUnavailable) {
			t.Error(err)
		}
		if diff := cmp.Diff(0, i.sent); diff != "" || r.Converged("e1") {
			t.Errorf("converged %v, difference: %s", r.Converged("e1"), diff)
		}
	})
}

func TestNoOrderIsSentAfterSlowRecordOrLostClaim(t *testing.T) {
	for _, claimLost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			i := &instance{engine: &engine{}, fence: 1, held: true}
			s := &store{onRecord: func() {
				if claimLost {
					i.held = false
					return
				}
				time.Sleep(time.Minute)
			}}
			r := newReconciler(i, s, unlimited, reconciler.WithDeadline(time.Minute))
			if err := r.Reconcile(t.Context(), endpoint(false), newDesired); err == nil {
				t.Error("Reconcile returned no error")
			}
			if diff := cmp.Diff(0, i.sent); diff != "" {
				t.Errorf("orders sent, claim lost %v: %s", claimLost, diff)
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
			t.Error("the engine carried out an order of a former holder")
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
		r := newReconciler(i, &store{}, unlimited)
		desired := newDesired
		desired.Version = "7"
		for range 3 {
			if err := r.Reconcile(t.Context(), endpoint(true), desired); err != nil {
				t.Error(err)
			}
		}
		var changes []string
		for _, order := range e.orders {
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
		r := newReconciler(i, &store{}, reconciler.WithLoadRate(rate.Every(4*time.Second), 1))
		started := time.Now()
		desired := reconciler.DesiredState{Models: []string{"a", "b", "c"}, Role: "Decode"}
		if err := r.Reconcile(t.Context(), endpoint(true), desired); err != nil {
			t.Error(err)
		}
		var after []time.Duration
		for _, at := range e.orderTimes {
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
		r := reconciler.New(func() *compiler.Version { return version }, i, i, &store{}, unlimited)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := r.Run(ctx); err != nil {
			t.Error(err)
		}
		want := generator.OrderReport{Fence: 1, Models: []string{"m"}, Adapters: []string{"x", "y"}}
		if diff := cmp.Diff(want, e.read(), stateOnly); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(5, i.sent); diff != "" {
			t.Errorf("number of orders: %s", diff)
		}
	})
}

// drawDesired draws a desired state.
func drawDesired(r *rapid.T, label string) reconciler.DesiredState {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string])
	desired := reconciler.DesiredState{Models: names.Draw(r, label+" models")}
	for _, name := range names.Draw(r, label+" adapters") {
		desired.Adapters = append(desired.Adapters, reconciler.Adapter{Model: "a", Name: name})
	}
	desired.Role = rapid.SampledFrom([]string{"", "Decode", "Prefill"}).Draw(r, label+" role")
	return desired
}

// TestEngineConvergesToNewestDesiredState runs holders one after another, whose
// answers are lost and whose orders are delayed. Once all orders have arrived,
// the engine must reach the desired state of the last holder.
func TestEngineConvergesToNewestDesiredState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		checksFence := rapid.Bool().Draw(r, "checks")
		holders := rapid.IntRange(1, 4).Draw(r, "holders")
		orderDelays := rapid.SliceOfN(rapid.IntRange(0, 30), holders, holders).Draw(r, "late seconds")
		loseAnswers := rapid.SliceOfN(rapid.Bool(), holders, holders).Draw(r, "lose answers")
		rounds := rapid.SliceOfN(rapid.IntRange(1, 4), holders, holders).Draw(r, "rounds")
		var desired []reconciler.DesiredState
		for range holders {
			desired = append(desired, drawDesired(r, "holder"))
		}
		var got generator.OrderReport
		synctest.Test(t, func(t *testing.T) {
			var pending sync.WaitGroup
			e, s := &engine{checksFence: checksFence}, &store{}
			for n := range holders {
				s.newestFence = int64(n + 1)
				i := &instance{engine: e, fence: s.newestFence, held: true, delayed: &pending}
				i.orderDelay, i.loseAnswers = time.Duration(orderDelays[n])*time.Second, loseAnswers[n]
				rec := newReconciler(i, s, unlimited, reconciler.WithDeadline(5*time.Second))
				for range rounds[n] {
					_ = rec.Reconcile(t.Context(), endpoint(checksFence), desired[n])
					time.Sleep(3 * time.Second)
				}
			}
			pending.Wait()
			i := &instance{engine: e, fence: int64(holders), held: true}
			rec := newReconciler(i, s, unlimited)
			for range 3 {
				_ = rec.Reconcile(t.Context(), endpoint(checksFence), desired[holders-1])
				time.Sleep(5 * time.Second)
			}
			got = e.read()
		})
		last := desired[holders-1]
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
