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
	// maxDials bounds the endpoints tried that could not even be reached.
	maxDials = 3
	// answerBytes bounds an answer that is held whole before it is passed on.
	answerBytes = 8 << 20
	// retrySoon is when a caller may come back after a chance refusal.
	retrySoon = 150 * time.Millisecond
	// attemptTargets is for how many times the route's target an endpoint may
	// be silent before an idempotent request goes to another one.
	attemptTargets = 3
)

// servePlain serves a request to a plain service. Its answer is held until it
// is whole, so that a broken one is never passed on.
func (x *exchange) servePlain() {
	tried := map[string]bool{}
	sent, dials := 0, 0
	var last error
	for sent < x.route.MaxAttempts && dials < maxDials {
		if x.ctx.Err() != nil {
			break
		}
		candidates := x.candidates(tried)
		i := chooser.LeastLoaded(x.call.ID, x.DataCentre, candidates)
		if i < 0 {
			break
		}
		c := candidates[i]
		tried[c.ID] = true
		done, err := x.tryPlain(c, sent+1 < x.route.MaxAttempts)
		if done {
			return
		}
		last = err
		if errors.Is(err, sender.ErrNotSent) {
			dials++
			continue
		}
		sent++
		if !errors.Is(err, errNotRun) && !x.route.Idempotent() {
			x.refuseRun(err)
			return
		}
		x.Metrics.CountRetry(reasonOf(err))
	}
	x.refuseUnserved(last)
}

// errNotRun means that the endpoint states that it did not run the request.
var errNotRun = eris.New("the endpoint did not run the request")

// errNotOurs means that the answer lacks what shows that it is an endpoint's.
var errNotOurs = eris.New("the answer is not a signed answer to the request")

// tryPlain sends the request to one endpoint. It returns true if the caller was
// answered.
func (x *exchange) tryPlain(c registrar.Candidate, mayRepeat bool) (done bool, err error) {
	ctx := x.ctx
	if mayRepeat && x.route.Kind == matcher.Safe && x.route.TargetLatency > 0 {
		bounded, cancel := context.WithTimeout(ctx, attemptTargets*x.route.TargetLatency)
		defer cancel()
		ctx = bounded
	}
	x.Endpoints.Begin(c.ID)
	begun, outcome := time.Now(), registrar.Failed
	defer func() { x.Endpoints.End(c.ID, outcome) }()
	answer, err := x.send(ctx, c, Dispatch{Timeout: x.left(), Priority: -1}, x.body)
	if err != nil {
		if x.ctx.Err() != nil {
			outcome = judgeSilence(time.Since(begun), c)
		}
		return false, err
	}
	defer answer.Close()
	head := x.Dialect.DecodeResponseHead(answer.Status, answer.Header)
	if head.Load != nil {
		x.Endpoints.Report(c.ID, *head.Load)
	}
	if head.IsNotRun {
		outcome = registrar.Neutral
		return false, errNotRun
	}
	if !head.IsSigned && answer.Status < http.StatusMultipleChoices {
		return false, errNotOurs
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerBytes+1))
	if err != nil || len(body) > answerBytes {
		return false, eris.Wrapf(err, "read the answer's body, %d bytes so far", len(body))
	}
	outcome = judgePlain(answer.Status)
	x.Dialect.EncodeResponse(answer.Header, x.writer.Header())
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(answer.Status)
	_, err = x.writer.Write(body)
	x.story.outcome, x.story.status, x.story.cause = "Served", answer.Status, err
	return true, nil
}

// refuseUnserved answers when no endpoint gave an answer.
func (x *exchange) refuseUnserved(last error) {
	switch {
	case x.isCallerGone():
		x.abort("Canceled", last)
	case last == nil || errors.Is(last, sender.ErrNotSent) || errors.Is(last, errNotRun):
		after := min(retrySoon, x.left()/3)
		x.refuse(answerer.Wrap(answerer.NoEndpoint, last, "no endpoint took the request").After(after), "NoEndpoint")
	default:
		x.refuseRun(last)
	}
}

// refuseRun answers after an attempt that may have run.
func (x *exchange) refuseRun(err error) {
	switch {
	case x.isCallerGone():
		x.abort("Canceled", err)
	case x.ctx.Err() != nil:
		x.refuse(answerer.Wrap(answerer.DeadlineRan, err, "no answer in time"), "Deadline")
	default:
		x.refuse(answerer.Wrap(answerer.OutcomeUnknown, err, "the endpoint broke off"), reasonOf(err))
	}
}

func reasonOf(err error) string {
	switch {
	case err == nil:
		return "None"
	case errors.Is(err, errNotRun):
		return "NotRun"
	case errors.Is(err, errNotOurs):
		return "Unsigned"
	case errors.Is(err, sender.ErrNotSent):
		return "NotSent"
	case errors.Is(err, context.DeadlineExceeded):
		return "Silent"
	}
	return "BrokenOff"
}
