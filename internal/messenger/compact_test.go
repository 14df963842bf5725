package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// olderDescription is the service of an instance without compactName. It counts the calls.
type olderDescription struct {
	serviceDescription
	calls *atomic.Int32
}

func (olderDescription) NumMethods() int { return serviceDescription{}.NumMethods() - 1 }

func (d olderDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	rpc, encoding, receiver, method, ok := d.serviceDescription.Method(n)
	counted := func(server any, ctx context.Context, in, stream any) (drpc.Message, error) {
		d.calls.Add(1)
		return receiver(server, ctx, in, stream)
	}
	return rpc, encoding, counted, method, ok
}

// Guards against an upgrade during which instances of the new version get no permits from those
// of the old one, or ask each time in vain.
func TestCompactCallsReachInstancesOfOlderVersions(t *testing.T) {
	s, err := NewServer(map[string]Handler{
		"Double": Handle(func(_ context.Context, in int) (int, error) { return 2 * in, nil }),
	})
	if err != nil {
		t.Fatal(err)
	}
	var enveloped atomic.Int32
	mux := drpcmux.New()
	if err := mux.Register(s, olderDescription{calls: &enveloped}); err != nil {
		t.Fatal(err)
	}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = drpcserver.New(mux).Serve(t.Context(), listener) }() // It ends with the test.
	client := CompactClient{Client: NewClient()}
	defer client.Close()
	address := netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var doubles []int
	for i := range 3 {
		var out int
		if err := client.Call(ctx, address, "Double", i, &out); err != nil {
			t.Fatal(err)
		}
		doubles = append(doubles, out)
	}
	if diff := cmp.Diff([]int{0, 2, 4}, doubles); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(int32(3), enveloped.Load()); diff != "" {
		t.Error(diff)
	}
	until, _ := client.older.Get(address)
	if remaining := time.Until(until); remaining <= 0 || remaining > olderTimeout {
		t.Errorf("the instance is called as one of an older version for %v", remaining)
	}
}
