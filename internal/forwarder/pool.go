package forwarder

import (
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// idlePerAddress bounds the unused connections to one instance.
const idlePerAddress = 32

// conn is one connection to another instance; it carries one call at a time.
type conn struct {
	*drpcconn.Conn
	address string
	idle    time.Time
}

func newConn(transport net.Conn, address string, messageBytes int) *conn {
	options := drpcconn.Options{Manager: managerOptions(messageBytes)}
	return &conn{Conn: drpcconn.NewWithOptions(transport, options), address: address}
}

func managerOptions(messageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: messageBytes},
		SoftCancel: true,
	}
}

// discard closes the connection for good.
func (c *conn) discard() {
	// The transport goes first: a write that is stuck in it ends.
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

// pool keeps unused connections for a short time, the newest used first.
type pool struct {
	idleLimit time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func newPool(idleLimit time.Duration) *pool {
	return &pool{idleLimit: idleLimit, idle: map[string][]*conn{}}
}

// take returns an unused connection to the address, or nil.
func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(address)
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return last
}

// put gives a connection back.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(c.address)
	if p.closed || c.closed() || len(p.idle[c.address]) >= idlePerAddress {
		go c.discard()
		return
	}
	c.idle = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// expire drops connections to the address that are closed or unused for too long.
func (p *pool) expire(address string) {
	kept := p.idle[address][:0]
	for _, c := range p.idle[address] {
		if c.closed() || time.Since(c.idle) > p.idleLimit {
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

// drop closes the unused connections to the address: when one has failed, the
// others may have gone silent with it.
func (p *pool) drop(address string) {
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
