package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/allotter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/apportioner"
	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/pruner"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/reserver"
	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/sender"
	"github.com/wigeonstand/wigeonstand/internal/splitter"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

const (
	// minServiceTime is the time that a turn usually needs at an endpoint. The wait
	// for the store leaves this much of the caller's timeout.
	minServiceTime = 500 * time.Millisecond
	// maxStoreWait limits the wait for the store before a turn is sent. Callers
	// abort a stream that has no data for 2 s and count it as failed, but retry
	// after a refusal.
	maxStoreWait = 1800 * time.Millisecond
	// transcriptRetryInterval is the pause before a transcript is read again.
	transcriptRetryInterval = 50 * time.Millisecond
	// maxRecordWait limits the wait for the record of a retained turn before its
	// response ends. Callers abort a stream that has no data for 2 s.
	maxRecordWait = 1900 * time.Millisecond
	// settleTimeout limits the settlement of a turn after its response has ended.
	settleTimeout = 2 * time.Second
	// maxResumes limits how often one stream is resumed.
	maxResumes = 3
)

// turn is the state of one turn.
type turn struct {
	*exchange
	bookkeeper discoverer.Member
	isReserved bool
	isFirst    bool
	// contention and contender are what a turn meets and asks for that may be the first of a
	// program, and refusedShare the share of such programs to refuse; nil if unknown.
	contention   *admitter.Contention
	contender    *apportioner.Contender
	refusedShare *float64
	previous     *transcriber.Turn
	prompt       []byte
	// home is the endpoint that has the prompt in its cache, and servedBy the one
	// that has read this turn's prompt; empty if unknown.
	home, servedBy string
	// failedAt is the endpoint that responded with an error; empty if none did.
	failedAt string
	// failedBefore are the endpoints that failed earlier attempts at the turn.
	failedBefore []string
	// output is the text that a retained turn has generated.
	output     []byte
	eventCount int
	// lastEvent is the last event that the caller has, in this attempt or in the one that it
	// resumes.
	lastEvent splitter.EventID
	// hasUnnamed is set if the caller has an event without an ID after lastEvent. No resumption
	// can go on there.
	hasUnnamed bool
	// hasFallen is set if the caller has an event whose ID was not larger than that of the
	// event before. IDs do not tell where the stream goes on then.
	hasFallen     bool
	isHeadWritten bool
	attempt       attempt
	// ranAt holds the endpoints at which the turn may have run.
	ranAt map[string]bool
	// origin is what began the stream; nil while it has not begun. It goes on at that
	// version only.
	origin *resumer.Origin
	// askedOrigin returns what began the stream once the endpoint has been asked, or is closed if that
	// is not known; nil if it need not be asked.
	askedOrigin <-chan resumer.Origin
}

func (x *exchange) serveTurn() {
	t := &turn{exchange: x, isFirst: x.call.PreviousTurn == "", prompt: x.body}
	defer t.settle()
	if engines := t.candidates(nil); t.Policy.ByNeed && t.isFirst && len(engines) > 0 {
		t.contend(engines)
	}
	if !t.prepare() || !t.findOrigin() {
		return
	}
	candidates := t.candidates(nil)
	if len(candidates) == 0 {
		t.refuseWithoutCandidates()
		return
	}
	if !t.admit(candidates) {
		return
	}
	t.recordBegin()
	t.run()
}

// prepare reserves tokens, reads the transcript and gets a permit concurrently. It reports whether
// the turn may go on; if not, the request has been refused.
func (t *turn) prepare() bool {
	reserved := make(chan error, 1)
	go func() { reserved <- t.reserve() }()
	permitted := t.startAskingPermit()
	var err error
	if t.route.Retained && t.call.PreviousTurn != "" {
		err = t.readTranscript()
	}
	reserveErr, permit := <-reserved, <-permitted
	switch {
	case t.isCallerDisconnected():
		t.abort("Canceled", err)
	case errors.Is(err, transcriber.ErrTurnNotFound):
		t.refuse(answerer.New(answerer.NotFound, "turn %s not found", t.call.PreviousTurn), "NoTurn")
		return false
	case errors.Is(err, errOtherAccount):
		t.refuse(answerer.New(answerer.NotFound, "turn %s not found", t.call.PreviousTurn), "OtherAccount")
		return false
	case errors.Is(err, reserver.ErrFull), errors.Is(err, reserver.ErrTooLarge):
		t.refuse(t.newMemoryFull(err), "TranscriptMemory")
		return false
	case err != nil:
		t.refuse(answerer.Wrap(answerer.StoreUnavailable, err, "the transcript cannot be read").WithRetryAfter(t.storeRetryAfter()), "Transcript")
		return false
	case reserveErr != nil:
		t.refuse(answerer.As(reserveErr), "Books")
		return false
	}
	if permit.Result == allotter.ProgramRefused && !t.isFirst {
		// The issuer does not know the program, but the bookkeeper does.
		permit = t.askPermit(true)
	}
	return t.allows(permit)
}

// transcriptCopies is how many times a transcript is kept while its turn runs.
const transcriptCopies = 2

// readTranscript reads the transcript that the turn continues. It retries while
// the store does not respond and storeWait allows.
func (t *turn) readTranscript() error {
	for {
		previous, text, err := t.Transcripts.Transcript(t.ctx, t.call.PreviousTurn)
		if err == nil && !previous.MayContinue(t.accountName()) {
			return errOtherAccount
		}
		if err == nil {
			// The prompt is a copy of the transcript.
			if err := t.reserveMemory(transcriptCopies * int64(len(text))); err != nil {
				return err
			}
			t.previous, t.prompt = previous, append(text, t.body...)
			return nil
		}
		if errors.Is(err, transcriber.ErrTurnNotFound) || t.storeWait() == 0 {
			return err
		}
		timer := time.NewTimer(transcriptRetryInterval)
		select {
		case <-t.ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

// storeWait returns how much longer the turn may wait for the store. It leaves
// minServiceTime for the endpoint. A caller with a short timeout waits for up to
// half of it, unless the store is known to be unreachable. maxStoreWait counts from the end of the
// turn's body.
func (t *turn) storeWait() time.Duration {
	total := t.deadline.Sub(t.arrival)
	limit := total - minServiceTime
	if !t.IsStoreUnreachable() {
		limit = max(limit, total/2)
	}
	waited := time.Since(t.arrival)
	return t.limitWait(max(min(limit-waited, maxStoreWait-(waited-t.access.readTime)), 0))
}

// reserve reserves the turn's tokens in the program's budget.
func (t *turn) reserve() error {
	if !t.call.HasBudget {
		return nil
	}
	if t.call.Budget == 0 {
		return answerer.New(answerer.BudgetExhausted, "the budget is empty")
	}
	out, member, err := t.Budgets.Open(t.ctx, bookkeeper.OpenRequest{
		Program: t.call.Program, Turn: t.call.ID, Tokens: t.call.MaxTokens, Budget: t.call.Budget, Wait: t.storeWait(),
		Session: t.call.Session, Contender: t.contender,
	})
	t.bookkeeper, t.refusedShare = member, out.RefusedShare
	if out.Need != nil {
		t.Needs.Adopt(t.route.Name, *out.Need)
	}
	switch {
	case err != nil:
		return answerer.Wrap(answerer.StoreUnavailable, err, "the program's bookkeeper cannot be reached").WithRetryAfter(t.storeRetryAfter())
	case out.Status == bookkeeper.Exhausted:
		return answerer.Wrap(answerer.BudgetExhausted,
			eris.Errorf("%d tokens used, %d reserved, %d granted to other instances, %d requested",
				out.Used, out.Reserved, out.GrantedElsewhere, t.call.MaxTokens),
			"the budget of %d tokens is exhausted", t.call.Budget)
	case out.Status == bookkeeper.Withheld:
		return answerer.New(answerer.StoreUnavailable, "the turn needs tokens that an instance which ended may have handed out").WithRetryAfter(t.storeRetryAfter())
	case out.Status != bookkeeper.OK:
		return answerer.New(answerer.StoreUnavailable, "the reservation cannot be recorded").WithRetryAfter(t.storeRetryAfter())
	}
	t.isReserved, t.isFirst, t.home, t.failedBefore = true, !out.HasStarted, out.Home, out.Failed
	return nil
}

// storeRetryAfter returns the Retry-After time of a refusal that is caused by the
// store. Outages last seconds, so it is a third of the time left and not a short
// pause.
func (t *turn) storeRetryAfter() time.Duration { return t.timeLeft() / 3 }

// settle releases the unused part of the reservation, unless finish has done so.
func (t *turn) settle() {
	if !t.isReserved {
		return
	}
	t.isReserved = false
	in := bookkeeper.CloseRequest{
		Program: t.call.Program, Turn: t.call.ID, Used: t.usedTokens(), Wait: settleTimeout,
		Session: t.call.Session, Endpoint: t.servedBy, FailedEndpoint: t.failedAt,
	}
	// The turn must not be kept until then: its prompt's memory is reserved for others.
	budgets, member, log := t.Budgets, t.bookkeeper, t.Log
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := budgets.Close(ctx, member, in); err != nil {
			// The bookkeeper charges the full reservation.
			log.Log(eventTurnUnsettled, "Request", in.Turn, "Program", in.Program, "Cause", err)
		}
	}()
}

// usedTokens returns the number of tokens forwarded to the caller.
func (t *turn) usedTokens() int64 {
	return int64(t.eventCount) * int64(t.table.Services[t.service].TokensPerEvent)
}

// run sends the turn to an endpoint and forwards its events. An interrupted stream
// is resumed after the last forwarded event if the route allows it.
func (t *turn) run() {
	t.lastEvent, t.ranAt = t.call.LastEvent, map[string]bool{}
	attempted := map[string]bool{}
	sent, failedConnects := 0, 0
	var resumeAt *registrar.Candidate
	var failure failedAttempts
	var passedOnAt time.Time
	for {
		if t.suspicion().Left > 0 {
			failure.addUnplaced(errQuarantined)
			t.fail(failure)
			return
		}
		c, err := t.chooseEndpoint(attempted, resumeAt)
		if err != nil {
			failure.addUnplaced(err)
			t.fail(failure)
			return
		}
		if !t.mayPassOn(t.isHeadWritten) {
			failure.addUnplaced(errStopping)
			t.fail(failure)
			return
		}
		if t.lastEvent.IsSet && t.hasRestarted(c) {
			attempted[c.ID] = true
			continue
		}
		if passedOnAt.IsZero() {
			passedOnAt = time.Now()
		}
		err = t.relay(c)
		if err == nil {
			t.finish()
			if t.access.outcome == "Served" {
				t.durations.Record(t.service, t.route.Name, time.Since(passedOnAt))
			}
			return
		}
		failure.add(err)
		if errors.Is(err, sender.ErrNotSent) {
			attempted[c.ID] = true
			if failedConnects++; failedConnects < maxFailedConnects && t.ctx.Err() == nil && !t.isHeadWritten {
				continue
			}
			t.fail(failure)
			return
		}
		sent++
		isNotRun := errors.Is(err, errNotRun)
		if !isNotRun {
			t.ranAt[c.ID] = true
		}
		mayContinue := t.ctx.Err() == nil && sent <= maxResumes && !errors.Is(err, errCallerDisconnected)
		switch {
		case mayContinue && isNotRun && !t.isHeadWritten && sent < t.route.MaxAttempts:
			attempted[c.ID] = true
			resumeAt = nil
		case mayContinue && !isNotRun && t.route.Resumable && !t.hasUnnamed && !t.hasFallen && !t.mayBeCause() && t.isOriginKnown():
			resumeAt = &c
		default:
			t.fail(failure)
			return
		}
		t.Metrics.CountRetry(failureReason(err))
		t.Log.Log(eventRetried, "Request", t.call.ID, "Program", t.call.Program, "Endpoint", c.ID,
			"EndpointVersion", c.Version, "Key", t.access.key, "Reason", failureReason(err), "Cause", err, "LastEvent", t.lastEvent)
	}
}

// chooseEndpoint chooses the endpoint for the turn. An interrupted stream resumes
// at resumeAt while that endpoint accepts requests: it has the prompt in its cache. It goes on
// elsewhere only within the route's limit on attempts.
func (t *turn) chooseEndpoint(excluded map[string]bool, resumeAt *registrar.Candidate) (registrar.Candidate, error) {
	maxWait := maxPermitWait
	if t.isFirst {
		maxWait = maxFirstPermitWait
	}
	if resumeAt == nil {
		if c, isPlaced := t.placeSoonest(t.work(), t.origin, excluded); isPlaced {
			return c, nil
		}
	} else if t.isReachable(*resumeAt, excluded) {
		same := slices.DeleteFunc(t.exchange.candidates(excluded), func(c registrar.Candidate) bool {
			return c.ID != resumeAt.ID || c.Version != resumeAt.Version
		})
		mayMove := len(t.ranAt) < t.route.MaxAttempts
		wait := maxWait
		if mayMove {
			wait = 0
		}
		c, err := t.place(same, wait, func(same []registrar.Candidate) int { return len(same) - 1 })
		if err == nil || !mayMove {
			return c, err
		}
	}
	return t.place(t.candidates(excluded), maxWait, func(candidates []registrar.Candidate) int {
		if t.suspicion().Crashes > 0 {
			return chooser.ForSuspect(t.request().Key.String(), candidates)
		}
		return chooser.ForTurn(chooser.Turn{
			Key: t.placementKey(), Home: t.home, DataCentre: t.DataCentre,
			SharedPart: t.call.SharedPart, SharedTokens: t.call.SharedTokens,
		}, candidates, t.Policy.Margin)
	})
}

// isReachable reports whether the endpoint, at which the turn may have run, has neither ended nor
// left, and is not cut off from this instance.
func (t *turn) isReachable(c registrar.Candidate, excluded map[string]bool) bool {
	return !excluded[c.ID] && t.Endpoints.Accepts(c.Endpoint) && !t.Paths.IsDetour(c.Endpoint)
}

// errCallerDisconnected means that writing to the caller failed.
var errCallerDisconnected = errors.New("caller disconnected")

// relay sends the turn to the endpoint and forwards its response. It returns nil
// if the response is complete.
func (t *turn) relay(c registrar.Candidate) (err error) {
	t.Endpoints.Begin(c.ID)
	t.attempt = attempt{isPartial: t.lastEvent.IsSet}
	start, outcome := time.Now(), registrar.Failed
	end := sync.OnceFunc(func() { t.Endpoints.End(c.ID, outcome) })
	defer func() {
		end()
		t.recordBreak(c, start, err)
	}()
	dispatch := Dispatch{Timeout: t.timeLeft(), Priority: t.rank(), LastEvent: t.lastEvent}
	response, err := t.send(t.ctx, c, dispatch, t.prompt)
	if err != nil {
		if t.ctx.Err() != nil {
			outcome = timeoutOutcome(time.Since(start), c)
		}
		return err
	}
	defer response.Close()
	head := t.decodeHead(c, start, response)
	switch {
	case head.IsNotRun:
		outcome = registrar.Neutral
		return errNotRun
	case response.Status >= http.StatusMultipleChoices:
		if outcome = turnOutcome(response.Status); outcome == registrar.Failed {
			t.failedAt = c.ID
		}
		if err = t.forwardFailure(response, end); err == nil {
			t.recordServed()
		}
		return err
	case !head.IsSigned, t.isHeadWritten && !isEventStream(response):
		return errInvalidResponse
	}
	err = t.forwardEvents(c, response)
	switch {
	case err == nil:
		outcome = registrar.Served
		t.recordServed()
		t.recordAttempt(c, start, head)
	case t.ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
		outcome = registrar.Neutral
	}
	return err
}

// forwardFailure forwards an endpoint's error response. The outcome is recorded by end, and the
// turn settled, before the caller has the response: it may repeat the turn at once.
func (t *turn) forwardFailure(response *sender.Response, end func()) error {
	reservation := t.responses.reservation().waitFor(t.ctx)
	defer reservation.release()
	body, err := readResponse(response, reservation)
	if err != nil {
		return err
	}
	if t.isHeadWritten {
		return errInvalidResponse
	}
	end()
	t.settle()
	t.isHeadWritten = true
	t.Dialect.EncodeResponse(response.Header, t.writer.Header())
	t.writer.WriteHeader(response.Status)
	t.access.outcome, t.access.status = "EndpointFailure", response.Status
	if _, err := t.writer.Write(body); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// finish records a retained turn before its response ends.
func (t *turn) finish() {
	if t.access.outcome != "" {
		return // An error response was forwarded; there is nothing to record.
	}
	t.access.outcome = "Served"
	if !t.isHeadWritten {
		t.fail(failedAttempts{mayHaveRun: true, err: io.ErrUnexpectedEOF})
		return
	}
	t.recordEnd()
	if !t.route.Retained || t.call.ID == "" {
		t.completeResponse()
		return
	}
	retention := t.route.Retention
	if retention <= 0 {
		retention = pruner.DefaultRetention
	}
	record := transcriber.Next(t.previous, t.prompt[:len(t.prompt)-len(t.body)], transcriber.Continuation{
		ID: t.call.ID, Account: t.accountName(), Input: t.body, Output: t.output, WrittenAt: time.Now(), Retention: retention,
	})
	t.settle()
	start := time.Now()
	out, err := t.Budgets.Record(t.ctx, bookkeeper.CloseRequest{
		Record: record, Retention: retention, Wait: min(maxRecordWait, t.timeLeft()),
	})
	t.access.recordTime = time.Since(start)
	if err != nil || out.Status != bookkeeper.OK {
		t.abort("NotRecorded", err)
	}
	t.completeResponse()
	t.Transcripts.Cache(record)
}

// fail refuses a turn that cannot be completed, or closes the connection if a part
// of the response was sent.
func (t *turn) fail(failure failedAttempts) {
	switch {
	case errors.Is(failure.err, errCallerDisconnected):
		t.abort("Canceled", failure.err)
	case t.isHeadWritten && t.isAnswerTimeOver():
		t.abort("Stopped", failure.err)
	case t.isHeadWritten && !t.isCallerDisconnected():
		t.abort("BrokenOff", failure.err)
	default:
		t.refuseFailed(failure)
	}
}
