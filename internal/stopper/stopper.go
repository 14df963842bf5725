// Package stopper decides what an instance that stops still does for its requests: whether
// one may be passed on to an endpoint, or must be refused as not run because it could not be
// answered within the rest of the grace period.
package stopper

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrEnded is the cause of the end of contexts when a stopping instance answers no longer.
var ErrEnded = errors.New("the instance has stopped answering")

// Stopper tells the requests of an instance that it stops. It is safe for concurrent use.
type Stopper struct {
	begun, ended             context.Context //nolint:containedctx // They are the events that requests wait for.
	cancelBegun, cancelEnded func()
	answerUntil              atomic.Pointer[time.Time]
}

// New returns a Stopper of an instance that does not stop.
func New() *Stopper {
	s := &Stopper{}
	s.begun, s.cancelBegun = context.WithCancel(context.Background())
	ended, cancel := context.WithCancelCause(context.Background())
	s.ended, s.cancelEnded = ended, func() { cancel(ErrEnded) }
	return s
}

// Begin states that the instance stops and that it answers requests for the time. Their contexts
// end after that.
func (s *Stopper) Begin(answerFor time.Duration) {
	until := time.Now().Add(answerFor)
	s.answerUntil.Store(&until)
	time.AfterFunc(answerFor, s.cancelEnded)
	s.cancelBegun()
}

// Left returns for how much longer the instance answers requests; isStopping is false if it does
// not stop.
func (s *Stopper) Left() (left time.Duration, isStopping bool) {
	until := s.answerUntil.Load()
	if until == nil {
		return 0, false
	}
	return time.Until(*until), true
}

// OnBegin calls f in its own goroutine once the instance stops, unless cancel is called before.
func (s *Stopper) OnBegin(f func()) (cancel func() bool) { return context.AfterFunc(s.begun, f) }

// Context returns the context from which those of all requests are derived. It ends with the
// cause ErrEnded.
func (s *Stopper) Context() context.Context { return s.ended }
