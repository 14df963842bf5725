package messenger_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// A call on a connection that had gone silent failed like one to an instance that has ended, and
// the next calls used further silent connections.
func TestCallAfterASilentConnectionUsesANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			linkBytesPerSecond = 1 << 30
			connections        = 5
			timeout            = 200 * time.Millisecond
		)
		server, err := messenger.NewServer(map[string]messenger.Handler{
			"Echo": messenger.Handle(func(_ context.Context, in message) (message, error) {
				time.Sleep(10 * time.Millisecond) // Concurrent calls use different connections.
				return in, nil
			}),
		})
		if err != nil {
			t.Fatal(err)
		}
		link := standin.NewLink(linkBytesPerSecond)
		ctx, cancel := context.WithCancel(t.Context())
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(ctx, link) }) // It ends with the test.
		client := messenger.NewClient(messenger.WithDial(link.Dial))
		defer serving.Wait()
		defer cancel()
		defer client.Close()
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return client.Call(ctx, netip.MustParseAddrPort("10.0.0.1:1"), "Echo", message{Text: "x"}, &message{})
		}
		for round := range 3 {
			var calls sync.WaitGroup
			for range connections {
				calls.Go(func() {
					if err := call(); err != nil {
						t.Errorf("round %d: before the silence: %v", round, err)
					}
				})
			}
			calls.Wait()
			link.Silence()
			if err := call(); !errors.Is(err, messenger.ErrStale) {
				t.Errorf("round %d: on a silent connection: got %v, want ErrStale", round, err)
			}
			if err := call(); err != nil {
				t.Errorf("round %d: after the silent connection: %v", round, err)
			}
		}
	})
}

// A call that fails on a new connection or one that was closed, or is canceled, says something else. A
// bookkeeper that has restarted lost its ledgers, and another one adopted them.
func TestFailureOnANewConnectionIsNotStale(t *testing.T) {
	listener := serve(t, nil)
	client := messenger.NewClient()
	defer client.Close()
	unreachable := netip.AddrPortFrom(listener.Addr(), 1)
	if err := client.Call(t.Context(), unreachable, "Echo", message{}, &message{}); err == nil || errors.Is(err, messenger.ErrStale) {
		t.Errorf("refused connection: got %v", err)
	}
	handlers := map[string]messenger.Handler{
		"Block": messenger.Handle(func(ctx context.Context, in message) (message, error) {
			if in.Text != "" {
				<-ctx.Done()
			}
			return in, nil
		}),
	}
	address := serve(t, handlers)
	got := map[string]bool{}
	for _, name := range []string{"new", "canceled"} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if name == "canceled" {
			if err := client.Call(t.Context(), address, "Block", message{}, &message{}); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(20*time.Millisecond, cancel)
		}
		err := client.Call(ctx, address, "Block", message{Text: "x"}, &message{})
		cancel()
		got[name] = err != nil && !errors.Is(err, messenger.ErrStale)
	}
	server, err := messenger.NewServer(handlers)
	if err != nil {
		t.Fatal(err)
	}
	link := standin.NewLink(1 << 30)
	serving, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(serving, link) // It ends with the test.
	}()
	linked := messenger.NewClient(messenger.WithDial(link.Dial))
	defer linked.Close()
	if err := linked.Call(t.Context(), address, "Block", message{}, &message{}); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, stop)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err = linked.Call(ctx, address, "Block", message{Text: "x"}, &message{})
	got["closed"] = err != nil && !errors.Is(err, messenger.ErrStale)
	<-ended
	if diff := cmp.Diff(map[string]bool{"new": true, "canceled": true, "closed": true}, got); diff != "" {
		t.Error(diff)
	}
}
