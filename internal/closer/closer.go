// Package closer owns the closing of an HTTP server's unused connections at a
// planned stop. The server's own way closes a connection that it takes for
// unused although the bytes of a request were just read from it; the request is
// then carried out and its answer lost. Here a connection is either closed or
// read from, never both: whichever comes first.
package closer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer keeps the connections of one server.
type Closer struct {
	mu        sync.Mutex
	conns     map[*conn]bool
	isClosing bool
}

// New returns a Closer.
func New() *Closer { return &Closer{conns: map[*conn]bool{}} }

// Listener returns a listener whose connections the Closer keeps.
func (c *Closer) Listener(l net.Listener) net.Listener { return listener{Listener: l, closer: c} }

// ConnState is for the server's ConnState.
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

// Handler adds to each answer, once CloseIdle was called, that the connection
// closes after it.
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

// minIdle is how long a connection must have been unused to be closed. The
// server may have read the first byte of the next request before it calls the
// connection idle; it then goes on with that request at once. The peer of an
// answer that did not announce the close may send its next request as well.
const minIdle = 100 * time.Millisecond

// CloseIdle closes the connections that have waited for a further request for
// some time, and also those that never had one if fresh is true. From now on
// each answer announces the close of its connection.
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
	cn := &conn{Conn: nc, state: stateNew}
	l.closer.mu.Lock()
	l.closer.conns[cn] = true
	l.closer.mu.Unlock()
	return cn, nil
}

// connState is what a connection is used for.
type connState int

const (
	// stateNew connections never had a byte of a request.
	stateNew connState = iota
	// stateIdle connections wait for a further request.
	stateIdle
	// stateActive connections carry a request.
	stateActive
	// stateClosing connections are closed by the server once their read has ended,
	// unless that read still brings a request.
	stateClosing
)

type conn struct {
	net.Conn

	mu         sync.Mutex
	state      connState
	stateSince time.Time
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	wasClosing := c.state == stateClosing
	if n > 0 {
		// A read that was about to return as the connection was told to close
		// brings a request, which is served like any other.
		c.state = stateActive
		if wasClosing {
			return n, errors.Join(err, c.SetReadDeadline(time.Time{}))
		}
		return n, err
	}
	if wasClosing {
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) setState(state connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateClosing {
		c.state, c.stateSince = state, time.Now()
	}
}

func (c *conn) closeIdle(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := c.state == stateIdle && time.Since(c.stateSince) >= minIdle
	if isIdle || (includeNew && c.state == stateNew) {
		c.state = stateClosing
		// The read that waits ends, and the server closes the connection. A
		// connection without deadlines is closed by its peer or the process's end.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
