package closer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/closer"
)

// server runs a server and returns its address, the requests carried out, and
// what stops it once it has carried out all that it read.
func server(t *testing.T, c *closer.Closer) (address string, ran *sync.Map, stop func()) {
	t.Helper()
	ran = &sync.Map{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		Handler: c.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Store(r.URL.Path, true)
			_, _ = io.WriteString(w, "ok") // Whether it arrives is what the test is about.
		})),
		ConnState: c.ConnState, ReadHeaderTimeout: time.Minute,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(c.Listener(l)) // Ends by Close.
	}()
	stop = func() {
		_ = s.Shutdown(context.WithoutCancel(t.Context())) // It has no end of its own to report.
		<-done
	}
	t.Cleanup(func() {
		_ = s.Close() // The test is over.
		<-done
	})
	return l.Addr().String(), ran, stop
}

// Replays a stop under load, as hunted on Laulukaar (mix, seed 366059745364): a
// request that was read as its connection was closed for being unused ran, and
// its answer was lost.
func TestRequestThatWasReadIsAnswered(t *testing.T) {
	for round := range 40 {
		c := closer.New()
		address, ran, stopServer := server(t, c)
		var (
			work       sync.WaitGroup
			stop       atomic.Bool
			unanswered sync.Map
		)
		for i := range 8 {
			work.Go(func() { send(t, address, fmt.Sprintf("/%d-%d", round, i), &unanswered, &stop) })
		}
		for pass := range 10 {
			delay := time.Duration(round)*200*time.Microsecond + time.Duration(5*pass)*time.Millisecond
			time.AfterFunc(delay, func() { c.CloseIdle(false) })
		}
		time.AfterFunc(60*time.Millisecond, func() { stop.Store(true) })
		work.Wait()
		stopServer()
		unanswered.Range(func(path, err any) bool {
			if _, found := ran.Load(path); found {
				t.Errorf("%s ran, but got no answer: %v", path, err)
			}
			return true
		})
	}
}

// send sends requests on one connection until it closes, and notes the request
// that got no answer.
func send(t *testing.T, address, prefix string, unanswered *sync.Map, stop *atomic.Bool) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = nc.Close() }() // The test has what it needs.
	r := bufio.NewReader(nc)
	for i := 0; !stop.Load(); i++ {
		path := fmt.Sprintf("%s-%d", prefix, i)
		if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
			return
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			unanswered.Store(path, err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body) // "ok".
		_ = response.Body.Close()
		if response.Close {
			return
		}
	}
}

// Replays two hunted days (scale-2, seeds 1086353251073 and 964637196541): an
// answer that began before the stop did not announce the close, and the request
// after it on the same connection was dropped.
func TestRequestAfterUnannouncedCloseIsAnswered(t *testing.T) {
	c := closer.New()
	address, _, _ := server(t, c)
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }() // The test has what it needs.
	r := bufio.NewReader(nc)
	for i := range 2 {
		if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body) // "ok".
		_ = response.Body.Close()
		if response.Close != (i == 1) {
			t.Errorf("request %d: the answer announces the close: %v", i, response.Close)
		}
		c.CloseIdle(false)
	}
}

func TestIdleConnectionsClose(t *testing.T) {
	c := closer.New()
	address, _, _ := server(t, c)
	dial := func() net.Conn {
		nc, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return nc
	}
	idle, unused := dial(), dial()
	if _, err := io.WriteString(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(idle)
	if _, err := http.ReadResponse(r, nil); err != nil { //nolint:bodyclose // The connection is read on.
		t.Fatal(err)
	}
	isClosed := func(nc net.Conn) bool {
		_ = nc.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := io.Copy(io.Discard, nc)
		return err == nil
	}
	// A connection counts as unused a moment after its answer.
	isIdleClosed := false
	for range 3 {
		c.CloseIdle(false)
		isIdleClosed = isIdleClosed || isClosed(idle)
	}
	if !isIdleClosed {
		t.Error("the unused connection stays open")
	}
	if isClosed(unused) {
		t.Error("the fresh connection was closed")
	}
	c.CloseIdle(true)
	if !isClosed(unused) {
		t.Error("the fresh connection stays open")
	}
}

// delayedReadConn is a connection whose Read has its bytes before a deadline can end
// it, but returns them only once it is told to.
type delayedReadConn struct {
	net.Conn
	data chan string
}

func (s *delayedReadConn) Read(b []byte) (int, error) { return copy(b, <-s.data), nil }

func (*delayedReadConn) SetReadDeadline(time.Time) error { return nil }

type singleConnListener struct{ net.Conn }

func (o singleConnListener) Accept() (net.Conn, error) { return o.Conn, nil }
func (singleConnListener) Close() error                { return nil }
func (singleConnListener) Addr() net.Addr              { return nil }

// Replays rolls of all instances of Laulukaar at 1.4 times its load (seed 4): a
// busy process had read a request, closed its connection for being unused
// before the read returned, and dropped the request.
func TestRequestReadWhileClosingIsReturned(t *testing.T) {
	for name, isNew := range map[string]bool{"Unused": false, "Fresh": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := closer.New()
				slow := &delayedReadConn{data: make(chan string)}
				nc, err := c.Listener(singleConnListener{slow}).Accept()
				if err != nil {
					t.Fatal(err)
				}
				if !isNew {
					c.ConnState(nc, http.StateActive)
					c.ConnState(nc, http.StateIdle)
				}
				type result struct {
					text string
					err  error
				}
				read := make(chan result)
				go func() {
					b := make([]byte, 16)
					n, err := nc.Read(b)
					read <- result{string(b[:n]), err}
				}()
				time.Sleep(time.Second)
				c.CloseIdle(isNew)
				slow.data <- "GET / HTTP/1.1"
				if got := <-read; got.text != "GET / HTTP/1.1" || got.err != nil {
					t.Errorf("read %q, %v; want the request", got.text, got.err)
				}
			})
		})
	}
}
