package assembler_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/faker"
)

// memoryNetwork is a network in memory that loses connections between hosts.
type memoryNetwork struct {
	mu         sync.Mutex
	listeners  map[string]*faker.PipeListener
	hosts      map[string]string
	partitions map[[2]string]bool
	conns      map[*hostConn]bool
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners: map[string]*faker.PipeListener{}, hosts: map[string]string{},
		partitions: map[[2]string]bool{}, conns: map[*hostConn]bool{},
	}
}

// host is one end of the fabric; it implements assembler.Network.
type host struct {
	network *memoryNetwork
	name    string
}

func (h host) Listen(address netip.AddrPort) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := faker.NewPipeListener()
	n.listeners[address.String()] = listener
	n.hosts[address.String()] = h.name
	return listener, nil
}

func (h host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	listener, target := n.listeners[address], n.hosts[address]
	partitioned := n.partitions[hostPair(h.name, target)]
	n.mu.Unlock()
	if partitioned {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if listener == nil {
		return nil, net.ErrClosed
	}
	conn, err := listener.Dial(ctx)
	if err != nil {
		return nil, err
	}
	c := &hostConn{Conn: conn, network: n, ends: hostPair(h.name, target)}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	return c, nil
}

// connectTimeout is when a connection's opening fails without an answer.
const connectTimeout = 3 * time.Second

func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// partition makes the two hosts silent to each other, open connections included.
func (n *memoryNetwork) partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[hostPair(a, b)] = true
	for c := range n.conns {
		if c.ends == hostPair(a, b) {
			c.dropData()
		}
	}
}

func (n *memoryNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = map[[2]string]bool{}
}

// dropDataOnOpenConns makes every open connection silent for good; new ones work.
func (n *memoryNetwork) dropDataOnOpenConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.dropData()
	}
}

// removeHost takes a host off the network: its connections break and its listeners close.
func (n *memoryNetwork) removeHost(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, hostName := range n.hosts {
		if hostName == name {
			_ = n.listeners[address].Close()
			delete(n.listeners, address)
			delete(n.hosts, address)
		}
	}
	for c := range n.conns {
		if c.ends[0] == name || c.ends[1] == name {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

// close breaks every connection.
func (n *memoryNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.Conn.Close()
	}
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// hostConn is the dialling end of a connection.
type hostConn struct {
	net.Conn
	network *memoryNetwork
	ends    [2]string

	mu       sync.Mutex
	dropping bool
}

func (c *hostConn) dropData() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropping = true
}

func (c *hostConn) dropsData() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping
}

// Write drops what is written to a silent connection, as a full path would
// until the sender's own bound.
func (c *hostConn) Write(p []byte) (int, error) {
	if c.dropsData() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read drops what arrives on a silent connection.
func (c *hostConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.dropsData() {
			return n, err
		}
	}
}

// Close leaves the far end of a silent connection waiting, as a lost FIN does,
// but for a while only, so that a test ends.
func (c *hostConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if !c.dropsData() {
		return c.Conn.Close()
	}
	_ = c.SetDeadline(time.Now())
	time.AfterFunc(lostFINDelay, func() { _ = c.Conn.Close() })
	return nil
}

// lostFINDelay is when the far end learns of the close of a silent connection.
const lostFINDelay = time.Minute
