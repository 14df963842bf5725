package rerouter_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// peerSet simulates other instances. It passes calls to their handlers.
type peerSet struct {
	members  []discoverer.Member
	handlers map[netip.AddrPort]map[string]messenger.Handler
	// silent leaves calls without a response.
	silent atomic.Bool
	// delay is how long each call takes.
	delay time.Duration
}

func (p *peerSet) Relays() []discoverer.Member { return slices.Clone(p.members) }

func (p *peerSet) Suspect(string) {}

func (p *peerSet) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	if p.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(p.delay):
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	reply, err := p.handlers[address][method](ctx, body)
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(body, out)
}

// newRerouter returns a running Rerouter, known to the store as self, and two
// other instances.
func newRerouter(t *testing.T, rows *fakeplatform.Rows) (*rerouter.Rerouter, *peerSet) {
	t.Helper()
	return newRerouterWithPeers(t, rows, 2)
}

func newRerouterWithPeers(t *testing.T, rows *fakeplatform.Rows, n int, options ...rerouter.Option) (*rerouter.Rerouter, *peerSet) {
	t.Helper()
	peers := &peerSet{handlers: map[netip.AddrPort]map[string]messenger.Handler{}}
	for i := range n {
		name := fmt.Sprintf("other-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		peers.members = append(peers.members, discoverer.Member{Instance: name, Address: address})
		peers.handlers[address] = rerouter.New(rows.For(name), peers).Handlers()
	}
	r := rerouter.New(rows.For("self"), peers, options...)
	r.SetRelays(peers)
	go r.Run(t.Context())
	return r, peers
}

var (
	row      = storer.RowKey{Table: "t", Name: "r"}
	rowRange = storer.Range{Table: row.Table, From: row.Name, Limit: 1}
)

func insert(ctx context.Context, r storer.Rows) error {
	_, err := r.Transact(ctx, []storer.Change{{RowKey: row, Value: []byte("v")}})
	return err
}

func pathOf(r *rerouter.Rerouter) rerouter.Path {
	path, _ := r.Path()
	return path
}

func TestCallsAreRelayedWhileRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := newRerouter(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 5 {
			_, _ = r.List(t.Context(), rowRange) // The first calls detect the failure.
		}
		if err := insert(t.Context(), r); err != nil {
			t.Fatal(err)
		}
		var conflict *storer.Conflict
		if err := insert(t.Context(), r); !errors.As(err, &conflict) {
			t.Errorf("got %v from a relayed write, want a conflict", err)
		} else if diff := cmp.Diff("v", string(conflict.Current[0].Value)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(rerouter.Relayed, pathOf(r)); diff != "" {
			t.Error(diff)
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		time.Sleep(time.Second)
		if err := insert(t.Context(), r); !errors.Is(err, storer.ErrConflict) {
			t.Error(err)
		}
		if diff := cmp.Diff(rerouter.Direct, pathOf(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// A probe may find that the store is lost before a call does. Calls that came before it had found
// another instance were refused, although that instance reached the store.
func TestCallsAreRelayedDuringTheFirstSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, peers := newRerouter(t, rows)
		peers.delay = 50 * time.Millisecond
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}, Delay: 10 * time.Millisecond})
		_, _ = r.List(t.Context(), rowRange) // The probe that follows is the second failure.
		time.Sleep(25 * time.Millisecond)
		if diff := cmp.Diff(rerouter.Lost, pathOf(r)); diff != "" {
			t.Fatal(diff)
		}
		if err := insert(t.Context(), r); err != nil {
			t.Error(err)
		}
		if _, err := r.List(t.Context(), rowRange); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(rerouter.Relayed, pathOf(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// Other instances that are slow, on a busy host, counted as lost for as long as they were, so
// that turns were refused although each call would have been answered.
func TestSlowRelaysAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, peers := newRerouter(t, rows)
		peers.delay = 400 * time.Millisecond
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 2 {
			_, _ = r.List(t.Context(), rowRange) // These calls detect the failure.
		}
		time.Sleep(1500 * time.Millisecond)
		for i := range 5 {
			if _, err := r.List(t.Context(), rowRange); err != nil {
				t.Errorf("read %d: %v", i, err)
			}
			if err := insert(t.Context(), r); err != nil && !errors.Is(err, storer.ErrConflict) {
				t.Errorf("write %d: %v", i, err)
			}
		}
	})
}

// On a busy host, an instance got the responses of the store after their timeout, although the
// store was in time, and took it for lost (three fleet tests beside other processes).
func TestDelayedProcessDoesNotLoseTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		var mu sync.Mutex
		var paths []string
		start := time.Now()
		delay := func() time.Duration { return time.Since(start) * 3 / 4 }
		r, peers := newRerouterWithPeers(t, rows, 2, rerouter.WithTimeouts(extender.New(extender.WithDelay(delay)).WithTimeout),
			rerouter.WithPathObserver(func(_, to rerouter.Path, _ error) {
				mu.Lock()
				defer mu.Unlock()
				paths = append(paths, to.String())
			}))
		rows.SetFaults(fakeplatform.RowFaults{Delay: 400 * time.Millisecond})
		for i := range 5 {
			if _, err := r.List(t.Context(), rowRange); err != nil {
				t.Errorf("read %d: %v", i, err)
			}
		}
		synctest.Wait()
		mu.Lock()
		if diff := cmp.Diff([]string(nil), paths); diff != "" {
			t.Errorf("changes of the path: %s", diff)
		}
		mu.Unlock()
		// The responses of relays are late for the same reason.
		peers.delay = 600 * time.Millisecond
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 2 {
			_, _ = r.List(t.Context(), rowRange) // These calls detect the failure.
		}
		time.Sleep(time.Second)
		for i := range 5 {
			if _, err := r.List(t.Context(), rowRange); err != nil {
				t.Errorf("relayed read %d: %v", i, err)
			}
		}
		synctest.Wait()
		mu.Lock()
		if diff := cmp.Diff([]string{"Lost", "Relayed"}, paths); diff != "" {
			t.Errorf("changes of the path: %s", diff)
		}
		mu.Unlock()
	})
}

// An instance that loses its connection to the store during a write (Laulukaar
// inc-f21f) must relay the write once the path is Relayed.
func TestUnansweredWriteIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := newRerouter(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Unanswered: map[string]bool{"self": true}})
		start := time.Now()
		written := make(chan error, 1)
		go func() { written <- insert(t.Context(), r) }()
		for pathOf(r) != rerouter.Relayed {
			_, _ = r.List(t.Context(), rowRange) // The first calls detect the failure.
		}
		if err := <-written; err != nil {
			t.Error(err)
		}
		// The end of a stream waits for the write, and callers give up a stream that is
		// silent for 2 s.
		if took := time.Since(start); took > time.Second {
			t.Errorf("the write took %v, want at most 1 s", took)
		}
		if err := insert(t.Context(), r); !errors.Is(err, storer.ErrConflict) {
			t.Errorf("got %v from a second insert, want a conflict", err)
		}
	})
}

func TestCallsFailImmediatelyWhileLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := newRerouter(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Silent: true})
		for range 6 {
			_, _ = r.List(t.Context(), rowRange) // The first calls detect the failure.
		}
		if diff := cmp.Diff(rerouter.Lost, pathOf(r)); diff != "" {
			t.Error(diff)
		}
		start, failed := time.Now(), 0
		for time.Since(start) < 10*time.Second {
			if err := insert(t.Context(), r); err == nil {
				t.Fatal("a write succeeded")
			}
			failed++
			time.Sleep(10 * time.Millisecond)
		}
		// Most calls fail without being sent.
		if failed < 100 {
			t.Errorf("got %d failed calls in 10 s, want at least 100", failed)
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
		r, _ := newRerouter(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Delay: 400 * time.Millisecond})
		ok := 0
		for range 20 {
			if _, err := r.List(t.Context(), rowRange); err == nil {
				ok++
			}
		}
		if ok < 15 {
			t.Errorf("%d of 20 calls to a store with a delay of 400 ms succeeded, want at least 15", ok)
		}
	})
}

// A relayed write without a response may have taken effect.
func TestRelayedWriteWithoutResponseIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, peers := newRerouter(t, rows)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 5 {
			_, _ = r.List(t.Context(), rowRange) // The first calls detect the failure.
		}
		peers.silent.Store(true)
		time.Sleep(300 * time.Millisecond)
		if err := insert(t.Context(), r); !errors.Is(err, storer.ErrInDoubt) {
			t.Errorf("got %v, want ErrInDoubt", err)
		}
	})
}

// A store refuses four of ten instances (Binfold trouble-1). An instance that always
// asks the same two relays, which are refused as well, considers the store lost
// for the whole time.
func TestRefusedRelaysAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := newRerouterWithPeers(t, rows, 9)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true, "other-0": true, "other-1": true, "other-2": true}})
		for range 3 {
			_, _ = r.List(t.Context(), rowRange) // The first calls detect the failure.
		}
		time.Sleep(600 * time.Millisecond)
		for i := range 20 {
			if _, err := r.List(t.Context(), rowRange); err != nil {
				t.Fatalf("call %d: %v", i, err)
			}
		}
		if diff := cmp.Diff(rerouter.Relayed, pathOf(r)); diff != "" {
			t.Error(diff)
		}
	})
}

// A relayed response that arrives after the direct path was restored must not
// replace it.
func TestLateRelayedResponseKeepsDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		var changes atomic.Int32
		r, _ := newRerouterWithPeers(t, rows, 2, rerouter.WithPathObserver(func(rerouter.Path, rerouter.Path, error) { changes.Add(1) }))
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 3 {
			_, _ = r.List(t.Context(), rowRange) // The first calls detect the failure.
		}
		var calls sync.WaitGroup
		for range 50 {
			calls.Go(func() { _, _ = r.Changes(t.Context(), row.Table, 0, time.Second) }) // Only the path is tested.
			time.Sleep(20 * time.Millisecond)
		}
		changes.Store(0)
		rows.SetFaults(fakeplatform.RowFaults{})
		calls.Wait()
		if diff := cmp.Diff(rerouter.Direct, pathOf(r)); diff != "" || changes.Load() != 1 {
			t.Errorf("got %d changes of the path, want 1; path: %s", changes.Load(), diff)
		}
	})
}

// A store that was silent for four seconds (deploy/days/01) must be in use again soon
// after its return. Probes that it received while silent never get a response, and
// their timeout is 1.6 s by then.
func TestPathIsRestoredSoonAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, silence := range []time.Duration{3900 * time.Millisecond, 4 * time.Second, 4700 * time.Millisecond} {
			rows := fakeplatform.NewRows(1)
			r, _ := newRerouter(t, rows)
			rows.SetFaults(fakeplatform.RowFaults{Silent: true})
			started := time.Now()
			for time.Since(started) < silence {
				_, _ = r.List(t.Context(), rowRange) // Calls fail at once while the path is lost.
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff(rerouter.Lost, pathOf(r)); diff != "" {
				t.Fatal(diff)
			}
			rows.SetFaults(fakeplatform.RowFaults{})
			time.Sleep(300 * time.Millisecond)
			if diff := cmp.Diff(rerouter.Direct, pathOf(r)); diff != "" {
				t.Errorf("300 ms after %v of silence: %s", silence, diff)
			}
			// The probes sent during the silence fail now and change nothing.
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				if diff := cmp.Diff(rerouter.Direct, pathOf(r)); diff != "" {
					t.Fatalf("path lost again: %s", diff)
				}
			}
		}
	})
}

// A write that the store received while it was silent gets no response. After the
// store's return it is reported as lost at once and not after its timeout.
func TestWriteOfSilenceIsReportedAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := newRerouterWithPeers(t, rows, 0) // A relay found first would repeat the write.
		rows.SetFaults(fakeplatform.RowFaults{Silent: true})
		for range 3 {
			_, _ = r.List(t.Context(), rowRange) // Raises the timeouts.
		}
		for range 2 {
			time.Sleep(300 * time.Millisecond)
			_, _ = r.List(t.Context(), rowRange)
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		time.Sleep(300 * time.Millisecond)
		rows.SetFaults(fakeplatform.RowFaults{Silent: true})
		result := make(chan error, 1)
		go func() { result <- insert(t.Context(), r) }()
		for range 6 {
			time.Sleep(200 * time.Millisecond)
			_, _ = r.List(t.Context(), rowRange) // The path is lost.
		}
		rows.SetFaults(fakeplatform.RowFaults{})
		returned := time.Now()
		if err := <-result; !errors.Is(err, storer.ErrInDoubt) {
			t.Errorf("got %v, want ErrInDoubt", err)
		}
		if took := time.Since(returned); took > 400*time.Millisecond {
			t.Errorf("reported %v after the store's return", took)
		}
	})
}

// earlyPolls passes calls that wait for changes to a store that accepted them before it began
// to refuse the instance.
type earlyPolls struct {
	storer.Rows
	accepting storer.Rows
}

func (p earlyPolls) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	return p.accepting.Changes(ctx, table, after, wait)
}

// Calls that waited for changes since before the store refused an instance kept its path Direct:
// their responses outdated the refusals of newer calls.
func TestResponsesToEarlierWaitsDoNotOutdateRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r := rerouter.New(earlyPolls{Rows: rows.For("self"), accepting: rows.For("early")}, &peerSet{})
		r.SetRelays(&peerSet{})
		const polls = 20
		for i := range polls {
			go func() { _, _ = r.Changes(t.Context(), row.Table, 0, time.Second+time.Duration(i)*20*time.Millisecond) }() // Only the path is tested.
		}
		time.Sleep(990 * time.Millisecond)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		go r.Run(t.Context())
		for range polls {
			_ = insert(t.Context(), r) // Refused, as all new calls are.
			_, _ = r.List(t.Context(), rowRange)
			time.Sleep(20 * time.Millisecond)
			if path := pathOf(r); path == rerouter.Direct {
				t.Fatalf("the path is %v after a read was refused", path)
			}
		}
	})
}

// An instance whose only reads wait for changes kept the path Direct for over a second while the
// store refused each call (TestInstanceWithoutStoreUsesPeer beside load): the refusals of waits
// that began before the last response were outdated, and the next reads came 500 ms later.
func TestOneRefusedReadSuffices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		r, _ := newRerouter(t, rows)
		go func() { _, _ = r.Changes(t.Context(), row.Table, 0, time.Second) }() // Only the path is tested.
		time.Sleep(100 * time.Millisecond)
		if _, err := r.List(t.Context(), rowRange); err != nil {
			t.Fatal(err)
		}
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		rows.Put(storer.RowKey{Table: "other", Name: "r"}, nil) // The store looks at the wait again.
		time.Sleep(50 * time.Millisecond)
		if path := pathOf(r); path == rerouter.Direct {
			t.Errorf("the path is %v after a read was refused", path)
		}
	})
}
