package rerouter

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// callDirect calls the store directly. Only reads decide whether the store is
// reachable: a write may fail because its partition is overloaded. A call that the
// store received before it answered another one is no evidence of an outage.
func (r *Rerouter) callDirect(ctx context.Context, op operation, call func(context.Context) error) error {
	start := time.Now()
	limit := r.timeout(op.isWrite) + op.wait
	if op.isWrite {
		limit = writeTimeout + op.transfer
	}
	bounded, cancel := r.withTimeout(ctx, limit)
	defer cancel()
	err := call(bounded)
	r.countCall(op.name, Direct.String(), resultName(err))
	if ctx.Err() != nil {
		return err // The caller's cancellation does not indicate a store failure.
	}
	if isSilence(err) {
		r.closeIdle() // Other connections may have gone silent, too.
	}
	ok := isResponse(err)
	isRefusal := !op.isWrite && isRefusal(err) && bounded.Err() == nil
	isOutdated := r.recordDirect(op, ok, isRefusal, start)
	if isRefusal && op != probe {
		r.requestProbe() // The next read may be seconds away.
	}
	if isOutdated {
		return err
	}
	r.adaptTimeouts(op, ok, isSilence(err) && time.Since(start) >= limit, start, responseTime(bounded, start))
	switch {
	case ok:
		r.setPath(Direct, nil)
	case op.isWrite:
		if r.hasRecentResponse() {
			break // A part of the store may be away; its reads show that it is reached.
		}
		r.requestProbe()
	default:
		if r.recordDirectFailure(isSilence(err), start) {
			r.setPath(Lost, err)
		} else if op != probe {
			r.requestProbe() // A failure alone may be a lost response; the next read may be late.
		}
	}
	return err
}

// responseTime returns the time from the start of a call to its response, without that of the
// transfer if the callee reports progress.
func responseTime(ctx context.Context, start time.Time) time.Duration {
	if at := extender.RespondedAt(ctx); !at.IsZero() {
		return at.Sub(start)
	}
	return time.Since(start)
}

// recordDirect records the result of a direct call that started at the given time. It reports
// whether the result is outdated: a failure if the store has responded to another call since,
// and a response to a call that waited for changes if the store has refused another one since.
// The store accepted the wait before, and may refuse all new calls.
func (r *Rerouter) recordDirect(op operation, ok, isRefusal bool, start time.Time) (isOutdated bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if isRefusal {
		r.lastRefusal = now
	}
	accepted := now
	if op.wait > 0 {
		accepted = start
	}
	switch {
	case !ok:
		return start.Before(r.lastDirect)
	case accepted.Before(r.lastRefusal):
		return true
	}
	r.lastDirect, r.directFailures, r.renewedAt = now, 0, time.Time{}
	if accepted.After(r.lastAccepted) {
		r.lastAccepted = accepted
	}
	return false
}

// recordDirectFailure counts a failed direct read that started at the given time. It reports
// whether the path is no longer Direct. Of the reads without a response, only those that began
// after the idle connections were closed add to the first one.
func (r *Rerouter) recordDirectFailure(isSilent bool, start time.Time) (isLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !isSilent, !r.renewedAt.IsZero() && !start.Before(r.renewedAt):
		r.directFailures++
	case r.renewedAt.IsZero():
		r.renewedAt, r.directFailures = time.Now(), max(r.directFailures, 1)
	}
	return r.directFailures >= maxDirectFailures && r.path == Direct
}

func (r *Rerouter) hasRecentResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastAccepted) < recentResponse
}

// adaptTimeouts sets the timeouts by the result of a call that started at the given time, on
// whichever path. A timeout of either kind of call raises both: a store that is slow with one kind
// is slow with the other. Of the calls that time out together, one raises them.
func (r *Rerouter) adaptTimeouts(op operation, ok, timedOut bool, start time.Time, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case ok && op.wait > 0: // The duration includes the wait for a change.
	case ok && op.isWrite:
		r.writeWait = min(max(timeoutFactor*took, minWriteWait), maxTimeout)
	case ok:
		r.readTimeout = min(max(timeoutFactor*took, minReadTimeout), maxTimeout)
	case timedOut && !start.Before(r.raisedAt):
		r.raisedAt = time.Now()
		r.readTimeout = min(2*r.readTimeout, maxTimeout)
		r.writeWait = min(2*r.writeWait, maxTimeout)
	}
}

func (r *Rerouter) timeout(isWrite bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isWrite {
		return r.writeWait
	}
	return r.readTimeout
}

// isResponse reports whether err is a result that the store itself returned.
func isResponse(err error) bool {
	return err == nil || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrInvalid) || errors.Is(err, storer.ErrVersionExpired)
}

// isSilence reports whether a connection was opened but the response did not arrive on it.
func isSilence(err error) bool { return errors.Is(err, storer.ErrInDoubt) }

// isRefusal reports whether the store did not run the call, for another reason than a rate that
// was exceeded.
func isRefusal(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrInDoubt) && !errors.Is(err, storer.ErrBusy)
}

func resultName(err error) string {
	switch {
	case err == nil:
		return "OK"
	case errors.Is(err, storer.ErrConflict):
		return "Conflict"
	case errors.Is(err, storer.ErrVersionExpired):
		return "Forgotten"
	case errors.Is(err, storer.ErrInvalid):
		return "Invalid"
	case errors.Is(err, storer.ErrInDoubt):
		return "InDoubt"
	}
	return "Unavailable"
}
