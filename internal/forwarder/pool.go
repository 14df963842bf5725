package forwarder

import (
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// maxIdlePerAddress is the maximum number of idle connections to one instance.
const maxIdlePerAddress = 32

// conn is a connection to another instance; it serves one call at a time.
type conn struct {
	*drpcconn.Conn
	address   string
	idleSince time.Time
}

func newConn(transport net.Conn, address string, maxMessageBytes int) *conn {
	options := drpcconn.Options{Manager: managerOptions(maxMessageBytes)}
	return &conn{Conn: drpcconn.NewWithOptions(transport, options), address: address}
}

func managerOptions(maxMessageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}

// discard closes the connection without waiting for a blocked write.
func (c *conn) discard() {
	// Closing the transport first ends a write that is blocked in it.
	_ = c.Transport().Close()
	_ = c.Close()
}

func (c *conn) closed() bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// pool keeps idle connections for reuse; the most recently used one is reused first.
type pool struct {
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func newPool(idleTimeout time.Duration) *pool {
	return &pool{idleTimeout: idleTimeout, idle: map[string][]*conn{}}
}

// get removes an idle connection to the address from the pool and returns it, or
// returns nil if there is none.
func (p *pool) get(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(address)
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return last
}

// put returns a connection to the pool, or closes it if the pool is closed or full.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(c.address)
	if p.closed || c.closed() || len(p.idle[c.address]) >= maxIdlePerAddress {
		go c.discard()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// closeExpired removes the connections to the address that are closed or have been
// idle for longer than the timeout.
func (p *pool) closeExpired(address string) {
	kept := p.idle[address][:0]
	for _, c := range p.idle[address] {
		if c.closed() || time.Since(c.idleSince) > p.idleTimeout {
			go c.discard()
			continue
		}
		kept = append(kept, c)
	}
	if len(kept) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = kept
}

// closeIdle closes the idle connections to the address. It is used after a failure of
// one connection, because the others may be broken as well.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		go c.discard()
	}
	delete(p.idle, address)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conns := range p.idle {
		for _, c := range conns {
			c.discard()
		}
		delete(p.idle, address)
	}
}
