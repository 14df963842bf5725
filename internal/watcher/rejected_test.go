package watcher_test

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
)

// instances are instances with watchers that relay calls to the store for each other.
type instances struct {
	rows     *fakeplatform.Rows
	members  []discoverer.Member
	handlers map[netip.AddrPort]map[string]messenger.Handler
	watchers map[string]*watcher.Watcher
	// registries are those of the watchers.
	registries map[string]*registrar.Registry
	running    sync.WaitGroup
}

func (f *instances) name(i int) string { return fmt.Sprintf("entry-%d", i) }

// peersOf is what one instance knows of the others.
type peersOf struct {
	*instances
	self string
}

func (p peersOf) Relays() []discoverer.Member {
	return slices.DeleteFunc(slices.Clone(p.members), func(m discoverer.Member) bool { return m.Instance == p.self })
}

func (peersOf) Suspect(string) {}

func (p peersOf) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
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

// start starts n instances, which run until ctx ends.
func start(ctx context.Context, rows *fakeplatform.Rows, n int) *instances {
	f := &instances{rows: rows, handlers: map[netip.AddrPort]map[string]messenger.Handler{}, watchers: map[string]*watcher.Watcher{}, registries: map[string]*registrar.Registry{}}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		f.members = append(f.members, discoverer.Member{Instance: f.name(i), Address: address})
	}
	for _, m := range f.members {
		f.handlers[m.Address] = f.run(ctx, m.Instance).Handlers()
	}
	return f
}

// run starts an instance.
func (f *instances) run(ctx context.Context, name string, options ...watcher.Option) *rerouter.Rerouter {
	peers := peersOf{f, name}
	r := rerouter.New(f.rows.For(name), peers, rerouter.WithTimeouts(extender.New().WithTimeout))
	r.SetRelays(peers)
	f.registries[name] = registrar.New()
	w := watcher.New(source(), r, f.registries[name], append(options, watcher.WithRestored(r.Restored), watcher.WithOutages(r.WasAway))...)
	f.watchers[name] = w
	f.running.Go(func() { r.Run(ctx) })
	f.running.Go(func() { w.Run(ctx) })
	return r
}

// Instances that the store rejects, in any way and at any moment, read a change through others.
func TestChangeReachesInstancesThatTheStoreRejects(t *testing.T) {
	const deadline = 3 * time.Second
	rejected := map[string]bool{"entry-0": true, "entry-1": true, "entry-2": true, "entry-3": true}
	for name, faults := range map[string]fakeplatform.RowFaults{
		"refused":    {Refused: rejected, Delay: 4 * time.Millisecond},
		"unanswered": {Unanswered: rejected, Delay: 4 * time.Millisecond},
		"both":       {Unanswered: map[string]bool{"entry-0": true, "entry-1": true}, Refused: map[string]bool{"entry-2": true, "entry-3": true}, Delay: 4 * time.Millisecond},
	} {
		for _, lead := range []time.Duration{-500 * time.Millisecond, 0, time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s/%s", name, lead), func(t *testing.T) {
				for seed := range 8 {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						rows := fakeplatform.NewRows(uint64(seed))
						rows.SetFaults(fakeplatform.RowFaults{Delay: 4 * time.Millisecond})
						rows.Put(configuration, []byte("1"))
						f := start(ctx, rows, 12)
						defer f.running.Wait()
						defer cancel()
						time.Sleep(5*time.Second + time.Duration(seed)*137*time.Millisecond)
						if lead >= 0 {
							rows.SetFaults(faults)
						}
						time.Sleep(lead.Abs())
						rows.Put(configuration, []byte("2"))
						if lead < 0 {
							rows.SetFaults(faults)
						}
						time.Sleep(deadline)
						got := map[string]int64{}
						for _, instance := range slices.Sorted(maps.Keys(f.watchers)) {
							if version := f.watchers[instance].Table().Version; version != 2 {
								got[instance] = version
							}
						}
						if diff := cmp.Diff(map[string]int64{}, got); diff != "" {
							t.Errorf("seed %d: %v after the change: %s", seed, deadline, diff)
						}
					})
				}
			})
		}
	}
}

// An instance that starts while the store rejects it, with a copy that is older than the one of
// others, must not keep it.
func TestOldCopyAtTheStartIsReplacedWhileTheStoreRejects(t *testing.T) {
	const deadline = 3 * time.Second
	rejected := map[string]bool{"late": true, "entry-0": true}
	for name, faults := range map[string]fakeplatform.RowFaults{"refused": {Refused: rejected}, "unanswered": {Unanswered: rejected}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				rows := fakeplatform.NewRows(1)
				rows.Put(configuration, []byte("1"))
				rows.Put(endpoint("a"), []byte("ready"))
				old, err := rows.For("x").List(ctx, storer.Range{Table: configuration.Table})
				if err != nil {
					t.Fatal(err)
				}
				f := start(ctx, rows, 6)
				defer f.running.Wait()
				defer cancel()
				time.Sleep(5 * time.Second)
				rows.SetFaults(faults)
				rows.Put(configuration, []byte("2"))
				time.Sleep(5 * time.Second)
				f.run(ctx, "late", watcher.WithBootstrapper(copyOf{old}))
				time.Sleep(deadline)
				for _, instance := range []string{"late", "entry-0", "entry-1"} {
					if diff := cmp.Diff(int64(2), f.watchers[instance].Table().Version); diff != "" {
						t.Errorf("%s: %s", instance, diff)
					}
				}
			})
		})
	}
}
