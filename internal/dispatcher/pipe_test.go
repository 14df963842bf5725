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

// pipeListener accepts in-memory connections.
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

// newDispatcher serves the handler over in-memory connections and returns a
// dispatcher that dials it.
func newDispatcher(t *testing.T, handler http.HandlerFunc, options ...dispatcher.Option) *dispatcher.Dispatcher {
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

// formatEvent returns the chunk as a server-sent event.
func formatEvent(chunk generator.Chunk) string {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("data: %s\n\n", data)
}

// formatStream returns the events of a complete stream from the offset on. Each
// word is one token.
func formatStream(id string, offset int, words ...string) string {
	text := ""
	for i := offset; i < len(words); i++ {
		text += formatEvent(generator.Chunk{Request: id, Offset: i, Text: words[i], Tokens: 1})
	}
	usage := generator.Usage{Prompt: 3, Generated: len(words) - offset}
	return text + formatEvent(generator.Chunk{Request: id, Offset: len(words), Done: true, Usage: &usage})
}

// writeStream writes the text as part of an event stream and flushes it.
func writeStream(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte(text))
	_ = http.NewResponseController(w).Flush()
}

// streamHandler responds with the text as an event stream.
func streamHandler(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeStream(w, text) }
}

// refuseAsLeaving responds like an endpoint that takes no new work.
func refuseAsLeaving(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dispatcher.LeavingHeader, "true")
	w.Header().Set("Retry-After", "3")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// awaitDisconnect reads the request body and returns when the client disconnects.
func awaitDisconnect(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

type sinkFunc func(generator.Chunk) error

func (f sinkFunc) Chunk(chunk generator.Chunk) error { return f(chunk) }

func decodeRequest(t *testing.T, r *http.Request) generator.GenerateRequest {
	t.Helper()
	var received generator.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&received); err != nil {
		t.Error(err)
	}
	return received
}

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
