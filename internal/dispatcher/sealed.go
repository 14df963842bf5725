package dispatcher

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// sealedConn counts writes and can refuse all further ones, so that a request
// which failed is known to have been written or never to be.
type sealedConn struct {
	net.Conn
	mutex  sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn. A write counts before it is made.
func (c *sealedConn) Write(b []byte) (int, error) {
	if !c.admit() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

func (c *sealedConn) admit() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *sealedConn) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// seal refuses further writes and reports whether any was made since the count given.
func (c *sealedConn) seal(since int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.writes > since
}

// sendTrace follows one request from its connection to its bytes.
type sendTrace struct {
	mutex  sync.Mutex
	conn   *sealedConn
	since  int
	reused bool
	// unseen is set if the request got a connection that is not sealed.
	unseen bool
	// wrote is set once the request is known to have been written to a connection.
	wrote bool
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn notes the connection before anything is written to it. An earlier
// connection of the same request is settled first.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.settle()
	t.reused = info.Reused
	conn, ok := info.Conn.(*sealedConn)
	if !ok {
		t.unseen = true
		return
	}
	t.conn = conn
	t.since = conn.count()
}

// settle seals the current connection and remembers whether it was written to.
func (t *sendTrace) settle() {
	if t.conn != nil && t.conn.seal(t.since) {
		t.wrote = true
	}
	t.conn = nil
}

// answered notes that an answer began, so that the request was sent. The
// connection may serve other requests from then on and is not sealed.
func (t *sendTrace) answered() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wrote = true
	t.conn = nil
}

// sent ends the request: it reports whether a byte of it can have reached the
// endpoint, and makes sure that none will if not. Call it only for a failed request.
func (t *sendTrace) sent() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.settle()
	return t.wrote || t.unseen
}
