// Package starter waits at the start of a process for what may not be there yet, such as a settings
// file that is being replaced or an address that another process still uses.
package starter

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const (
	// DefaultPatience is how long a start waits for what is missing.
	DefaultPatience = 15 * time.Second
	// retryInterval is the time between two attempts, and reportInterval that between two lines
	// of the log with the same cause.
	retryInterval  = 100 * time.Millisecond
	reportInterval = 2 * time.Second
)

var eventDelayed = logger.Define(5130, "StartDelayed", log.WarnLevel,
	"something that the start needs is missing; it is tried again",
	"None if the start goes on within seconds; otherwise mend the cause.")

// Starter is safe for concurrent use.
type Starter struct {
	log      *logger.Logger
	patience time.Duration
}

// Option sets one property of a Starter.
type Option func(*Starter)

// WithPatience sets how long a start waits, DefaultPatience by default. Zero means without end.
func WithPatience(d time.Duration) Option { return func(s *Starter) { s.patience = d } }

// New returns a Starter that logs what delays a start.
func New(l *logger.Logger, options ...Option) *Starter {
	s := &Starter{log: l, patience: DefaultPatience}
	for _, option := range options {
		option(s)
	}
	return s
}

// Do calls attempt until it succeeds, and returns its last error if it has not within the patience or
// until ctx is done.
func (s *Starter) Do(ctx context.Context, what string, attempt func() error) error {
	start := time.Now()
	var lastText string
	var lastReport time.Time
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		waited := time.Since(start)
		if s.patience > 0 && waited >= s.patience {
			return eris.Wrapf(err, "%s, tried for %v", what, waited.Round(time.Millisecond))
		}
		if text := err.Error(); text != lastText || time.Since(lastReport) >= reportInterval {
			s.log.Log(eventDelayed, "What", what, "Since", waited, "Cause", err)
			lastText, lastReport = text, time.Now()
		}
		timer := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return eris.Wrapf(err, "%s, until the stop", what)
		case <-timer.C:
		}
	}
}

// Listen listens on the address as soon as it is free and present on the machine. The kernel keeps about
// receiveBuffer bytes that were not read for each connection; zero for its default.
func (s *Starter) Listen(ctx context.Context, address netip.AddrPort, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			// Accepted connections take the option of their listener. Without it, they have the default.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	var listener net.Listener
	err := s.Do(ctx, "listen on "+address.String(), func() (err error) {
		listener, err = config.Listen(ctx, "tcp", address.String())
		return err
	})
	return listener, err
}
