package assembler_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/faker"
)

// fabric is a network in memory that loses connections between hosts.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*faker.PipeListener
	hosts     map[string]string
	cuts      map[[2]string]bool
	conns     map[*link]bool
}

func newFabric() *fabric {
	return &fabric{
		listeners: map[string]*faker.PipeListener{}, hosts: map[string]string{},
		cuts: map[[2]string]bool{}, conns: map[*link]bool{},
	}
}

// host is one end of the fabric; it implements assembler.Network.
type host struct {
	fabric *fabric
	name   string
}

func (h host) Listen(address netip.AddrPort) (net.Listener, error) {
	f := h.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	listener := faker.NewPipeListener()
	f.listeners[address.String()] = listener
	f.hosts[address.String()] = h.name
	return listener, nil
}

func (h host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	f := h.fabric
	f.mu.Lock()
	listener, target := f.listeners[address], f.hosts[address]
	cut := f.cuts[pair(h.name, target)]
	f.mu.Unlock()
	if cut {
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
	l := &link{Conn: conn, fabric: f, ends: pair(h.name, target)}
	f.mu.Lock()
	f.conns[l] = true
	f.mu.Unlock()
	return l, nil
}

// connectTimeout is when a connection's opening fails without an answer.
const connectTimeout = 3 * time.Second

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// cut makes the two hosts silent to each other, open connections included.
func (f *fabric) cut(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[pair(a, b)] = true
	for l := range f.conns {
		if l.ends == pair(a, b) {
			l.silence()
		}
	}
}

func (f *fabric) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = map[[2]string]bool{}
}

// silenceAll makes every open connection silent for good; new ones work.
func (f *fabric) silenceAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.conns {
		l.silence()
	}
}

// kill takes a host off the network: its connections break and its listeners close.
func (f *fabric) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, owner := range f.hosts {
		if owner == name {
			_ = f.listeners[address].Close()
			delete(f.listeners, address)
			delete(f.hosts, address)
		}
	}
	for l := range f.conns {
		if l.ends[0] == name || l.ends[1] == name {
			_ = l.Conn.Close()
			delete(f.conns, l)
		}
	}
}

// close breaks every connection.
func (f *fabric) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.conns {
		_ = l.Conn.Close()
	}
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
}

// link is the dialling end of a connection.
type link struct {
	net.Conn
	fabric *fabric
	ends   [2]string

	mu     sync.Mutex
	silent bool
}

func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// Write drops what is written to a silent connection, as a full path would
// until the sender's own bound.
func (l *link) Write(p []byte) (int, error) {
	if l.isSilent() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// Read drops what arrives on a silent connection.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.isSilent() {
			return n, err
		}
	}
}

// Close leaves the far end of a silent connection waiting, as a lost FIN does,
// but for a while only, so that a test ends.
func (l *link) Close() error {
	l.fabric.mu.Lock()
	delete(l.fabric.conns, l)
	l.fabric.mu.Unlock()
	if !l.isSilent() {
		return l.Conn.Close()
	}
	_ = l.SetDeadline(time.Now())
	time.AfterFunc(lostClose, func() { _ = l.Conn.Close() })
	return nil
}

// lostClose is when the far end learns of the close of a silent connection.
const lostClose = time.Minute
