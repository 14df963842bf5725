package watcher_test

import (
	"context"
	"fmt"
	"net"
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

// link is a net.Listener whose connections, made by Dial, deliver what is written to them at
// the rate of the link.
type link struct {
	accepted chan net.Conn
	closed   chan struct{}
}

type linkConn struct{ net.Conn }

// Write implements net.Conn.
func (c linkConn) Write(b []byte) (written int, err error) {
	const packetBytes = 16 << 10
	for len(b) > 0 && err == nil {
		packet := b[:min(len(b), packetBytes)]
		time.Sleep(time.Duration(len(packet)) * time.Second / linkBytesPerSecond)
		var n int
		n, err = c.Conn.Write(packet)
		written, b = written+n, b[n:]
	}
	return written, err
}

// Accept implements net.Listener.
func (l *link) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return linkConn{conn}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *link) Close() error { close(l.closed); return nil }

// Addr implements net.Listener.
func (l *link) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection to the listener.
func (l *link) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

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
				l := &link{accepted: make(chan net.Conn), closed: make(chan struct{})}
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
