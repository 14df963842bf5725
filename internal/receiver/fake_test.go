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

// doFunc is a requester.Doer.
type doFunc func(context.Context, requester.Command, requester.Sink) (requester.Reply, error)

func (f doFunc) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	return f(ctx, command, sink)
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func version() *compiler.Version {
	return &compiler.Version{
		Businesses: map[string]*compiler.Business{
			"laulukaar": {Name: "laulukaar", KeyHashes: []string{hashOf("old"), hashOf("key")}},
			"binfold":   {Name: "binfold", KeyHashes: []string{hashOf("other"), hashOf("shared")}},
			"third":     {Name: "third", KeyHashes: []string{hashOf("shared")}},
		},
		Services: map[string]*compiler.Service{
			"fees":    {Name: "fees", Business: "laulukaar"},
			"lookup":  {Name: "lookup", Repeatable: true},
			"dockets": {Name: "dockets", Business: "binfold"},
		},
	}
}

// answerAll replies to every command with what belongs to it.
func answerAll(_ context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	switch {
	case command.Open != nil:
		return requester.Reply{Open: &requester.OpenReply{Program: command.Open.Program, Budget: 9, Chain: "c0"}}, nil
	case command.Turn != nil:
		turned := &requester.TurnReply{Program: command.Turn.Program, Number: 1, Text: "a b"}
		if sink == nil {
			return requester.Reply{Turn: turned}, nil
		}
		for i, word := range []string{"a ", "b"} {
			if err := sink.Chunk(generator.Chunk{Request: "r", Offset: i, Text: word, Tokens: 1}); err != nil {
				return requester.Reply{}, err
			}
		}
		return requester.Reply{Turn: turned}, nil
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

// ask is one request of a test.
type ask struct {
	method string
	path   string
	body   string
	header map[string]string
}

func (a ask) request() *http.Request {
	request := httptest.NewRequest(a.method, a.path, strings.NewReader(a.body))
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("Content-Type", "application/json")
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	return request
}

func record(r *receiver.Receiver, a ask) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, a.request())
	return recorder
}

func refusalOf(t *testing.T, body []byte) receiver.ErrorResponse {
	t.Helper()
	var refusal receiver.ErrorResponse
	if err := json.Unmarshal(body, &refusal); err != nil {
		t.Errorf("body %q: %v", body, err)
	}
	return refusal
}

// pipeListener hands out in-memory connections.
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

// client is one caller's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// serving is a receiver that serves in-memory connections.
type serving struct {
	listener *pipeListener
	stop     context.CancelFunc
	stopped  chan error
}

func serve(t *testing.T, r *receiver.Receiver) *serving {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &serving{listener: newPipeListener(), stop: cancel, stopped: make(chan error, 1)}
	go func() { s.stopped <- r.Serve(ctx, s.listener) }()
	return s
}

// inBubble serves one connection with the clock under the test's control, and
// ends the receiver after the test.
func inBubble(t *testing.T, do doFunc, test func(t *testing.T, s *serving, c *client), options ...receiver.Option) {
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

func (s *serving) dial() *client {
	near, far := net.Pipe()
	s.listener.conns <- far
	return &client{Conn: near, reader: bufio.NewReader(near)}
}

// send writes the text in the background, since the other side may stop reading.
func (c *client) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }()
}

// receive reads one answer and returns its status and body.
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

const turnHead = "POST /v1/programs/p1/turns HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Type: application/json\r\n"

// turn is a whole request for a turn.
func turn(body string) string {
	return turnHead + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// get returns the status that the handler answers a GET with.
func get(handler http.Handler) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	return recorder.Code
}

// refusals returns how many refusals of the row were counted.
func refusals(t *testing.T, m *meter.Meter, row answerer.Response) float64 {
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
