package connector_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/connector"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// fakePlatform serves HTTP on in-memory connections and records the requests.
type fakePlatform struct {
	mu       sync.Mutex
	requests []string
	bodies   []string
	respond  func(n int, w *response)
	dials    int
	refuse   bool
	conns    sync.WaitGroup
	open     []net.Conn
}

// response is a response of the fake platform. With hang set, nothing is sent; with
// close set, the connection is closed instead.
type response struct {
	status int
	body   any
	hang   bool
	close  bool
	delay  time.Duration
}

func (p *fakePlatform) dial(context.Context, string, string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if p.refuse {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	clientConn, serverConn := net.Pipe()
	p.open = append(p.open, serverConn)
	p.conns.Go(func() { p.serve(serverConn) })
	return clientConn, nil
}

func (p *fakePlatform) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // A close error does not affect the test.
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.requests = append(p.requests, request.Method+" "+request.URL.RequestURI())
		p.bodies = append(p.bodies, string(body))
		r := &response{status: http.StatusOK, body: struct{}{}}
		if p.respond != nil {
			p.respond(len(p.requests), r)
		}
		p.mu.Unlock()
		if r.close {
			return
		}
		if r.hang {
			_, _ = io.Copy(io.Discard, in)
			return
		}
		time.Sleep(r.delay)
		text, _ := json.Marshal(r.body)
		answer := http.Response{
			StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1,
			ContentLength: int64(len(text)), Body: io.NopCloser(bytesReader(text)),
		}
		if answer.Write(conn) != nil {
			return
		}
	}
}

func (p *fakePlatform) sent() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

func (p *fakePlatform) sentBodies() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.bodies)
}

func bytesReader(text []byte) io.Reader {
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(text)
		_ = writer.Close()
	}()
	return reader
}

func runTest(t *testing.T, respond func(n int, r *response), test func(t *testing.T, p *fakePlatform, c *connector.Connector), options ...connector.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{respond: respond}
		c := connector.New("http://platform", append([]connector.Option{connector.WithDial(p.dial)}, options...)...)
		test(t, p, c)
		c.Close()
		p.mu.Lock()
		for _, conn := range p.open {
			_ = conn.Close()
		}
		p.mu.Unlock()
		p.conns.Wait()
	})
}

var commit = storer.Commit{ID: "1", Writes: []storer.Write{{Key: "k", Value: []byte("v")}}}

func TestErrorClassesOfAWrite(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer response
		want   error
		sent   int
	}{
		{"OK", response{status: 200, body: storer.Result{}}, nil, 1},
		{"Conflict", response{status: 409}, storer.ErrConflict, 1},
		{"TooMany", response{status: 429}, storer.ErrUnavailable, 1},
		{"Outage", response{status: 503}, storer.ErrUnavailable, 1},
		{"Failed", response{status: 500}, storer.ErrInDoubt, 1},
		{"Gateway", response{status: 504}, storer.ErrInDoubt, 1},
		{"Redirect", response{status: 307}, storer.ErrInDoubt, 1},
		{"Malformed", response{status: 200, body: "not a result"}, storer.ErrInDoubt, 1},
		{"Closed", response{close: true}, storer.ErrInDoubt, 1},
		{"Silent", response{hang: true}, storer.ErrInDoubt, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := func(_ int, r *response) { *r = test.answer }
			runTest(t, answer, func(t *testing.T, p *fakePlatform, c *connector.Connector) {
				_, err := c.Commit(t.Context(), commit)
				if !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if diff := cmp.Diff(test.sent, len(p.sent())); diff != "" {
					t.Error("requests: " + diff)
				}
			})
		})
	}
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	runTest(t, nil, func(t *testing.T, p *fakePlatform, c *connector.Connector) {
		p.refuse = true
		if _, err := c.Commit(t.Context(), commit); !errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrInDoubt) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
	})
}

// TestWriteOnAReusedConnectionIsSentOnce guards against writes that net/http repeats:
// if a reused connection closes without a response, http.Transport retries every
// request that it considers replayable.
func TestWriteOnAReusedConnectionIsSentOnce(t *testing.T) {
	answer := func(n int, r *response) {
		r.body = storer.Result{}
		r.close = n == 2
	}
	runTest(t, answer, func(t *testing.T, p *fakePlatform, c *connector.Connector) {
		for _, write := range []func() error{
			func() error { _, err := c.Commit(t.Context(), commit); return err },
			func() error { return c.Delete(t.Context(), "a/b") },
		} {
			p.mu.Lock()
			p.requests = nil
			p.mu.Unlock()
			if _, err := c.Commit(t.Context(), commit); err != nil {
				t.Fatal(err)
			}
			if err := write(); !errors.Is(err, storer.ErrInDoubt) {
				t.Errorf("got %v, want ErrInDoubt", err)
			}
			if diff := cmp.Diff(2, len(p.sent())); diff != "" {
				t.Error("requests: " + diff)
			}
		}
	})
}

func TestSlowReadIsHedged(t *testing.T) {
	answer := func(n int, r *response) {
		r.body = storer.ReadResponse{Rows: []storer.Row{{Key: "k", Version: 7}}}
		r.hang = n == 1
	}
	runTest(t, answer, func(t *testing.T, p *fakePlatform, c *connector.Connector) {
		started := time.Now()
		rows, err := c.Read(t.Context(), "k")
		if diff := cmp.Diff([]storer.Row{{Key: "k", Version: 7}}, rows); diff != "" || err != nil {
			t.Error(diff, err)
		}
		if diff := cmp.Diff(connector.DefaultHedgeDelay, time.Since(started)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(2, p.dials); diff != "" {
			t.Error("dials: " + diff)
		}
	})
}

func TestBreakerOpensAndProbes(t *testing.T) {
	outage := true
	answer := func(_ int, r *response) {
		if outage {
			r.status = http.StatusServiceUnavailable
		}
	}
	runTest(t, answer, func(t *testing.T, p *fakePlatform, c *connector.Connector) {
		for range 50 {
			_, err := c.Commit(t.Context(), commit)
			if !errors.Is(err, storer.ErrUnavailable) {
				t.Fatalf("got %v, want ErrUnavailable", err)
			}
		}
		if diff := cmp.Diff(5, len(p.sent())); diff != "" {
			t.Error("requests: " + diff)
		}
		p.mu.Lock()
		outage = false
		p.mu.Unlock()
		time.Sleep(time.Second)
		if _, err := c.Commit(t.Context(), commit); err != nil {
			t.Error(err)
		}
	}, connector.WithRates(1000, 1000))
}

func TestRateShareAndPriorities(t *testing.T) {
	runTest(t, nil, func(t *testing.T, p *fakePlatform, c *connector.Connector) {
		c.SetInstanceCount(12)
		started := time.Now()
		var calls sync.WaitGroup
		put := func(key string, priority storer.Priority) {
			calls.Go(func() {
				if err := c.Put(storer.WithPriority(t.Context(), priority), key, []byte(key)); err != nil {
					t.Error(err)
				}
			})
			synctest.Wait()
		}
		for range 4 {
			put("burst", storer.PriorityCommit)
		}
		for range 10 {
			put("sweep", storer.PrioritySweep)
		}
		for range 5 {
			put("lease", storer.PriorityLease)
		}
		calls.Wait()
		// The share is 10 writes per second, and the burst is 4: 15 of the 19 writes
		// wait for a token.
		elapsed := time.Since(started)
		if elapsed < 1400*time.Millisecond || elapsed > 1600*time.Millisecond {
			t.Errorf("19 writes took %v", elapsed)
		}
		want := []string{"burst", "burst", "burst", "burst", "lease", "lease", "lease", "lease", "lease", "sweep"}
		if diff := cmp.Diff(want, p.sentBodies()[:10]); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(125*time.Millisecond, c.WriteInterval()); diff != "" {
			t.Error(diff)
		}
	}, connector.WithRates(120, 1200))
}

func TestObjectKeysAreEscaped(t *testing.T) {
	runTest(t, nil, func(t *testing.T, p *fakePlatform, c *connector.Connector) {
		if err := c.Put(t.Context(), "journal/a b/1?", nil); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff([]string{"PUT /objects/journal/a%20b/1%3F"}, p.sent()); diff != "" {
			t.Error(diff)
		}
	})
}
