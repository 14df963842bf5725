package rerouter_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// others is the other instances of a fleet: it carries calls to their handlers.
type others struct {
	members  []discoverer.Member
	handlers map[netip.AddrPort]map[string]messenger.Handler
	silent   bool
}

func (o *others) Relays() []discoverer.Member { return o.members }

func (o *others) Suspect(string) {}

func (o *others) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	if o.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	reply, err := o.handlers[address][method](ctx, body)
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(body, out)
}

// fleet returns a running Rerouter named self with two others.
func fleet(t *testing.T, rows *fakeplatform.Rows) (*rerouter.Rerouter, *others) {
	t.Helper()
	return fleetOf(t, rows, 2)
}

func fleetOf(t *testing.T, rows *fakeplatform.Rows, n int, options ...rerouter.Option) (*rerouter.Rerouter, *others) {
	t.Helper()
	o := &others{handlers: map[netip.AddrPort]map[string]messenger.Handler{}}
	for i := range n {
		name := fmt.Sprintf("other-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		o.members = append(o.members, discoverer.Member{Instance: name, Address: address})
		o.handlers[address] = rerouter.New(rows.For(name), o).Handlers()
	}
	r := rerouter.New(rows.For("self"), o, options...)
	r.SetRelays(o)
	go r.Run(t.Context())
	return r, o
}

var (
	row  = storer.RowKey{Table: "t", Name: "r"}
	only = storer.Range{Table: row.Table, From: row.Name, Limit: 1}
)

func insert(ctx context.Context, r storer.Rows) error {
	_, err := r.Transact(ctx, []storer.Change{{RowKey: row, Value: []byte("v")}})
	return err
}

func wayOf(r *rerouter.Rerouter) rerouter.Path {
	way, _ := r.Path()
	return way
}

func TestRelaysWhileTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := fleet(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 5 {
			_, _ = r.List(t.Context(), only) // The first calls find out.
		}
		if err := insert(t.Context(), r); err != nil {
			t.Fatal(err)
		}
		var conflict *storer.Conflict
		if err := insert(t.Context(), r); !errors.As(err, &conflict) {
			t.Errorf("a conflict came back as %v", err)
		} else if diff := cmp.Diff("v", string(conflict.Current[0].Value)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(rerouter.Relayed, wayOf(r)); diff != "" {
			t.Error(diff)
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		time.Sleep(time.Second)
		if err := insert(t.Context(), r); !errors.Is(err, storer.ErrConflict) {
			t.Error(err)
		}
		if diff := cmp.Diff(rerouter.Direct, wayOf(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// Replays a bookkeeper that is cut off from the store in the middle of its writes
// (Laulukaar inc-f21f): they go through another instance once that way is known.
func TestWriteUnderWayGoesThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := fleet(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Unanswered: map[string]bool{"self": true}})
		begun := time.Now()
		written := make(chan error, 1)
		go func() { written <- insert(t.Context(), r) }()
		for wayOf(r) != rerouter.Relayed {
			_, _ = r.List(t.Context(), only) // The first calls find out.
		}
		if err := <-written; err != nil {
			t.Error(err)
		}
		// Callers hold the ends of their streams for two seconds at most.
		if took := time.Since(begun); took > time.Second {
			t.Errorf("the write took %v", took)
		}
		if err := insert(t.Context(), r); !errors.Is(err, storer.ErrConflict) {
			t.Errorf("the row was not written: %v", err)
		}
	})
}

func TestLostStoreIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := fleet(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Silent: true})
		for range 6 {
			_, _ = r.List(t.Context(), only) // The first calls find out.
		}
		if diff := cmp.Diff(rerouter.Lost, wayOf(r)); diff != "" {
			t.Error(diff)
		}
		begun, failed := time.Now(), 0
		for time.Since(begun) < 10*time.Second {
			if err := insert(t.Context(), r); err == nil {
				t.Fatal("a write succeeded")
			}
			failed++
			time.Sleep(10 * time.Millisecond)
		}
		// Most calls fail without being sent.
		if failed < 100 {
			t.Errorf("%d calls in 10 s", failed)
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		time.Sleep(time.Second)
		if err := insert(t.Context(), r); err != nil && !errors.Is(err, storer.ErrConflict) {
			t.Error(err)
		}
	})
}

func TestSlowStoreIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := fleet(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Delay: 400 * time.Millisecond})
		ok := 0
		for range 20 {
			if _, err := r.List(t.Context(), only); err == nil {
				ok++
			}
		}
		if ok < 15 {
			t.Errorf("%d of 20 calls were answered by a store that takes 400 ms", ok)
		}
	})
}

// A relayed write whose answer is lost may have landed.
func TestRelayedWriteMayBeInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, o := fleet(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 5 {
			_, _ = r.List(t.Context(), only) // The first calls find out.
		}
		o.silent = true
		time.Sleep(300 * time.Millisecond)
		if err := insert(t.Context(), r); !errors.Is(err, storer.ErrInDoubt) {
			t.Errorf("got %v", err)
		}
	})
}

// Replays a store that turns away four of ten instances (Binfold trouble-1): the
// two that one of them always asked were turned away as well, and it took the
// store for lost as long as that lasted.
func TestRelaysThroughWhoeverIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := fleetOf(t, rows, 9)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true, "other-0": true, "other-1": true, "other-2": true}})
		for range 3 {
			_, _ = r.List(t.Context(), only) // The first calls find out.
		}
		time.Sleep(600 * time.Millisecond)
		for i := range 20 {
			if _, err := r.List(t.Context(), only); err != nil {
				t.Fatalf("call %d: %v", i, err)
			}
		}
		if diff := cmp.Diff(rerouter.Relayed, wayOf(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// An answer that comes through another instance says nothing against the direct
// way, which was found again meanwhile.
func TestLateRelayedAnswerKeepsTheDirectWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		changes := 0
		r, _ := fleetOf(t, rows, 2, rerouter.WithPathObserver(func(rerouter.Path, rerouter.Path, error) { changes++ }))
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 3 {
			_, _ = r.List(t.Context(), only) // The first calls find out.
		}
		var calls sync.WaitGroup
		for range 50 {
			calls.Go(func() { _, _ = r.Changes(t.Context(), row.Table, 0, time.Second) }) // Only the way counts.
			time.Sleep(20 * time.Millisecond)
		}
		changes = 0
		rows.SetFaults(fakeplatform.RowFaults{})
		calls.Wait()
		if diff := cmp.Diff(rerouter.Direct, wayOf(r)); diff != "" || changes != 1 {
			t.Errorf("%d changes of the way; %s", changes, diff)
		}
	})
}
