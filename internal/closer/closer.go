// Package closer closes the idle connections of an HTTP server during a graceful
// stop. http.Server may close a connection as idle right after it has read a
// request from it; the request then runs and its response is lost. A Closer ends
// the pending read instead, and the server closes the connection only if that
// read returned no bytes.
package closer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer tracks the connections of one server. It is safe for concurrent use.
type Closer struct {
	mu        sync.Mutex
	conns     map[*conn]bool
	isClosing bool
}

// New returns a Closer.
func New() *Closer { return &Closer{conns: map[*conn]bool{}} }

// Listener returns a listener whose connections the Closer tracks.
func (c *Closer) Listener(l net.Listener) net.Listener { return listener{Listener: l, closer: c} }

// ConnState must be set as the ConnState hook of the server.
func (c *Closer) ConnState(nc net.Conn, state http.ConnState) {
	cn, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cn.setState(stateActive)
	case http.StateIdle:
		cn.setState(stateIdle)
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.conns, cn)
		c.mu.Unlock()
	case http.StateNew:
	}
}

// Handler adds the header "Connection: close" to each response that starts after
// the first call of CloseIdle.
func (c *Closer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		closing := c.isClosing
		c.mu.Unlock()
		if closing {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// minIdle is how long a connection must have been idle before it is closed. The
// server may have read the first byte of the next request before it reports the
// connection as idle, and then serves that request at once. A client whose last
// response did not announce the close may also be sending its next request.
const minIdle = 100 * time.Millisecond

// minNew is how long a connection without a byte of a request is kept: a client sends its first
// request as soon as the connection is open.
const minNew = 500 * time.Millisecond

// CloseIdle closes the connections that have been idle for at least minIdle and,
// if includeNew is set, those that have carried no byte of a request for minNew. After the
// first call each response announces that its connection closes.
func (c *Closer) CloseIdle(includeNew bool) {
	c.mu.Lock()
	c.isClosing = true
	conns := make([]*conn, 0, len(c.conns))
	for cn := range c.conns {
		conns = append(conns, cn)
	}
	c.mu.Unlock()
	for _, cn := range conns {
		cn.closeIdle(includeNew)
	}
}

// drainInterval is the time between two passes of Drain over the connections.
const drainInterval = 50 * time.Millisecond

// Drain closes connections as they become idle, until none is left or ctx ends, and returns the
// number of those that are left. Unlike http.Server.Shutdown it keeps those on which a part of a
// request's head has been read: the request is served, or refused, once its head is complete. The
// listener must have been closed.
func (c *Closer) Drain(ctx context.Context) (left int) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		c.CloseIdle(true)
		if left = c.Count(); left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
}

// Count returns the number of open connections.
func (c *Closer) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext must be set as the ConnContext hook of the server.
func (c *Closer) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// ResetUntilComplete makes the connection of the request with the context end with a reset,
// even if the process is killed, until the returned function is called. A response that has
// neither chunks nor a length would otherwise look complete when it breaks off.
func ResetUntilComplete(ctx context.Context) (complete func()) {
	cn, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return func() {}
	}
	// If a connection has no such option, its end remains an orderly one.
	_ = cn.setLinger(0)
	return func() { _ = cn.setLinger(-1) }
}

type listener struct {
	net.Listener
	closer *Closer
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc, state: stateNew, stateSince: time.Now()}
	l.closer.mu.Lock()
	l.closer.conns[cn] = true
	l.closer.mu.Unlock()
	return cn, nil
}

// connState is the state of a connection.
type connState int

const (
	// stateNew: no byte of a request has been read.
	stateNew connState = iota
	// stateIdle: the connection waits for its next request.
	stateIdle
	// stateActive: the connection carries a request.
	stateActive
	// stateClosing: the server closes the connection when its pending read ends,
	// unless that read returns bytes of a request.
	stateClosing
)

type conn struct {
	net.Conn

	mu         sync.Mutex
	state      connState
	stateSince time.Time
	// hasIdleDeadline is true if the server has set a deadline in stateIdle.
	hasIdleDeadline bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	wasClosing := c.state == stateClosing
	if n > 0 {
		// A read that had bytes before the deadline was set returns a request,
		// which is served as usual.
		c.state = stateActive
		if wasClosing {
			return n, errors.Join(err, c.Conn.SetReadDeadline(time.Time{}))
		}
		return n, err
	}
	if wasClosing {
		return 0, io.EOF
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server sets a first deadline when a connection becomes
// idle, and a second one when it has bytes of the next request, which it may have read together
// with the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle {
		if c.hasIdleDeadline {
			c.state = stateActive
		}
		c.hasIdleDeadline = true
	}
	return c.Conn.SetReadDeadline(t)
}

// setLinger sets for how many seconds a close waits for unsent data; with zero it resets the
// connection, and with a negative value it does neither.
func (c *conn) setLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) setState(state connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateClosing {
		c.state, c.stateSince, c.hasIdleDeadline = state, time.Now(), false
	}
}

func (c *conn) closeIdle(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := c.state == stateIdle && time.Since(c.stateSince) >= minIdle
	isUnused := includeNew && c.state == stateNew && time.Since(c.stateSince) >= minNew
	// A deadline that the server set meanwhile would replace that of an earlier call.
	if isIdle || isUnused || c.state == stateClosing {
		c.state = stateClosing
		// The deadline ends the pending read, and the server closes the connection.
		// If it cannot be set, the client or the end of the process closes it.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}
