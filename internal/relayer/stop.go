package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/stopper"
)

// stopRetryAfter is the Retry-After time of refusals of a stopping instance. Callers come back on
// new connections, which lead to other instances.
const stopRetryAfter = 50 * time.Millisecond

// errStopping means that the instance stops too soon to pass the request on.
var errStopping = eris.New("the instance stops before the request could be answered")

// maxStopWait returns how long the request may wait until it is passed on if the instance stops;
// negative if it must not be passed on, or not again.
func (x *exchange) maxStopWait(hasResponse bool) (wait time.Duration, isStopping bool) {
	left, isStopping := x.Stop.Left()
	if !isStopping {
		return 0, false
	}
	return stopper.MaxWait(stopper.Request{Left: x.timeLeft(), Expected: x.expectedTime(), HasResponse: hasResponse}, left), true
}

// turnTimeFactor is how much longer a turn may take than on an idle engine.
const turnTimeFactor = 3

// expectedTime returns the time that the request takes at an endpoint: as others of its route did
// lately, and otherwise as the operator states for calls and other instances have learned of turns;
// zero if that is not known.
func (x *exchange) expectedTime() time.Duration {
	if expected := x.durations.Expected(x.service, x.route.Name, x.route.Kind == matcher.Safe); expected > 0 {
		return expected
	}
	if x.route.Kind == matcher.Stream {
		// The target of a stream is that of its first event.
		return turnTimeFactor * x.Needs.Need(x.route.Name, x.call.PromptTokens, x.call.MaxTokens).TurnTime
	}
	return attemptTimeoutTargets * x.route.TargetLatency
}

// mayPassOn reports whether the request may be passed on to an endpoint now; hasResponse tells
// whether the caller has a part of the response.
func (x *exchange) mayPassOn(hasResponse bool) bool {
	wait, isStopping := x.maxStopWait(hasResponse)
	return !isStopping || wait >= 0
}

// limitWait limits the wait of a request that has not been passed on, so that a stopping instance
// can still answer it after the wait.
func (x *exchange) limitWait(wait time.Duration) time.Duration {
	if limit, isStopping := x.maxStopWait(false); isStopping {
		return max(min(wait, limit), 0)
	}
	return wait
}

// isAnswerTimeOver reports whether the request's context has ended because the instance stops.
func (x *exchange) isAnswerTimeOver() bool {
	return errors.Is(context.Cause(x.ctx), stopper.ErrEnded)
}

// refuseStopping refuses a request that the instance can no longer pass on. It did not run.
func (x *exchange) refuseStopping() {
	x.writer.Header().Set("Connection", "close")
	x.refuse(newStopping(), "Stopping")
}

func newStopping() *answerer.Error {
	return answerer.New(answerer.Stopping, "the instance is stopping").WithRetryAfter(stopRetryAfter)
}

// bodyWatch refuses a request while its body is being read, as soon as the instance can no longer
// pass it on.
type bodyWatch struct {
	*exchange
	cancel func() bool
	// cancelWait ends the wait for the body's memory.
	cancelWait context.CancelFunc

	mu        sync.Mutex
	timer     *time.Timer
	hasEnded  bool
	isRefused bool
}

// watchBody starts a bodyWatch. Until it ends, no response must be written. It calls cancelWait if it
// refuses the request.
func (x *exchange) watchBody(cancelWait context.CancelFunc) *bodyWatch {
	w := &bodyWatch{exchange: x, cancelWait: cancelWait}
	w.cancel = x.Stop.OnBegin(w.startTimer)
	return w
}

func (w *bodyWatch) startTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasEnded {
		return // The exchange is changed without the mutex from then on.
	}
	if wait, isStopping := w.maxStopWait(false); isStopping {
		w.timer = time.AfterFunc(max(wait, 0), w.refuse)
	}
}

func (w *bodyWatch) refuse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasEnded {
		return
	}
	w.isRefused = true
	w.refuseUnread(newStopping(), "Stopping")
	w.cancelWait()
}

// end ends the watch and reports whether the request was refused.
func (w *bodyWatch) end() (isRefused bool) {
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasEnded = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.isRefused
}
