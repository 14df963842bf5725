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
	mu      sync.Mutex
	conns   map[*conn]bool
	closing bool
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
		cn.setUse(used)
	case http.StateIdle:
		cn.setUse(unused)
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
		closing := c.closing
		c.mu.Unlock()
		if closing {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// settled is how long a connection must have been unused to be closed. The
// server may have read the first byte of the next request before it calls the
// connection idle; it then goes on with that request at once. The peer of an
// answer that did not announce the close may send its next request as well.
const settled = 100 * time.Millisecond

// CloseIdle closes the connections that have waited for a further request for
// some time, and also those that never had one if fresh is true. From now on
// each answer announces the close of its connection.
func (c *Closer) CloseIdle(fresh bool) {
	c.mu.Lock()
	c.closing = true
	conns := make([]*conn, 0, len(c.conns))
	for cn := range c.conns {
		conns = append(conns, cn)
	}
	c.mu.Unlock()
	for _, cn := range conns {
		cn.closeUnused(fresh)
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
	cn := &conn{Conn: nc, use: fresh}
	l.closer.mu.Lock()
	l.closer.conns[cn] = true
	l.closer.mu.Unlock()
	return cn, nil
}

// use is what a connection is used for.
type use int

const (
	// fresh connections never had a byte of a request.
	fresh use = iota
	// unused connections wait for a further request.
	unused
	// used connections carry a request.
	used
	// closing connections are closed by the server once their read has ended,
	// unless that read still brings a request.
	closing
)

type conn struct {
	net.Conn

	mu    sync.Mutex
	use   use
	since time.Time
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	wasClosing := c.use == closing
	if n > 0 {
		// A read that was about to return as the connection was told to close
		// brings a request, which is served like any other.
		c.use = used
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

func (c *conn) setUse(u use) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != closing {
		c.use, c.since = u, time.Now()
	}
}

func (c *conn) closeUnused(andFresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isSettled := c.use == unused && time.Since(c.since) >= settled
	if isSettled || (andFresh && c.use == fresh) {
		c.use = closing
		// The read that waits ends, and the server closes the connection. A
		// connection without deadlines is closed by its peer or the process's end.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
