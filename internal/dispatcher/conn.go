package dispatcher

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// trackedConn counts writes and can refuse further ones. The connection of a failed
// request is blocked, so that a request which was not written stays so.
type trackedConn struct {
	net.Conn
	mutex   sync.Mutex
	writes  int
	blocked bool
}

// Write implements net.Conn. A write is counted before it starts, since any part
// of it may reach the peer.
func (c *trackedConn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errWritesBlocked
	}
	return c.Conn.Write(b)
}

// beginWrite counts a write, or returns false if writes are blocked.
func (c *trackedConn) beginWrite() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.blocked {
		return false
	}
	c.writes++
	return true
}

func (c *trackedConn) writeCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// blockWrites refuses further writes and reports whether there were more writes
// than count.
func (c *trackedConn) blockWrites(count int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.blocked = true
	return c.writes > count
}

// sendTrace records whether a request was written to a connection.
type sendTrace struct {
	mutex sync.Mutex
	conn  *trackedConn
	// writesBefore is the write count of conn before the request.
	writesBefore int
	reused       bool
	// untracked is set if the request got a connection that is not a trackedConn.
	untracked bool
	// written is set once the request is known to have been written to a connection.
	written bool
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn records the connection before the request is written to it. If
// net/http moved the request from another connection, that one is blocked first.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.finishConn()
	t.reused = info.Reused
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.untracked = true
		return
	}
	t.conn = conn
	t.writesBefore = conn.writeCount()
}

// finishConn blocks the current connection and records whether the request was
// written to it.
func (t *sendTrace) finishConn() {
	if t.conn != nil && t.conn.blockWrites(t.writesBefore) {
		t.written = true
	}
	t.conn = nil
}

// responseStarted records that the request was sent. A later failure does not
// block the connection, since it may serve other requests from now on.
func (t *sendTrace) responseStarted() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.written = true
	t.conn = nil
}

// stopSending blocks the connection of a failed request and reports whether a byte
// of the request can have reached the endpoint. If not, none will later.
func (t *sendTrace) stopSending() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.finishConn()
	return t.written || t.untracked
}
