package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

const (
	// maxFailedConnects bounds the endpoints tried that could not even be reached.
	maxFailedConnects = 3
	// maxBufferedBytes bounds an answer that is held whole before it is passed on.
	maxBufferedBytes = 8 << 20
	// shortRetryAfter is when a caller may come back after a chance refusal.
	shortRetryAfter = 150 * time.Millisecond
	// attemptTimeoutTargets is for how many times the route's target an endpoint may
	// be silent before an idempotent request goes to another one.
	attemptTimeoutTargets = 3
)

// servePlain serves a request to a plain service. Its answer is held until it
// is whole, so that a broken one is never passed on.
func (x *exchange) servePlain() {
	attempted := map[string]bool{}
	sent, failedConnects := 0, 0
	var lastErr error
	for sent < x.route.MaxAttempts && failedConnects < maxFailedConnects {
		if x.ctx.Err() != nil {
			break
		}
		candidates := x.candidates(attempted)
		i := chooser.LeastLoaded(x.call.ID, x.DataCentre, candidates)
		if i < 0 {
			break
		}
		c := candidates[i]
		attempted[c.ID] = true
		answered, err := x.attemptPlain(c, sent+1 < x.route.MaxAttempts)
		if answered {
			return
		}
		lastErr = err
		if errors.Is(err, sender.ErrNotSent) {
			failedConnects++
			continue
		}
		sent++
		if !errors.Is(err, errNotRun) && !x.route.Idempotent() {
			x.refuseMaybeRun(err)
			return
		}
		x.Metrics.CountRetry(failureReason(err))
	}
	x.refuseUnserved(lastErr)
}

// errNotRun means that the endpoint states that it did not run the request.
var errNotRun = eris.New("the endpoint did not run the request")

// errInvalidResponse means that the answer lacks what shows that it is an endpoint's.
var errInvalidResponse = eris.New("the answer is not a signed answer to the request")

// attemptPlain sends the request to one endpoint. It returns true if the caller was
// answered.
func (x *exchange) attemptPlain(c registrar.Candidate, mayRetry bool) (answered bool, err error) {
	ctx := x.ctx
	if mayRetry && x.route.Kind == matcher.Safe && x.route.TargetLatency > 0 {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeoutTargets*x.route.TargetLatency)
		defer cancel()
		ctx = attemptCtx
	}
	x.Endpoints.Begin(c.ID)
	start, outcome := time.Now(), registrar.Failed
	defer func() { x.Endpoints.End(c.ID, outcome) }()
	response, err := x.send(ctx, c, Dispatch{Timeout: x.timeLeft(), Priority: -1}, x.body)
	if err != nil {
		if x.ctx.Err() != nil {
			outcome = timeoutOutcome(time.Since(start), c)
		}
		return false, err
	}
	defer response.Close()
	head := x.Dialect.DecodeResponseHead(response.Status, response.Header)
	if head.Load != nil {
		x.Endpoints.Report(c.ID, *head.Load)
	}
	if head.IsNotRun {
		outcome = registrar.Neutral
		return false, errNotRun
	}
	if !head.IsSigned && response.Status < http.StatusMultipleChoices {
		return false, errInvalidResponse
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1))
	if err != nil || len(body) > maxBufferedBytes {
		return false, eris.Wrapf(err, "read the answer's body, %d bytes so far", len(body))
	}
	outcome = plainOutcome(response.Status)
	x.Dialect.EncodeResponse(response.Header, x.writer.Header())
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(response.Status)
	_, err = x.writer.Write(body)
	x.access.outcome, x.access.status, x.access.cause = "Served", response.Status, err
	return true, nil
}

// refuseUnserved answers when no endpoint gave an answer.
func (x *exchange) refuseUnserved(lastErr error) {
	switch {
	case x.isCallerDisconnected():
		x.abort("Canceled", lastErr)
	case lastErr == nil || errors.Is(lastErr, sender.ErrNotSent) || errors.Is(lastErr, errNotRun):
		after := min(shortRetryAfter, x.timeLeft()/3)
		x.refuse(answerer.Wrap(answerer.NoEndpoint, lastErr, "no endpoint took the request").After(after), "NoEndpoint")
	default:
		x.refuseMaybeRun(lastErr)
	}
}

// refuseMaybeRun answers after an attempt that may have run.
func (x *exchange) refuseMaybeRun(err error) {
	switch {
	case x.isCallerDisconnected():
		x.abort("Canceled", err)
	case x.ctx.Err() != nil:
		x.refuse(answerer.Wrap(answerer.DeadlineRan, err, "no answer in time"), "Deadline")
	default:
		x.refuse(answerer.Wrap(answerer.OutcomeUnknown, err, "the endpoint broke off"), failureReason(err))
	}
}

func failureReason(err error) string {
	switch {
	case err == nil:
		return "None"
	case errors.Is(err, errNotRun):
		return "NotRun"
	case errors.Is(err, errInvalidResponse):
		return "Unsigned"
	case errors.Is(err, sender.ErrNotSent):
		return "NotSent"
	case errors.Is(err, context.DeadlineExceeded):
		return "Silent"
	}
	return "BrokenOff"
}
