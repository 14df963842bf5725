// Package accepter accepts connections for a server. An error of accept, such as a lack of descriptors
// or of kernel memory, concerns one connection and does not end the listener.
package accepter

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const (
	// minBackoff and maxBackoff bound the wait after a failed accept, which doubles while it fails.
	minBackoff = 5 * time.Millisecond
	maxBackoff = time.Second
)

var eventAcceptFailed = logger.Define(5140, "AcceptFailed", log.WarnLevel,
	"a connection could not be accepted; the listener goes on",
	"Raise the limit of descriptors if the cause names it.")

// Listener retries failed accepts until it is closed.
type Listener struct {
	net.Listener
	log *logger.Logger
	// budget is nil without a limit.
	budget *Budget
	cost   Cost

	closing sync.Once
	closed  chan struct{}
}

// Option sets one property of a Listener.
type Option func(*Listener)

// WithBudget limits the memory of the connections, whose messages have the cost.
func WithBudget(b *Budget, cost Cost) Option {
	return func(l *Listener) { l.budget, l.cost = b, cost }
}

// New returns a Listener that accepts from inner.
func New(inner net.Listener, l *logger.Logger, options ...Option) *Listener {
	listener := &Listener{Listener: inner, log: l, closed: make(chan struct{})}
	for _, option := range options {
		option(listener)
	}
	return listener
}

// Accept implements net.Listener. It fails only once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for backoff := minBackoff; ; {
		accepted, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err == nil && l.budget == nil:
			return accepted, nil
		case err == nil:
			if c := l.budget.admit(accepted, l.cost); c != nil {
				return c, nil
			}
			_ = accepted.Close() // Nothing was read from it.
			continue
		}
		l.log.Log(eventAcceptFailed, "Address", l.Addr(), "Cause", err)
		timer := time.NewTimer(backoff)
		select {
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
