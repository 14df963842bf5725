package receiver_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// doFunc implements requester.Doer with a function.
type doFunc func(context.Context, requester.Command, requester.Sink) (requester.Reply, error)

func (f doFunc) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	return f(ctx, command, sink)
}

func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func version() *compiler.Version {
	return &compiler.Version{
		Businesses: map[string]*compiler.Business{
			"laulukaar": {Name: "laulukaar", KeyHashes: []string{sha256Hex("old"), sha256Hex("key")}},
			"binfold":   {Name: "binfold", KeyHashes: []string{sha256Hex("other"), sha256Hex("shared")}},
			"third":     {Name: "third", KeyHashes: []string{sha256Hex("shared")}},
		},
		Services: map[string]*compiler.Service{
			"fees":    {Name: "fees", Business: "laulukaar"},
			"lookup":  {Name: "lookup", Repeatable: true},
			"dockets": {Name: "dockets", Business: "binfold"},
		},
	}
}

// replyToAll replies to every command with a reply of the matching type.
func replyToAll(_ context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	switch {
	case command.Open != nil:
		return requester.Reply{Open: &requester.OpenReply{Program: command.Open.Program, Budget: 9, Chain: "c0"}}, nil
	case command.Turn != nil:
		reply := &requester.TurnReply{Program: command.Turn.Program, Number: 1, Text: "a b"}
		if sink == nil {
			return requester.Reply{Turn: reply}, nil
		}
		for i, word := range []string{"a ", "b"} {
			if err := sink.Chunk(generator.Chunk{Request: "r", Offset: i, Text: word, Tokens: 1}); err != nil {
				return requester.Reply{}, err
			}
		}
		return requester.Reply{Turn: reply}, nil
	case command.Call != nil:
		return requester.Reply{Call: &requester.CallReply{
			Key: command.Call.Key, Status: http.StatusAccepted, ContentType: "text/plain", Body: []byte("ok"), Replayed: true,
		}}, nil
	case command.End != nil:
		return requester.Reply{End: &requester.EndReply{Program: command.End.Program, Reason: command.End.Reason}}, nil
	case command.History != nil:
		return requester.Reply{History: &requester.HistoryPage{Program: command.History.Program}}, nil
	case command.Outcome != nil:
		return requester.Reply{Outcome: &requester.OutcomeView{Key: command.Outcome.Key, State: "Absent"}}, nil
	case command.Explain != nil:
		return requester.Reply{Explain: &requester.Explanation{Program: command.Explain.Program}}, nil
	}
	return requester.Reply{}, nil
}

func newReceiver(do doFunc, options ...receiver.Option) *receiver.Receiver {
	return receiver.New(do, version, options...)
}

// testRequest describes an HTTP request with a valid key and JSON content type.
type testRequest struct {
	method string
	path   string
	body   string
	header map[string]string
}

func (r testRequest) request() *http.Request {
	request := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Content-Type", "application/json")
	for name, value := range r.header {
		request.Header.Set(name, value)
	}
	return request
}

func perform(r *receiver.Receiver, request testRequest) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, request.request())
	return recorder
}

func decodeError(t *testing.T, body []byte) receiver.ErrorResponse {
	t.Helper()
	var response receiver.ErrorResponse
	if err := json.Unmarshal(body, &response); err != nil {
		t.Errorf("body %q: %v", body, err)
	}
	return response
}

// pipeListener is a net.Listener of in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// client is the caller's end of a connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// testServer is a running receiver that serves in-memory connections.
type testServer struct {
	listener *pipeListener
	stop     context.CancelFunc
	stopped  chan error
}

func serve(t *testing.T, r *receiver.Receiver) *testServer {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &testServer{listener: newPipeListener(), stop: cancel, stopped: make(chan error, 1)}
	go func() { s.stopped <- r.Serve(ctx, s.listener) }()
	return s
}

// serveInBubble runs the test in a synctest bubble with one open connection, and
// stops the receiver afterwards.
func serveInBubble(t *testing.T, do doFunc, test func(t *testing.T, s *testServer, c *client), options ...receiver.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := serve(t, newReceiver(do, options...))
		c := s.dial()
		test(t, s, c)
		_ = c.Close()
		s.stop()
		if err := <-s.stopped; err != nil {
			t.Error(err)
		}
	})
}

func (s *testServer) dial() *client {
	clientConn, serverConn := net.Pipe()
	s.listener.conns <- serverConn
	return &client{Conn: clientConn, reader: bufio.NewReader(clientConn)}
}

// send writes the text in a goroutine, because the server may stop reading.
func (c *client) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }()
}

// receive reads a response and returns its status and body.
func (c *client) receive(t *testing.T) (int, []byte) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return response.StatusCode, body
}

const turnHeader = "POST /v1/programs/p1/turns HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Type: application/json\r\n"

// turnRequest returns a complete request that runs a turn.
func turnRequest(body string) string {
	return turnHeader + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// get returns the status of the handler's response to a GET request.
func get(handler http.Handler) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	return recorder.Code
}

// refusalCount returns the value of the refusals metric for the kind and execution status.
func refusalCount(t *testing.T, m *meter.Meter, row answerer.Response) float64 {
	t.Helper()
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "wigeonstand_refusals_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := metric.GetLabel()
			if labels[0].GetValue() == string(row.Kind) && labels[1].GetValue() == string(row.Ran) {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}
