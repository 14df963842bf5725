package faker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that can be made silent. A silent connection
// stays open, but discards the data in both directions; connections accepted
// afterwards are not affected. A Listener is safe for concurrent use.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*connection]struct{}
}

// NewListener returns a Listener that wraps l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, open: map[*connection]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Silence permanently silences the open connections, except the one that
// WithConnection stored in the context, and returns how many it silenced.
// Connections that were silent before are not counted.
func (l *Listener) Silence(ctx context.Context) int {
	current, _ := ctx.Value(connectionKey{}).(*connection)
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		if c != current && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

func (l *Listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connection is a connection that can be made silent.
type connection struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read implements net.Conn. On a silent connection it discards the data received.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return 0, err
		}
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write implements net.Conn. On a silent connection it discards the data and
// reports it as written.
func (c *connection) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

type connectionKey struct{}

// WithConnection stores the connection in the context, so that Silence can
// exclude it. It is used as ConnContext of an http.Server.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// Silenced is the response body of POST /silence.
type Silenced struct{ Connections int }

// WithSilence returns a handler that adds POST /silence to next. That request
// silences all other open connections of the listener.
func (l *Listener) WithSilence(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, r *http.Request) {
		WriteJSON(w, http.StatusOK, Silenced{Connections: l.Silence(r.Context())})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silence" {
			mux.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}
