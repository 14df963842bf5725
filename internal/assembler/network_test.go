package assembler_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/faker"
)

// memoryNetwork is an in-memory network of named hosts with partitions and connections
// that drop data.
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

// host implements assembler.Network for one host of the network.
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

// connectTimeout bounds a dial across a partition.
const connectTimeout = 3 * time.Second

func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// partition drops all data between two hosts, on open connections too, and blocks dials.
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

// dropDataOnOpenConns makes every open connection drop data for good; new ones work.
func (n *memoryNetwork) dropDataOnOpenConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.dropData()
	}
}

// removeHost closes the connections and listeners of a host.
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

// close closes all connections and listeners.
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

// hostConn is the dialling end of a connection between two hosts.
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

// Write reports success for data that it drops, as a socket does while the path is
// broken and the sender has not timed out.
func (c *hostConn) Write(p []byte) (int, error) {
	if c.dropsData() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read discards received data while the connection drops data.
func (c *hostConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.dropsData() {
			return n, err
		}
	}
}

// Close does not close the far end of a connection that drops data, as with a lost FIN,
// until lostFINDelay has passed, so that a test ends.
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

// lostFINDelay is the delay after which the far end of a connection that drops data is closed.
const lostFINDelay = time.Minute
