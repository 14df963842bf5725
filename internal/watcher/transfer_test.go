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

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/rerouter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
	"github.com/wigeonstand/wigeonstand/platform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// linkBytesPerSecond is the link of the smallest instances: 22 Mbit/s.
const linkBytesPerSecond = 22_000_000 / 8

// Reads of a large configuration were cut off while it was under way on a slow link, each time
// again, so that an older one stayed in force.
func TestLargeConfigurationIsReadOverASlowLink(t *testing.T) {
	const deadline = 3 * time.Second
	for name, c := range map[string]struct{ routes int }{
		"small":  {routes: 10},
		"medium": {routes: 6_000},
		"large":  {routes: 20_000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := fakeplatform.NewRows(1)
				l := standin.NewLink(linkBytesPerSecond)
				server := &http.Server{Handler: standin.NewStore(rows.For("self")), ReadHeaderTimeout: time.Minute}
				go func() { _ = server.Serve(l) }() // It ends with the test.
				store := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), platform.WithDial(l.Dial))
				ctx, cancel := context.WithCancel(t.Context())
				reroutes := rerouter.New(store, nil, rerouter.WithTimeouts(extender.New().WithTimeout))
				w := watcher.New(watcher.Source{
					ConfigurationKey: storer.RowKey{Table: platform.TableConfiguration, Name: platform.KeyConfiguration},
					EndpointTable:    platform.TableEndpoints, DecodeTable: platform.DecodeConfiguration, DecodeEndpoint: platform.DecodeEndpoint,
				}, reroutes, registrar.New())
				var running sync.WaitGroup
				defer func() {
					cancel()
					running.Wait()
					store.Close()
					_ = server.Close()
				}()
				running.Go(func() { reroutes.Run(ctx) })
				running.Go(func() { w.Run(ctx) })
				running.Go(func() { // The instance reads other tables, too.
					for ctx.Err() == nil {
						_, _ = reroutes.List(ctx, storer.Range{Table: "members", Limit: 1})
						time.Sleep(250 * time.Millisecond)
					}
				})
				prefixes := make([]string, c.routes)
				for i := range prefixes {
					prefixes[i] = fmt.Sprintf("/added-%d/", i)
				}
				for version := 1; version <= 3; version++ {
					extra := prefixes
					if version == 1 {
						extra = nil
					}
					if err := standin.WriteConfiguration(rows, version, extra...); err != nil {
						t.Fatal(err)
					}
					time.Sleep(deadline)
					if diff := cmp.Diff(int64(version), w.Table().Version); diff != "" {
						t.Errorf("%v after version %d was written: %s", deadline, version, diff)
					}
				}
			})
		})
	}
}
