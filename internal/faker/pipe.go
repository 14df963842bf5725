package faker

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// PipeListener is an in-memory listener, for servers inside a testing/synctest
// bubble.
type PipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// NewPipeListener returns an open PipeListener.
func NewPipeListener() *PipeListener {
	return &PipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

// Transport returns an HTTP transport that connects to the listener, whatever the
// address.
func (l *PipeListener) Transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return l.Dial(ctx) },
	}
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }

func (pipeAddr) String() string { return "pipe" }
