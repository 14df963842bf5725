package accepter

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

func TestChooseEviction(t *testing.T) {
	idle, young := candidate{waited: time.Second, isIdle: true}, candidate{waited: minIdle - 1, isIdle: true}
	busy, stalled := candidate{}, candidate{waited: minStall}
	large := candidate{excess: 100 << 10}
	for name, tc := range map[string]struct {
		candidates []candidate
		demand     int64
		want       int
	}{
		"none":                                   {want: -1},
		"a request at work is kept":              {candidates: []candidate{busy}, demand: 1, want: -1},
		"a new connection is kept":               {candidates: []candidate{young}, demand: 1, want: -1},
		"a large head goes first":                {candidates: []candidate{idle, large, stalled}, demand: 100 << 10, want: 1},
		"a smaller head than the demand is kept": {candidates: []candidate{large}, demand: 101 << 10, want: -1},
		"the longest idle before stalled ones":   {candidates: []candidate{stalled, idle, {waited: 2 * time.Second, isIdle: true}}, demand: 1, want: 2},
		"a connection that was never used goes before one that was": {
			candidates: []candidate{{waited: time.Hour, isIdle: true, isUsed: true}, idle}, demand: 1, want: 1,
		},
		"stalled before none": {candidates: []candidate{busy, stalled, young}, demand: 1, want: 1},
	} {
		if got := chooseEviction(tc.candidates, tc.demand); got != tc.want {
			t.Errorf("%s: %d, not %d", name, got, tc.want)
		}
	}
}

// serveBudget serves requests with the budget and returns its address.
func serveBudget(t *testing.T, b *Budget, handler http.Handler) string {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnState: ConnState, ReadHeaderTimeout: 10 * time.Second}
	t.Cleanup(func() { _ = server.Close() })                                                   // It ends with the test.
	go func() { _ = server.Serve(New(listener, logger.Discard(), WithBudget(b, HeadCost))) }() // As above.
	return listener.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // It ends with the test.
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second)) // It fails on a closed connection only.
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// The memory of a head is returned after its request, and a connection that is idle makes room for another
// one.
func TestBudgetOfConnections(t *testing.T) {
	const headBytes = 16 << 10
	b := NewBudget(3*connectionBytes+headBytes, logger.Discard())
	address := serveBudget(t, b, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	request := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 100) + "\r\n"
	var first net.Conn
	for i := range 5 {
		conn := dial(t, address, request)
		response := make([]byte, 12)
		if _, err := io.ReadFull(conn, response); err != nil || string(response) != "HTTP/1.1 200" {
			t.Fatalf("connection %d: %q, %v", i, response, err)
		}
		if i == 0 {
			first = conn
		}
		time.Sleep(2 * minIdle)
	}
	if _, err := io.ReadAll(first); err != nil { // The rest of its response, and the end.
		t.Error(err)
	}
	if got := b.Evictions(); got != 2 {
		t.Errorf("%d evictions, not 2", got)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if want := int64(3 * connectionBytes); b.used != want || len(b.conns) != 3 {
		t.Errorf("%d bytes used by %d connections, not %d by 3", b.used, len(b.conns), want)
	}
}

// Guards against heads that are bounded one by one only.
func TestLargeHeadsMakeRoomForOthers(t *testing.T) {
	b := NewBudget(1<<20, logger.Discard())
	address := serveBudget(t, b, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	large := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3_000))
	time.Sleep(100 * time.Millisecond)
	for range 12 {
		dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 500))
	}
	if !isClosed(large) {
		t.Error("the largest head is still there")
	}
	ordinary := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response := make([]byte, 12)
	if _, err := io.ReadFull(ordinary, response); err != nil || string(response) != "HTTP/1.1 200" {
		t.Errorf("%q, %v", response, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > b.size {
		t.Errorf("%d bytes used of %d", b.used, b.size)
	}
}

// A single head of the largest size is served in calm.
func TestLargestHeadIsServedInCalm(t *testing.T) {
	b := NewBudget(112<<20/10, logger.Discard())
	address := serveBudget(t, b, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 15_000)+"\r\n")
	response := make([]byte, 12)
	if _, err := io.ReadFull(conn, response); err != nil || string(response) != "HTTP/1.1 200" {
		t.Errorf("%q, %v", response, err)
	}
}
