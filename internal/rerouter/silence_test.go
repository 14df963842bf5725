package rerouter_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/platform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const fastLinkBytesPerSecond = 1 << 30

// silentStore is a store behind a link whose open connections can go silent.
type silentStore struct {
	link  *standin.Link
	rows  *fakeplatform.Rows
	store *platform.Store
	paths []string
	mu    sync.Mutex
}

// runSilent calls test with a running Rerouter, which reaches the store over the link.
func runSilent(t *testing.T, peers *peerSet, test func(t *testing.T, s *silentStore, r *rerouter.Rerouter)) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{link: standin.NewLink(fastLinkBytesPerSecond), rows: fakeplatform.NewRows(1)}
		s.rows.SetFaults(fakeplatform.RowFaults{Delay: 4 * time.Millisecond})
		server := &http.Server{Handler: standin.NewStore(s.rows.For("self")), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(s.link) }() // It ends with the test.
		s.store = platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), platform.WithDial(s.link.Dial))
		ctx, cancel := context.WithCancel(t.Context())
		r := rerouter.New(s.store, peers, rerouter.WithTimeouts(extender.New().WithTimeout), rerouter.WithPathObserver(func(_, to rerouter.Path, _ error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.paths = append(s.paths, to.String())
		}))
		r.SetRelays(peers)
		var running sync.WaitGroup
		running.Go(func() { r.Run(ctx) })
		defer func() {
			cancel()
			running.Wait()
			s.store.Close()
			_ = server.Close()
			time.Sleep(time.Second) // The server closes connections with unread bytes late.
		}()
		test(t, s, r)
	})
}

// readAll makes n reads at the same time, each on a connection of its own. It returns how many failed
// and how long the longest took.
func readAll(ctx context.Context, r *rerouter.Rerouter, n int) (failed int, longest time.Duration) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for range n {
		calls.Go(func() {
			_, err := r.List(ctx, rowRange)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
		})
	}
	calls.Wait()
	return failed, time.Since(start)
}

// Reads on connections that had gone silent failed, and two that failed together counted as the loss
// of a store that answered on new connections.
func TestSilentConnectionsAreNotTheLossOfTheStore(t *testing.T) {
	for _, concurrent := range []int{1, 2, 4, 12} {
		t.Run(fmt.Sprint(concurrent), func(t *testing.T) {
			runSilent(t, &peerSet{}, func(t *testing.T, s *silentStore, r *rerouter.Rerouter) {
				for round := range 3 {
					if failed, _ := readAll(t.Context(), r, concurrent); failed > 0 {
						t.Fatalf("%d of %d reads failed before the silence", failed, concurrent)
					}
					s.link.Silence()
					failed, longest := readAll(t.Context(), r, concurrent)
					if failed > 0 || longest > 300*time.Millisecond {
						t.Errorf("round %d: %d of %d reads failed after the silence, the longest took %v", round, failed, concurrent, longest)
					}
					time.Sleep(time.Second)
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				if diff := cmp.Diff([]string(nil), s.paths); diff != "" {
					t.Errorf("changes of the path: %s", diff)
				}
			})
		})
	}
}

// A read that waited for changes on a silent connection failed, so that its caller read again half a
// second later.
func TestWaitOnASilentConnectionIsRepeatedAtOnce(t *testing.T) {
	runSilent(t, &peerSet{}, func(t *testing.T, s *silentStore, r *rerouter.Rerouter) {
		const wait = time.Second
		s.rows.Put(row, []byte("1"))
		time.AfterFunc(100*time.Millisecond, func() {
			s.link.Silence()
			s.rows.Put(row, []byte("2"))
		})
		start := time.Now()
		page, err := r.Changes(t.Context(), row.Table, 1, wait)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); len(page.Records) != 1 || took > wait+200*time.Millisecond {
			t.Errorf("got %d changes after %v, want 1 after the wait and one timeout", len(page.Records), took)
		}
	})
}

// A write whose connection had gone silent took three silent reads, one after the other, to be
// repeated.
func TestWriteOnASilentConnectionIsRepeatedSoon(t *testing.T) {
	runSilent(t, &peerSet{}, func(t *testing.T, s *silentStore, r *rerouter.Rerouter) {
		if failed, _ := readAll(t.Context(), r, 4); failed > 0 {
			t.Fatal("reads failed before the silence")
		}
		s.link.Silence()
		start := time.Now()
		err := insert(t.Context(), r)
		if took := time.Since(start); took > 400*time.Millisecond {
			t.Errorf("the write ended after %v with %v, want at most 400 ms", took, err)
		}
	})
}

// Instances that relayed for another one while their own connections were silent failed its calls.
func TestRelayReadsOnANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		link := standin.NewLink(fastLinkBytesPerSecond)
		server := &http.Server{Handler: standin.NewStore(rows.For("other")), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(link) }() // It ends with the test.
		store := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), platform.WithDial(link.Dial))
		defer func() {
			store.Close()
			_ = server.Close()
			time.Sleep(time.Second) // The server closes connections with unread bytes late.
		}()
		relay := discoverer.Member{Instance: "other", Address: netip.MustParseAddrPort("10.0.0.2:1")}
		other := rerouter.New(store, nil)
		peers := &peerSet{members: []discoverer.Member{relay}, handlers: map[netip.AddrPort]map[string]messenger.Handler{relay.Address: other.Handlers()}}
		r := rerouter.New(rows.For("self"), peers)
		r.SetRelays(peers)
		rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"self": true}})
		for range 3 {
			_, _ = r.List(t.Context(), rowRange) // The first calls detect the failure.
		}
		if diff := cmp.Diff(rerouter.Relayed, pathOf(r)); diff != "" {
			t.Fatal(diff)
		}
		var reads sync.WaitGroup
		for range 3 {
			reads.Go(func() { _, _ = other.List(t.Context(), rowRange) }) // They leave idle connections.
		}
		reads.Wait()
		link.Silence()
		if _, err := r.List(t.Context(), storer.Range{Table: row.Table}); err != nil {
			t.Errorf("read through an instance with silent connections: %v", err)
		}
	})
}
