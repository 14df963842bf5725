package tunneler

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Requests of other instances to relay took the turn of this instance's own attempts to reach the
// endpoint directly, so that it did not try at all while others asked more than once a second.
func TestRequestsToRelayLeaveDirectAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := netip.MustParseAddrPort("10.0.0.1:1")
		tunneler := New(nil, nil, nil, nil)
		tunneler.recordTunnel(endpoint, discoverer.Member{}, time.Now())
		for range 20 {
			time.Sleep(probeInterval / 10)
			if !tunneler.isBlocked(endpoint) {
				t.Fatal("the endpoint counts as reached directly")
			}
		}
		if _, mayProbe := tunneler.begin(endpoint); !mayProbe {
			t.Error("no direct connection is tried")
		}
	})
}

type relays []discoverer.Member

func (r relays) Relays() []discoverer.Member { return r }
func (r relays) Self() discoverer.Member     { return discoverer.Member{} }

// A direct connection was opened before the tunnel's goroutine beside it ran. The tunnel took the
// time at which it ran for its start, and the endpoint counted as reached only through others again.
func TestDirectConnectionCountsAlthoughTheTunnelBesideItBeganLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := netip.MustParseAddrPort("10.0.0.1:1")
		registry := registrar.New()
		registry.Replace([]registrar.Endpoint{{ID: "engine-1", Address: endpoint}})
		dial := func(context.Context, string, string) (net.Conn, error) {
			conn, other := net.Pipe()
			t.Cleanup(func() { _ = other.Close() }) // It was never used.
			return conn, nil
		}
		server, err := messenger.NewServer(nil, messenger.WithStreams(New(dial, nil, nil, registry).Streams()))
		if err != nil {
			t.Fatal(err)
		}
		listener := faker.NewPipeListener()
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, listener) }()
		client := messenger.NewClient(messenger.WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.Dial(ctx) }))
		// The process stands still between the direct connection and the tunnel, which is open
		// before it can be canceled.
		halt := func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
			time.Sleep(time.Millisecond)
			return ctx, func() {}
		}
		member := discoverer.Member{Instance: "b", Address: netip.MustParseAddrPort("10.0.0.2:1")}
		tunneler := New(dial, client, relays{member}, registry, WithTimeouts(halt))
		tunneler.recordTunnel(endpoint, member, time.Now())
		time.Sleep(probeInterval)
		conn, err := tunneler.Dial(ctx, "tcp", endpoint.String())
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // The tunnel beside it has been opened and closed.
		if tunneler.isBlocked(endpoint) {
			t.Error("the endpoint counts as reached only through others after a direct connection")
		}
		_ = conn.Close() // It was never used.
		client.Close()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}
