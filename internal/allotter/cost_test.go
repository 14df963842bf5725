package allotter

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/messenger"
)

func BenchmarkDecide(b *testing.B) {
	const accountCount = 500
	needs, now := needs{}, time.Duration(0)
	accounts := make([]*account, accountCount)
	for i := range accounts {
		accounts[i] = newAccount(testLimits, needs)
		accounts[i].update(1, 100+float64(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 50 * time.Microsecond // 20,000 requests a second
		accounts[i%accountCount].decide(now, item{Program: uint32(i / accountCount / 6), Route: uint16(i % 7)}, 0.5, 0.5)
	}
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against messages that grow: at 360 instances and 10,000 requests a second, an instance
// sends at most 2 KB/s for quotas. Requests to the same issuer hardly ever meet at that size, so
// each is counted as a call of its own, with all that the messenger sends for it.
func TestControlTraffic(t *testing.T) {
	const instances, requestRate, accounts, calls, target = 360, 10_000, 500, 2000, 2000
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var bytes atomic.Int64
	server, err := messenger.NewServer(map[string]messenger.Handler{
		methodIssue: messenger.Handle(func(_ context.Context, in issueRequest) (issueResponse, error) {
			return issueResponse{Results: make([]result, len(in))}, nil
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), countingListener{listener, &bytes}) }() // It ends with the test.
	client := messenger.NewClient()
	defer client.Close()
	address := netip.MustParseAddrPort(listener.Addr().String())
	compact := messenger.CompactClient{Client: client}
	for i := range calls {
		in := issueRequest{{
			Account: fmt.Sprintf("customer-%d", i%accounts), Version: 1000, Quota: int64(quotaScale * (5 + 5000/(1+i%accounts))),
			Program: uint32(i) * 2654435761, Route: uint16(i * 40503),
		}}
		if i%6 != 0 {
			in[0].Route = 0
		}
		var out issueResponse
		if err := compact.Call(t.Context(), address, methodIssue, in, &out); err != nil {
			t.Fatal(err)
		}
	}
	perCall := float64(bytes.Load()) / calls
	perInstance := perCall * requestRate / instances * (instances - 1) / instances
	t.Logf("%.0f bytes a call, %.0f bytes/s an instance", perCall, perInstance)
	if perInstance > target {
		t.Errorf("%.0f bytes/s an instance, %d allowed", perInstance, target)
	}
}
