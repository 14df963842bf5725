package dispatcher_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

var (
	docketService = &compiler.Service{Name: "docket", Timeout: time.Second}
	lodgeCall     = requester.Call{Service: "docket", Key: "k1", Method: http.MethodPost, Path: "/lodge?x=1", Body: []byte("{}")}
)

// closingService responds to the first request. It reads each later one in full
// and then closes the connection.
type closingService struct {
	listener   net.Listener
	executions atomic.Int64
	conns      atomic.Int64
	done       chan struct{}
}

func newClosingService(t *testing.T) *closingService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingService{listener: listener, done: make(chan struct{})}
	go s.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		<-s.done
	})
	return s
}

func (s *closingService) accept() {
	defer close(s.done)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.serve(conn)
	}
}

func (s *closingService) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if s.executions.Add(1) != 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *closingService) endpoint() *compiler.Endpoint {
	return &compiler.Endpoint{Name: "s1", Service: "docket", Address: netip.MustParseAddrPort(s.listener.Addr().String())}
}

func TestCallRunsOnceWhenServiceClosesConnection(t *testing.T) {
	for _, honours := range []bool{false, true} {
		service := *docketService
		service.HonoursKey = honours
		s := newClosingService(t)
		d := dispatcher.New()
		if _, err := d.Call(t.Context(), &service, s.endpoint(), lodgeCall); err != nil {
			t.Fatal(err)
		}
		_, err := d.Call(t.Context(), &service, s.endpoint(), lodgeCall)
		if diff := cmp.Diff(dispatcher.Unknown, dispatcher.ReasonOf(err)); diff != "" {
			t.Errorf("%v: %s", err, diff)
		}
		if diff := cmp.Diff([]int64{2, 2}, []int64{s.executions.Load(), s.conns.Load()}); diff != "" {
			t.Errorf("executions and connections of two calls: %s", diff)
		}
		d.Close()
	}
}

// TestHTTPClientResendsCallWithIdempotencyKey documents why Call sends the header
// only to services that honour it.
func TestHTTPClientResendsCallWithIdempotencyKey(t *testing.T) {
	s := newClosingService(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	post := func() error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.listener.Addr().String(), strings.NewReader("{}"))
		if err != nil {
			return err
		}
		request.Header.Set("Idempotency-Key", "k1")
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return err
	}
	if err := post(); err != nil {
		t.Fatal(err)
	}
	if err := post(); err == nil {
		t.Error("the last resend got a response")
	}
	if diff := cmp.Diff(int64(3), s.executions.Load()); diff != "" {
		t.Errorf("executions of two calls: %s", diff)
	}
}

func TestCallDistinguishesNotSentFromUnknown(t *testing.T) {
	succeed := func(http.ResponseWriter, *http.Request) {}
	tests := []struct {
		name     string
		handler  http.HandlerFunc
		dial     dispatcher.Dial
		canceled bool
		call     requester.Call
		want     dispatcher.Failure
	}{
		{"DialRefused", succeed, refuseDial, false, lodgeCall, dispatcher.Failure{Reason: dispatcher.NotSent}},
		{"ConnectTimeout", succeed, hangDial, false, lodgeCall, dispatcher.Failure{Reason: dispatcher.NotSent}},
		{"CanceledBefore", succeed, nil, true, lodgeCall, dispatcher.Failure{Reason: dispatcher.NotSent}},
		{"NoKey", succeed, nil, false, requester.Call{Method: "POST", Path: "/"}, dispatcher.Failure{Reason: dispatcher.NotSent}},
		{"BadPath", succeed, nil, false, requester.Call{Key: "k", Method: "POST", Path: "/%zz"}, dispatcher.Failure{Reason: dispatcher.NotSent}},
		{
			"ClosedAfterReading",
			func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				panic(http.ErrAbortHandler)
			},
			nil, false, lodgeCall,
			dispatcher.Failure{Reason: dispatcher.Unknown},
		},
		{
			"Silent",
			func(_ http.ResponseWriter, r *http.Request) { awaitDisconnect(r) },
			nil, false, lodgeCall,
			dispatcher.Failure{Reason: dispatcher.Silent},
		},
		{
			"ResponseTruncated",
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "10")
				_, _ = w.Write([]byte("half"))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
			nil, false, lodgeCall,
			dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200},
		},
		{
			"Leaving",
			refuseAsLeaving, nil, false, lodgeCall,
			dispatcher.Failure{Reason: dispatcher.Failed, Status: 503, Leaving: true, RetryAfter: 3 * time.Second},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var options []dispatcher.Option
				if test.dial != nil {
					options = append(options, dispatcher.WithDial(test.dial))
				}
				d := newDispatcher(t, test.handler, options...)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.canceled {
					cancel()
				}
				_, err := d.Call(ctx, docketService, engine, test.call)
				want := test.want
				want.Endpoint = engine.Name
				if diff := cmp.Diff(want, failureOf(err), ignoreCause); diff != "" {
					t.Errorf("%v: %s", err, diff)
				}
			})
		})
	}
}

func refuseDial(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }

func hangDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestNotSentMeansNoByteArrived closes the connection after each number of bytes
// up to 63. If no byte was read, the close may come before or after the client's
// first write, so both reasons are accepted.
func TestNotSentMeansNoByteArrived(t *testing.T) {
	for limit := range 64 {
		synctest.Test(t, func(t *testing.T) {
			arrived := 0
			dial := func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					arrived, _ = io.ReadFull(far, make([]byte, limit))
					_ = far.Close()
				}()
				return near, nil
			}
			d := dispatcher.New(dispatcher.WithDial(dial))
			_, err := d.Call(t.Context(), docketService, engine, lodgeCall)
			synctest.Wait()
			reason := dispatcher.ReasonOf(err)
			if reason != dispatcher.Unknown && (reason != dispatcher.NotSent || limit > 0) {
				t.Errorf("%d bytes arrived: %v", arrived, err)
			}
			if diff := cmp.Diff(limit, arrived); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCallSendsIdempotencyKeyToServicesThatHonourIt(t *testing.T) {
	for _, honours := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var got [3]string
			d := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
				got = [3]string{r.Header.Get("Wigeonstand-Key"), r.Header.Get("Idempotency-Key"), r.URL.RequestURI()}
				w.Header().Set("Content-Type", "text/plain")
				w.WriteHeader(http.StatusTeapot)
				_, _ = w.Write([]byte("no"))
			})
			service := *docketService
			service.HonoursKey = honours
			want := [3]string{"k1", "", "/lodge?x=1"}
			if honours {
				want[1] = "k1"
			}
			response, err := d.Call(t.Context(), &service, engine, lodgeCall)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
			wantResponse := dispatcher.Response{Status: http.StatusTeapot, ContentType: "text/plain", Body: []byte("no")}
			if diff := cmp.Diff(wantResponse, response); diff != "" {
				t.Error(diff)
			}
		})
	}
}
