// Package extender bounds calls by the time in which this process could run and the call made
// no progress. On a busy or frozen host, timers and responses are delayed alike: a timeout in
// elapsed time then says nothing about the callee. Nor does the time that a large response takes
// on a slow link.
package extender

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// interval is the time between two measurements. A timeout of 150 ms extends over at least
	// seven turns of a goroutine, and a call takes about four.
	interval = 20 * time.Millisecond
	// tolerance is the delay of a timer that counts as none. Timers of an idle host are late by
	// up to a millisecond.
	tolerance = 5 * time.Millisecond
	// maxExtension limits the time by which a timeout is extended after it has fired: callers
	// of turns wait for two seconds.
	maxExtension = time.Second
)

// Extender measures the delay of this process, and extends timeouts by it. It is safe for
// concurrent use.
type Extender struct {
	delay func() time.Duration

	mu sync.Mutex
	// measured is the sum of the delays of all measurements, and start that of the one that is
	// under way; zero if none is.
	measured time.Duration
	start    time.Time
}

// Option sets one property of an Extender.
type Option func(*Extender)

// WithDelay replaces the measurement: delay returns the sum of all delays of this process.
func WithDelay(delay func() time.Duration) Option { return func(e *Extender) { e.delay = delay } }

// New returns an Extender, which measures while Run runs.
func New(options ...Option) *Extender {
	e := &Extender{}
	e.delay = e.measuredDelay
	for _, option := range options {
		option(e)
	}
	return e
}

// measuredDelay returns the sum of all delays, with that of the measurement under way.
func (e *Extender) measuredDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.start.IsZero() {
		return e.measured
	}
	return e.measured + delayOf(time.Since(e.start), interval)
}

// begin ends the measurement under way and begins one at the time; zero for none.
func (e *Extender) begin(start time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.start.IsZero() {
		e.measured += delayOf(time.Since(e.start), interval)
	}
	e.start = start
}

// Run measures the delay of this process until ctx ends. A goroutine that a timer wakes runs
// before others, so that it yields once, as the goroutines of a call wait for their turn.
func (e *Extender) Run(ctx context.Context) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	defer func() { e.begin(time.Time{}) }()
	for {
		e.begin(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		runtime.Gosched()
		timer.Reset(interval)
	}
}

// delayOf returns the delay of a timer that took the given time.
func delayOf(took, expected time.Duration) time.Duration {
	if took <= expected+tolerance {
		return 0
	}
	return took - expected
}

// timeout is the timeout of one context.
type timeout struct {
	extender *Extender
	length   time.Duration
	ctx      context.Context
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// start is when the timeout began, and delay the sum of all delays until then.
	start time.Time
	delay time.Duration
	// extended is by how much the timeout was extended, and late the sum of the delays of
	// its timer. Those of a frozen process may fire before the delay is measured.
	extended, late time.Duration
	// respondedAt is the time of the first progress; zero if there was none.
	respondedAt time.Time
}

type timeoutKey struct{}

// WithTimeout returns a context that ends with the cause context.DeadlineExceeded once the
// process could run for the timeout without progress of the call, and like ctx before. The end
// is delayed by at most maxExtension after the timeout.
func (e *Extender) WithTimeout(ctx context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &timeout{extender: e, length: length, cancel: cancel, start: time.Now(), delay: e.delay()}
	t.ctx = context.WithValue(ctx, timeoutKey{}, t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(length, t.fire)
	return t.ctx, func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

func (t *timeout) fire() {
	// Run may still wait for its first turn.
	runtime.Gosched()
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := time.Since(t.start)
	t.late += delayOf(elapsed-t.length-t.extended-t.late, 0)
	left := min(t.length-elapsed+max(t.extender.delay()-t.delay, t.late), maxExtension-t.extended)
	if left <= 0 || t.ctx.Err() != nil {
		t.cancel(context.DeadlineExceeded)
		return
	}
	t.extended += left
	t.timer.Reset(left)
}

// Progress restarts the timeout of a context that WithTimeout returned: a response that is
// under way shows that the callee is there, however long the transfer takes. Other contexts are
// not affected.
func Progress(ctx context.Context) {
	t, ok := ctx.Value(timeoutKey{}).(*timeout)
	if !ok || ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start, t.delay, t.extended, t.late = time.Now(), t.extender.delay(), 0, 0
	if t.respondedAt.IsZero() {
		t.respondedAt = t.start
	}
	t.timer.Reset(t.length)
}

// RespondedAt returns the time of the first Progress of a context that WithTimeout returned, or
// zero if there was none.
func RespondedAt(ctx context.Context) time.Time {
	t, ok := ctx.Value(timeoutKey{}).(*timeout)
	if !ok {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.respondedAt
}
