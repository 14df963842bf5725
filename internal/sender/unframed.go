package sender

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"syscall"
	"time"
)

const (
	// exitTime is the time between the end of the connections of a process that is killed and that
	// of its listener, at most. checkTimeout limits the check whether it listens.
	exitTime     = 5 * time.Millisecond
	checkTimeout = 100 * time.Millisecond
)

// upload is the sending of a request.
type upload struct {
	// ended is closed when all has been sent or err is set.
	ended chan struct{}
	err   error
}

// isComplete reports whether all has been sent.
func (u *upload) isComplete() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// unframedBody reads a body that ends with its connection.
type unframedBody struct {
	io.Reader
	hasFailed func() bool
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.hasFailed() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// hasFailed reports whether a connection that seems to have been closed in order was not, or
// whether ctx ended before this was known. The kernel reports a reset to a pending write alone, and
// closes the connections of a process that ends in order, planned or not: a body is complete only if
// a process still listens at the address, which takes another connection to see.
func (s *Sender) hasFailed(ctx context.Context, address netip.AddrPort, sent *upload) bool {
	timer := time.NewTimer(exitTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-sent.ended:
		if sent.err != nil {
			return true
		}
	case <-timer.C: // The endpoint has closed one direction only.
		return false
	}
	select {
	case <-ctx.Done():
		return true
	case <-timer.C:
		return s.isGone(ctx, address)
	}
}

// isGone reports whether no process listens at the address, or whether ctx ended before this was
// known.
func (s *Sender) isGone(ctx context.Context, address netip.AddrPort) bool {
	s.mu.Lock()
	s.opened++
	s.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	cn, err := s.dial(bounded, "tcp", address.String())
	if err == nil {
		discard(cn)
	}
	return errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil
}
