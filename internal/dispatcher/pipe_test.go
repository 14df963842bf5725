package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newEndpoint serves the handler over in-memory connections and returns a
// dispatcher that reaches it.
func newEndpoint(t *testing.T, handler http.HandlerFunc, options ...dispatcher.Option) *dispatcher.Dispatcher {
	t.Helper()
	listener := newPipeListener()
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	options = append([]dispatcher.Option{dispatcher.WithDial(listener.dial)}, options...)
	d := dispatcher.New(options...)
	t.Cleanup(func() {
		d.Close()
		_ = server.Close()
		<-done
	})
	return d
}

var (
	engine  = &compiler.Endpoint{Name: "e1", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	request = generator.GenerateRequest{Request: "r1", Program: "p1", MaxTokens: 8}
)

// event returns the chunk as a server-sent event.
func event(chunk generator.Chunk) string {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("data: %s\n\n", data)
}

// words returns the events of an answer that is made of the words, one token
// each, from the offset on.
func words(id string, offset int, all ...string) string {
	text := ""
	for i := offset; i < len(all); i++ {
		text += event(generator.Chunk{Request: id, Offset: i, Text: all[i], Tokens: 1})
	}
	usage := generator.Usage{Prompt: 3, Generated: len(all) - offset}
	return text + event(generator.Chunk{Request: id, Offset: len(all), Done: true, Usage: &usage})
}

// stream writes the text as a stream and flushes it.
func stream(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte(text))
	_ = http.NewResponseController(w).Flush()
}

// sends answers with the text as a stream.
func sends(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { stream(w, text) }
}

// leaves answers that the endpoint takes no new work.
func leaves(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dispatcher.LeavingHeader, "true")
	w.Header().Set("Retry-After", "3")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// silence waits until the client gives up.
func silence(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

type sinkFunc func(generator.Chunk) error

func (f sinkFunc) Chunk(chunk generator.Chunk) error { return f(chunk) }

func decodeRequest(t *testing.T, r *http.Request) generator.GenerateRequest {
	t.Helper()
	var asked generator.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		t.Error(err)
	}
	return asked
}

func quiet() *log.Logger { return log.New(io.Discard, "", 0) }
