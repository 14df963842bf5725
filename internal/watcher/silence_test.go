package watcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
	"github.com/wigeonstand/wigeonstand/platform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// A connection to the store that went silent counted as an outage of the store, so that an endpoint
// whose registration was removed was kept as if it had lapsed (review/2).
func TestRemovedEndpointIsNotKeptAfterASilentConnection(t *testing.T) {
	const (
		// silence is how long a wait for changes and its timeout last, and delay how long the
		// removal may take to be known besides.
		silence         = 1200 * time.Millisecond
		delay           = 500 * time.Millisecond
		heartbeat       = 1200 * time.Millisecond
		linkBytesPerSec = 1 << 30
	)
	for _, renewed := range []int{0, 1, 11} {
		for _, removal := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d renewed/%v", renewed, removal), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					rows, link, registry := fakeplatform.NewRows(1), standin.NewLink(linkBytesPerSec), registrar.New()
					rows.SetFaults(fakeplatform.RowFaults{Delay: 4 * time.Millisecond})
					rows.Put(configuration, []byte("1"))
					server := &http.Server{Handler: standin.NewStore(rows.For("self")), ReadHeaderTimeout: time.Minute}
					go func() { _ = server.Serve(link) }() // It ends with the test.
					store := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), platform.WithDial(link.Dial))
					r := rerouter.New(store, nil, rerouter.WithTimeouts(extender.New().WithTimeout))
					w := watcher.New(source(), r, registry, watcher.WithRestored(r.Restored), watcher.WithOutages(r.WasAway))
					var running sync.WaitGroup
					running.Go(func() { r.Run(ctx) })
					running.Go(func() { w.Run(ctx) })
					for i := range renewed {
						running.Go(func() {
							for n := 0; ctx.Err() == nil; n++ {
								rows.Put(endpoint(fmt.Sprint(i)), []byte("ready"))
								time.Sleep(heartbeat)
							}
						})
					}
					defer func() {
						cancel()
						running.Wait()
						store.Close()
						_ = server.Close()
						time.Sleep(time.Second) // The server closes connections with unread bytes late.
					}()
					for round := range 8 {
						leaver := fmt.Sprintf("leaver-%d", round)
						rows.Put(endpoint(leaver), []byte("ready"))
						time.Sleep(3*time.Second + time.Duration(round)*137*time.Millisecond)
						if count(registry) != renewed+1 {
							t.Fatalf("round %d: %d endpoints before the silence", round, count(registry))
						}
						silentAt := time.Now()
						link.Silence()
						time.Sleep(removal)
						rows.Remove(endpoint(leaver))
						time.Sleep(max(silence-time.Since(silentAt), 0) + delay)
						if count(registry) != renewed {
							t.Errorf("round %d: the endpoint is still there %v after its registration was removed", round, time.Since(silentAt)-removal)
						}
						time.Sleep(3 * time.Second)
					}
				})
			})
		}
	}
}

// A read that waited for the end of an outage succeeded, so that registrations that had lapsed in it were
// taken for removed ones.
func TestRegistrationsThatLapseInAnOutageAreKept(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for name, faults := range map[string]fakeplatform.RowFaults{"silent": {Silent: true}, "refused": {Outage: true}} {
		for length := 2 * time.Second; length <= 4*time.Second; length += 250 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v", name, length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					rows := fakeplatform.NewRows(1)
					rows.Put(configuration, []byte("1"))
					rows.Put(endpoint("a"), []byte("ready"))
					f := start(ctx, rows, 5)
					defer f.running.Wait()
					defer cancel()
					for phase := range 8 {
						time.Sleep(5*time.Second + time.Duration(phase)*137*time.Millisecond)
						rows.SetFaults(faults)
						time.Sleep(length / 2)
						rows.Remove(endpoint("a"))
						time.Sleep(length / 2)
						rows.SetFaults(fakeplatform.RowFaults{})
						time.Sleep(heartbeat)
						for _, m := range f.members {
							if n := count(f.registries[m.Instance]); n != 1 {
								t.Errorf("phase %d, %s: %d endpoints, want 1", phase, m.Instance, n)
							}
						}
						rows.Put(endpoint("a"), []byte("ready"))
					}
				})
			})
		}
	}
}

// An instance that the store did not answer, while it answered others, took that for an outage and kept
// an endpoint whose registration was removed.
func TestRemovedEndpointIsNotKeptWhileOthersReachTheStore(t *testing.T) {
	const deadline = 2500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rows := fakeplatform.NewRows(1)
		rows.Put(configuration, []byte("1"))
		f := start(ctx, rows, 5)
		defer f.running.Wait()
		defer cancel()
		rejected := f.members[len(f.members)-1].Instance
		for phase := range 8 {
			rows.Put(endpoint("a"), []byte("ready"))
			time.Sleep(5*time.Second + time.Duration(phase)*137*time.Millisecond)
			rows.SetFaults(fakeplatform.RowFaults{Delay: 4 * time.Millisecond, Unanswered: map[string]bool{rejected: true}})
			rows.Remove(endpoint("a"))
			time.Sleep(deadline)
			if n := count(f.registries[rejected]); n != 0 {
				t.Errorf("phase %d: the endpoint is still there %v after its registration was removed", phase, deadline)
			}
			rows.SetFaults(fakeplatform.RowFaults{Delay: 4 * time.Millisecond})
			time.Sleep(5 * time.Second)
		}
	})
}
