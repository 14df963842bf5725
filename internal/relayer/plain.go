package relayer

import (
	"context"
	"errors"
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
	// maxFailedConnects limits the attempts that end without a connection.
	maxFailedConnects = 3
	// shortRetryAfter is the Retry-After time of refusals whose cause is expected
	// to be brief.
	shortRetryAfter = 150 * time.Millisecond
	// maxBreaks is the number of attempts of a request that may break off at endpoints
	// before it is left to the caller whether it comes again: it may be the cause.
	maxBreaks = 2
	// attemptTimeoutTargets is the timeout of an attempt that may be retried, in
	// multiples of the route's target latency.
	attemptTimeoutTargets = 3
)

// servePlain serves a request to a plain service. It buffers the response until it
// is complete, so that a truncated one is never forwarded.
func (x *exchange) servePlain() {
	attempted := map[string]bool{}
	sent, failedConnects := 0, 0
	var failure failedAttempts
	fleet := chooser.Fleet{Instance: x.Instance, DataCentre: x.DataCentre, Instances: x.CountInstances()}
	for sent < x.route.MaxAttempts && failedConnects < maxFailedConnects {
		if x.ctx.Err() != nil {
			break
		}
		if x.suspicion().Left > 0 {
			failure.addUnplaced(errQuarantined)
			break
		}
		c, err := x.placeCall(fleet, attempted)
		if err != nil {
			failure.addUnplaced(err)
			break
		}
		if !x.mayPassOn(false) {
			failure.addUnplaced(errStopping)
			break
		}
		attempted[c.ID] = true
		isDone, err := x.attemptPlain(c, sent+1 < x.route.MaxAttempts)
		if isDone {
			return
		}
		failure.add(err)
		if errors.Is(err, sender.ErrNotSent) {
			failedConnects++
			continue
		}
		sent++
		if failure.mayHaveRun && !x.route.Idempotent() || x.mayBeCause() {
			break
		}
		x.Metrics.CountRetry(failureReason(err))
	}
	x.refuseFailed(failure)
}

// failedAttempts is the outcome of the failed attempts of one request.
type failedAttempts struct {
	// mayHaveRun is true if an endpoint may have run the request. It stays true: later
	// attempts that reached no endpoint don't undo it.
	mayHaveRun bool
	// err is the error of the last attempt that may have run, or of the last one.
	err error
}

// add records the error of an attempt.
func (f *failedAttempts) add(err error) {
	mayHaveRun := !errors.Is(err, sender.ErrNotSent) && !errors.Is(err, errNotRun)
	if mayHaveRun || !f.mayHaveRun {
		f.err = err
	}
	f.mayHaveRun = f.mayHaveRun || mayHaveRun
}

// addUnplaced records that there was no endpoint for a further attempt, which is the cause
// of a refusal only if the endpoints have used up their limits or are full, if the request is
// quarantined, or if the instance stops.
func (f *failedAttempts) addUnplaced(err error) {
	if !f.mayHaveRun && (errors.Is(err, errNoPermit) || errors.Is(err, errQuarantined) || errors.Is(err, errEndpointsFull) || errors.Is(err, errStopping)) {
		f.err = err
	}
}

// errNotRun means that the endpoint states that it did not run the request.
var errNotRun = eris.New("the endpoint did not run the request")

// errInvalidResponse means that the response does not come from the endpoint or
// does not continue the stream: it has no signature, or events are missing.
var errInvalidResponse = eris.New("response unsigned or out of sequence")

// attemptPlain sends the request to one endpoint and forwards the response. It
// reports whether the caller got a response.
func (x *exchange) attemptPlain(c registrar.Candidate, mayRetry bool) (isDone bool, err error) {
	ctx := x.ctx
	if mayRetry && x.route.Kind == matcher.Safe && x.route.TargetLatency > 0 {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeoutTargets*x.route.TargetLatency)
		defer cancel()
		ctx = attemptCtx
	}
	x.Endpoints.Begin(c.ID)
	start, outcome := time.Now(), registrar.Failed
	defer func() {
		x.Endpoints.End(c.ID, outcome)
		if !isDone {
			x.recordBreak(c, start, err)
		}
	}()
	response, err := x.send(ctx, c, Dispatch{Timeout: x.timeLeft(), Priority: x.callPriority()}, x.body)
	if err != nil {
		if x.ctx.Err() != nil {
			outcome = timeoutOutcome(time.Since(start), c)
		}
		return false, err
	}
	defer response.Close()
	head := x.decodeHead(c, start, response)
	if head.IsNotRun {
		outcome = registrar.Neutral
		return false, errNotRun
	}
	if !head.IsSigned && response.Status < http.StatusMultipleChoices {
		return false, errInvalidResponse
	}
	reservation := x.responses.reservation().waitFor(ctx)
	defer reservation.release()
	body, err := readResponse(response, reservation)
	if err != nil {
		return false, err
	}
	outcome = plainOutcome(response.Status)
	x.recordServed()
	if response.Status < http.StatusMultipleChoices {
		x.recordCall(c, start, head)
		x.durations.Record(x.service, x.route.Name, time.Since(start))
	}
	x.Dialect.EncodeResponse(response.Header, x.writer.Header())
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(response.Status)
	_, err = x.writer.Write(body)
	x.Needs.Call(x.call.Program, x.service)
	x.access.outcome, x.access.status, x.access.cause = "Served", response.Status, err
	return true, nil
}

// refuseFailed refuses a request after the last attempt failed, or without any. The
// refusal says that the request did not run only if that holds for all attempts.
func (x *exchange) refuseFailed(failure failedAttempts) {
	switch {
	case x.isCallerDisconnected():
		x.abort("Canceled", failure.err)
	case failure.mayHaveRun:
		x.refuseMaybeRun(failure.err)
	default:
		x.refuseUnplaced(failure.err)
	}
}

// refuseMaybeRun refuses a request that may have run at an endpoint.
func (x *exchange) refuseMaybeRun(err error) {
	if x.isAnswerTimeOver() {
		x.refuse(answerer.Wrap(answerer.OutcomeUnknown, err, "the instance stops before the endpoint has responded"), "Stopping")
		return
	}
	if x.ctx.Err() != nil {
		x.refuse(answerer.Wrap(answerer.DeadlineRan, err, "no response before the deadline"), "Deadline")
		return
	}
	x.refuse(answerer.Wrap(answerer.OutcomeUnknown, err, "the endpoint did not complete its response"), failureReason(err))
}

func failureReason(err error) string {
	switch {
	case err == nil:
		return "None"
	case errors.Is(err, errNotRun):
		return "NotRun"
	case errors.Is(err, errInvalidResponse):
		return "Unsigned"
	case errors.Is(err, errResponseTooLarge):
		return "TooLarge"
	case errors.Is(err, sender.ErrNotSent):
		return "NotSent"
	case errors.Is(err, context.DeadlineExceeded):
		return "Silent"
	}
	return "BrokenOff"
}
