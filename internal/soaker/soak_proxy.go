package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is what a link does to its connections.
type linkFault int

const (
	linkFine linkFault = iota
	// linkSlow delays each piece of data.
	linkSlow
	// linkSilent drops data both ways without closing anything.
	linkSilent
	// linkOneWay drops data towards the target only.
	linkOneWay
	linkFaults
)

const (
	slowDelay = 60 * time.Millisecond
	pieceSize = 16 << 10
)

// link is a loopback proxy before one target.
type link struct {
	listener net.Listener
	// subject is the instance or endpoint that a fault of the link disturbs.
	subject string

	mu     sync.Mutex
	target string
	fault  linkFault
	// epoch rises when connections that are open go silent for good.
	epoch int
	conns map[net.Conn]bool
}

func newLink(ctx context.Context, listen, target, subject string) (*link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, subject: subject, conns: map[net.Conn]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // The link ends with its context.
		l.reset()
	})
	go l.accept()
	return l, nil
}

func (l *link) address() netip.AddrPort { return netip.MustParseAddrPort(l.listener.Addr().String()) }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *link) connect(near net.Conn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = near.Close() // The target is down; its caller sees that.
		return
	}
	l.mu.Lock()
	l.conns[near], l.conns[far] = true, true
	epoch := l.epoch
	l.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Go(func() { l.pipe(far, near, epoch, true) })
	pipes.Go(func() { l.pipe(near, far, epoch, false) })
	pipes.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
}

func (l *link) pipe(to, from net.Conn, epoch int, outward bool) {
	buffer := make([]byte, pieceSize)
	hasDropped := false
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		fault, silenced := l.fault, epoch != l.epoch
		l.mu.Unlock()
		// TCP delivers nothing behind a gap, so that what follows dropped bytes is dropped, too.
		drop := hasDropped || silenced || fault == linkSilent || (fault == linkOneWay && outward)
		hasDropped = hasDropped || drop && n > 0
		if n > 0 && !drop {
			if fault == linkSlow {
				time.Sleep(slowDelay)
			}
			if _, failure := to.Write(buffer[:n]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			if !drop {
				// Either end's close is the other's, and so is a reset: an orderly close would
				// end a response that has no length.
				if tcp, ok := to.(*net.TCPConn); ok && !errors.Is(err, io.EOF) {
					_ = tcp.SetLinger(0)
				}
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}

func (l *link) set(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// silence makes the open connections silent for good; new ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
}

// moveTo resets the open connections and connects later ones to the target.
func (l *link) moveTo(target string) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
	l.reset()
}

// reset closes the open connections with a reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Without it the close is not a reset, which is a fault too.
		}
		_ = c.Close()
	}
}
