package accepter

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const (
	// connectionBytes is the memory of a connection: its goroutines and buffers.
	connectionBytes = 24 << 10
	// minIdle is how long a connection without a request must have waited before it is closed for
	// another one: a client sends its request as soon as the connection is open.
	minIdle = 50 * time.Millisecond
	// minStall is the same for a connection with a part of a request.
	minStall = 500 * time.Millisecond
	// maxMessageRead limits one read of a message. The reader's buffer grows with it, and a connection that
	// was closed for others keeps its buffer until its goroutine has run.
	maxMessageRead = 16 << 10
	// maxEvictionTime limits the wait for the end of a connection that was closed for another one.
	maxEvictionTime = 200 * time.Millisecond
	// minGarbage is the memory of a message from which it counts until it is collected, after its
	// connection has ended. minCollection is the time between two collections that are waited for.
	minGarbage    = 64 << 10
	minCollection = 50 * time.Millisecond
	// reportInterval is the time between two lines of the log about closed connections.
	reportInterval = time.Second
)

// ErrEvicted is returned by the Read of a connection that was closed for others. It is a timeout, so that
// servers close the connection without a response.
var ErrEvicted error = evictedError{}

type evictedError struct{}

func (evictedError) Error() string   { return "closed, as its memory is needed for other connections" }
func (evictedError) Timeout() bool   { return true }
func (evictedError) Temporary() bool { return true }
func (evictedError) Unwrap() error   { return os.ErrDeadlineExceeded }

var eventEvicted = logger.Define(5141, "ConnectionsEvicted", log.WarnLevel,
	"connections were closed or not accepted, as the memory for connections is in use",
	"Check for clients that send incomplete requests; otherwise add instances or memory.")

// Cost returns the memory that a message takes which has not been read to its end: the head of a request,
// or a message of another instance.
type Cost func(size, lines int64) int64

// HeadCost is the Cost of the head of a request for net/http. Fields are kept in a map.
func HeadCost(size, lines int64) int64 {
	const (
		freeBytes = 4 << 10 // The buffer of the connection.
		perByte   = 3
		freeLines = 64
		perLine   = 256
	)
	return max(size-freeBytes, 0)*perByte + max(lines-freeLines, 0)*perLine
}

// MessageCost is the Cost of a message of another instance, whose buffer doubles while it grows.
func MessageCost(size, _ int64) int64 {
	const (
		freeBytes = 16 << 10
		perByte   = 2
	)
	return max(size-freeBytes, 0) * perByte
}

// Budget limits the memory that the connections of some listeners take. If it is in use, connections are
// closed in this order: those whose unread message takes most, if it takes more than the new demand;
// those that never had a request, and then those without one, that have waited longest; those whose head is incomplete for longest, or
// whose client has sent nothing of a body for longest.
// A Budget is safe for concurrent use.
type Budget struct {
	size int64
	log  *logger.Logger

	mu   sync.Mutex
	used int64
	// leaving is the part of used of the connections that were closed for others and have not ended,
	// garbage that of messages whose connections have ended and whose buffers may not be collected yet.
	leaving, garbage int64
	collector        collector
	collectedAt      time.Time
	isCollecting     bool
	// freed is closed, and replaced, when a connection has ended.
	freed      chan struct{}
	conns      map[*conn]struct{}
	evictions  int
	reportedAt time.Time
}

// Size returns the size of a Budget for a number of connections.
func Size(connections int64) int64 { return connections * connectionBytes }

// NewBudget returns a Budget of size bytes.
func NewBudget(size int64, l *logger.Logger) *Budget {
	return &Budget{size: size, log: l, freed: make(chan struct{}), conns: map[*conn]struct{}{}, collector: runtimeCollector{}}
}

// collector collects unreachable memory.
type collector interface {
	// collect returns after a collection.
	collect()
	// notify calls done after the memory that is unreachable now was collected.
	notify(done func())
}

// runtimeCollector is the collector of the Go runtime.
type runtimeCollector struct{}

func (runtimeCollector) collect() { runtime.GC() }

func (runtimeCollector) notify(done func()) {
	// Objects without pointers may share a block with others that stay.
	type marker struct{ _ *int }
	runtime.AddCleanup(new(marker), func(done func()) { done() }, done)
}

// lockedCollect starts a collection, unless one runs or has just ended.
func (b *Budget) lockedCollect() {
	if b.garbage == 0 || b.isCollecting || time.Since(b.collectedAt) < minCollection {
		return
	}
	b.isCollecting = true
	go func() {
		b.collector.collect()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.isCollecting, b.collectedAt = false, time.Now()
	}()
}

// lockedFree returns memory to the budget, and wakes the connections that wait for it.
func (b *Budget) lockedFree(bytes int64) {
	b.used -= bytes
	close(b.freed)
	b.freed = make(chan struct{})
}

// lockedDiscard counts the memory of a message as garbage until it is collected.
func (b *Budget) lockedDiscard(bytes int64) {
	b.garbage += bytes
	b.collector.notify(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.garbage -= bytes
		b.lockedFree(bytes)
	})
}

// Evictions returns the number of connections that were closed for others or not accepted.
func (b *Budget) Evictions() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictions
}

// candidate is a connection as the decision on evictions sees it.
type candidate struct {
	// waited is how long the connection has waited for its client, or for the end of a head; zero if it
	// does not wait.
	waited time.Duration
	// excess is what its unread message takes, and isIdle is true if there is none.
	excess int64
	isIdle bool
	// isUsed is true if a message was read from the connection before.
	isUsed bool
}

// chooseEviction returns the index of the candidate to close for a demand of memory, or -1 if there is
// none.
func chooseEviction(candidates []candidate, demand int64) int {
	best := -1
	rank := func(c candidate) (class int, amount int64) {
		switch {
		case c.excess > 0 && c.excess >= demand:
			return 4, c.excess
		case c.isIdle && !c.isUsed && c.waited >= minIdle:
			return 3, int64(c.waited)
		case c.isIdle && c.waited >= minIdle:
			return 2, int64(c.waited)
		case c.waited >= minStall:
			return 1, int64(c.waited)
		}
		return 0, 0
	}
	bestClass, bestAmount := 0, int64(0)
	for i, c := range candidates {
		class, amount := rank(c)
		if class > bestClass || class > 0 && class == bestClass && amount > bestAmount {
			best, bestClass, bestAmount = i, class, amount
		}
	}
	return best
}

// lockedReserve reserves the memory for the connection, for which others may be closed. It reports whether
// it has. It waits, without the mutex, until the connections that were closed have returned their memory. On
// a busy host that may take longer than maxEvictionTime: then there is none, as their buffers are still in use.
func (b *Budget) lockedReserve(c *conn, demand int64) bool {
	deadline := time.Now().Add(maxEvictionTime)
	for b.used+demand > b.size {
		if b.used-b.leaving-b.garbage+demand > b.size {
			other := b.lockedChoose(c, c.excess+demand)
			b.lockedCount()
			if other == nil {
				return false
			}
			other.lockedEvict()
			continue
		}
		left := time.Until(deadline)
		if left <= 0 {
			return false
		}
		b.lockedCollect()
		freed := b.freed
		b.mu.Unlock()
		timer := time.NewTimer(min(left, minCollection))
		select {
		case <-freed:
		case <-c.ended: // Others wait for its memory.
		case <-timer.C:
		}
		timer.Stop()
		b.mu.Lock()
		if c.isEvicted || c.hasClosed {
			return false
		}
	}
	b.used += demand
	return true
}

// lockedChoose returns the connection to close for a demand of another one; nil if there is none.
func (b *Budget) lockedChoose(c *conn, demand int64) *conn {
	now := time.Now()
	others := make([]*conn, 0, len(b.conns))
	candidates := make([]candidate, 0, len(b.conns))
	for other := range b.conns {
		if other != c && !other.isEvicted {
			others, candidates = append(others, other), append(candidates, other.lockedCandidate(now))
		}
	}
	if i := chooseEviction(candidates, demand); i >= 0 {
		return others[i]
	}
	return nil
}

func (c *conn) lockedCandidate(now time.Time) candidate {
	switch {
	case !c.isInMessage: // The request is at work, or its body is read.
		if c.waitingSince.IsZero() {
			return candidate{}
		}
		return candidate{waited: now.Sub(c.waitingSince)}
	case c.size == 0:
		if c.waitingSince.IsZero() {
			return candidate{isIdle: true, isUsed: c.isUsed}
		}
		return candidate{waited: now.Sub(c.waitingSince), isIdle: true, isUsed: c.isUsed}
	default:
		return candidate{waited: now.Sub(c.messageSince), excess: c.excess}
	}
}

func (b *Budget) lockedCount() {
	b.evictions++
	if now := time.Now(); now.Sub(b.reportedAt) >= reportInterval {
		b.reportedAt = now
		b.log.Log(eventEvicted, "Evictions", b.evictions, "Connections", len(b.conns), "Bytes", b.used, "Limit", b.size)
	}
}

// admit returns the connection with its part of the budget, or nil if there is none.
func (b *Budget) admit(nc net.Conn, cost Cost) *conn {
	c := &conn{Conn: nc, budget: b, cost: cost, isInMessage: true, waitingSince: time.Now(), ended: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lockedReserve(c, connectionBytes) {
		return nil
	}
	c.reserved = connectionBytes
	b.conns[c] = struct{}{}
	return c
}

// ConnState must be called by the ConnState hook of an http.Server.
func ConnState(nc net.Conn, state http.ConnState) {
	c := find(nc)
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	switch state {
	case http.StateActive:
		c.isInMessage = false
	case http.StateIdle:
		c.lockedReset()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// find returns the connection that nc wraps; nil if there is none.
func find(nc net.Conn) *conn {
	for {
		switch wrapped := nc.(type) {
		case *conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			nc = wrapped.NetConn()
		default:
			return nil
		}
	}
}

// conn is a connection with its part of a Budget, whose mutex guards it.
type conn struct {
	net.Conn
	budget *Budget
	cost   Cost

	// reserved is its part of the budget, excess what of it is for the message.
	reserved, excess int64
	// isInMessage is true until a whole message is read; size and lines are those of what was read.
	isInMessage bool
	size, lines int64
	// messageSince is when its first byte was read.
	messageSince time.Time
	// waitingSince is when the pending Read began; zero if there is none.
	waitingSince time.Time
	// isUsed is true once a whole message was read.
	isUsed    bool
	isEvicted bool
	hasClosed bool
	// ended is closed when the connection is evicted or closed.
	ended chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.budget.mu.Lock()
	if c.isEvicted {
		c.budget.mu.Unlock()
		return 0, ErrEvicted
	}
	if len(p) > 1 { // With one byte, net/http waits for the end of the connection while a request is at work.
		c.waitingSince = time.Now()
	}
	if c.isInMessage && len(p) > maxMessageRead {
		p = p[:maxMessageRead]
	}
	c.budget.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.waitingSince = time.Time{}
	wasIdle := c.isInMessage && c.size == 0
	switch {
	case c.isEvicted && n > 0 && wasIdle:
		// The request that has just arrived is served.
		c.isEvicted, c.ended = false, make(chan struct{})
		c.budget.leaving -= c.reserved
		err = errors.Join(err, c.Conn.SetReadDeadline(time.Time{}))
	case c.isEvicted:
		return 0, ErrEvicted
	}
	if n == 0 || !c.isInMessage || c.hasClosed {
		return n, err
	}
	if c.size == 0 {
		c.messageSince = time.Now()
	}
	c.size += int64(n)
	c.lines += int64(bytes.Count(p[:n], []byte{'\n'}))
	if demand := c.cost(c.size, c.lines) - c.excess; demand > 0 {
		if !c.budget.lockedReserve(c, demand) {
			if !c.isEvicted && !c.hasClosed {
				c.lockedEvict()
			}
			return 0, ErrEvicted
		}
		c.reserved += demand
		c.excess += demand
	}
	return n, err
}

// lockedReset ends the message.
func (c *conn) lockedReset() {
	c.isInMessage, c.isUsed, c.size, c.lines = true, true, 0, 0
	if !c.isEvicted {
		c.budget.used -= c.excess
		c.reserved -= c.excess
		c.excess = 0
	}
}

// lockedEvict ends the pending Read, and with it the connection.
func (c *conn) lockedEvict() {
	c.isEvicted = true
	c.lockedEnd()
	c.budget.leaving += c.reserved
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // It fails on a closed connection only.
}

// lockedEnd ends the wait for memory.
func (c *conn) lockedEnd() {
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
}

// SetReadDeadline implements net.Conn. That of an evicted connection has passed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.isEvicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.budget.mu.Lock()
	if !c.hasClosed {
		c.hasClosed = true
		c.lockedEnd()
		if c.isEvicted {
			c.budget.leaving -= c.reserved
		}
		delete(c.budget.conns, c)
		if c.excess >= minGarbage {
			c.budget.lockedDiscard(c.excess)
			c.reserved -= c.excess
		}
		c.budget.lockedFree(c.reserved)
	}
	c.budget.mu.Unlock()
	return c.Conn.Close()
}

// MessageRead states that a whole message of another instance was read. Its buffer stays.
func (c *conn) MessageRead() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.isUsed, c.size, c.lines = true, 0, 0
}

// SetLinger does what net.TCPConn.SetLinger does.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }
