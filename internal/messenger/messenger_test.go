package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
)

type message struct {
	Text  string           `cbor:"1,keyasint"`
	Parts map[string]int64 `cbor:"2,keyasint"`
}

func serve(t *testing.T, handlers map[string]messenger.Handler) netip.AddrPort {
	t.Helper()
	s, err := messenger.NewServer(handlers)
	if err != nil {
		t.Fatal(err)
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ctx, listener) // It ends with the test.
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// An instance of another version may send messages that this one does not expect. A
// handler that fails or panics on one must not end the process or spoil other calls.
func TestUnexpectedMessagesFailTheirCallOnly(t *testing.T) {
	address := serve(t, map[string]messenger.Handler{
		"Echo": messenger.Handle(func(_ context.Context, in message) (message, error) { return in, nil }),
		"Fail": messenger.Handle(func(context.Context, message) (message, error) { return message{}, eris.New("no") }),
		"Panic": messenger.Handle(func(_ context.Context, in message) (message, error) {
			in.Parts["x"]++ // Panics if the map is missing.
			return in, nil
		}),
	})
	client := messenger.NewClient()
	defer client.Close()
	t.Run("Calls", func(t *testing.T) { testUnexpectedMessages(t, client, address) })
	t.Run("CompactCalls", func(t *testing.T) {
		testUnexpectedMessages(t, messenger.CompactClient{Client: client}, address)
	})
}

// caller is a messenger.Client or messenger.CompactClient.
type caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

func testUnexpectedMessages(t *testing.T, client caller, address netip.AddrPort) {
	t.Helper()
	call := func(method string, in any) (message, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var out message
		err := client.Call(ctx, address, method, in, &out)
		return out, err
	}
	for _, tc := range []struct {
		method string
		in     any
	}{
		{"Panic", message{}},
		{"Fail", message{}},
		{"Unknown", message{}},
		{"Echo", "no message"},
		{"Echo", []any{1, map[string]int{"2": 3}}},
		{"Echo", map[int]any{1: 7, 2: "parts"}},
		{"Panic", strings.Repeat("long ", 100_000)},
	} {
		if _, err := call(tc.method, tc.in); err == nil {
			t.Errorf("%s of %T succeeded", tc.method, tc.in)
		}
		want := message{Text: "after " + tc.method}
		got, err := call("Echo", want)
		if err != nil {
			t.Fatalf("after %s: %v", tc.method, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	// Bytes that are no protocol end their connection only.
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n\xff\xff\xff\xff")); err != nil {
		t.Error(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if _, err := call("Echo", message{}); err != nil {
		t.Error(err)
	}
}

// A reply with a large configuration was cut off by a timeout meant for small ones, and one above
// 4 MiB could not be sent at all.
func TestLongRepliesArriveInParts(t *testing.T) {
	address := serve(t, map[string]messenger.Handler{
		"Repeat": messenger.Handle(func(_ context.Context, n int) (message, error) {
			return message{Text: strings.Repeat("0123456789", n)}, nil
		}),
	})
	client := messenger.NewClient()
	defer client.Close()
	for _, n := range []int{0, 1, 6_500, 6_600, 50_000, 600_000} {
		ctx, cancel := extender.New().WithTimeout(t.Context(), 5*time.Second)
		var out message
		if err := client.Call(ctx, address, "Repeat", n, &out); err != nil {
			t.Errorf("%d bytes: %v", 10*n, err)
		}
		cancel()
		if out.Text != strings.Repeat("0123456789", n) {
			t.Errorf("got %d of %d bytes", len(out.Text), 10*n)
		}
		if diff := cmp.Diff(10*n > 64<<10, !extender.RespondedAt(ctx).IsZero()); diff != "" {
			t.Errorf("progress with %d bytes: %s", 10*n, diff)
		}
	}
	compact := messenger.CompactClient{Client: client}
	var out message
	if err := compact.Call(t.Context(), address, "Repeat", 50_000, &out); err != nil || len(out.Text) != 500_000 {
		t.Errorf("got %d bytes, %v", len(out.Text), err)
	}
}
