package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy on loopback before one target. It can make the connections that are open go
// silent for good, while new ones work.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	epoch int
	open  int
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(near)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// silence makes the open connections silent for good. It returns their number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
	n := l.open
	return n
}

func (l *link) connect(near net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	l.mu.Lock()
	epoch := l.epoch
	l.open++
	l.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Go(func() { l.pipe(far, near, epoch) })
	pipes.Go(func() { l.pipe(near, far, epoch) })
	pipes.Wait()
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
}

// pipe copies until an end closes. Once the connection is silent it drops what it reads, and an
// end that closes is not told to the other one.
func (l *link) pipe(to, from net.Conn, epoch int) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		isSilent := epoch != l.epoch
		l.mu.Unlock()
		if n > 0 && !isSilent {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			if !isSilent {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}
