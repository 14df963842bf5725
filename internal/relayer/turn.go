package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/pruner"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/sender"
	"github.com/wigeonstand/wigeonstand/internal/splitter"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

const (
	// minServiceTime is the time that a turn usually needs at an endpoint; what is
	// left of the caller's time beyond it may be spent on a reservation.
	minServiceTime = 500 * time.Millisecond
	// maxStoreWait is how long a turn is held for the store before it is sent:
	// callers give a silent stream up after two seconds and then take it for
	// failed, while a refusal lets them come back.
	maxStoreWait = 1800 * time.Millisecond
	// transcriptRetryInterval is the time between two reads of a transcript.
	transcriptRetryInterval = 50 * time.Millisecond
	// maxRecordWait is how long the end of a retained turn is held back for its
	// record; callers give a silent stream up after two seconds.
	maxRecordWait = 1900 * time.Millisecond
	// settleTimeout bounds the settlement of a turn whose caller is gone.
	settleTimeout = 2 * time.Second
	// maxResumes bounds how often one stream is taken up again.
	maxResumes = 3
)

// turn is the state of one turn.
type turn struct {
	*exchange
	bookkeeper discoverer.Member
	isReserved bool
	isFirst    bool
	previous   *transcriber.Turn
	prompt     []byte
	// output is what a retained turn generated.
	output     []byte
	eventCount int
	// lastEventID is the number of the last event that was passed on.
	lastEventID   int64
	isHeadWritten bool
}

func (x *exchange) serveTurn() {
	t := &turn{exchange: x, isFirst: x.call.PreviousTurn == "", prompt: x.body}
	defer t.settle()
	if !t.prepare() {
		return
	}
	candidates := x.candidates(nil)
	if len(candidates) == 0 {
		x.refuse(answerer.New(answerer.NoEndpoint, "the service has no endpoint").After(min(shortRetryAfter, x.timeLeft()/3)), "NoEndpoint")
		return
	}
	decision := admitter.Admit(x.Policy.Admission, admitter.Turn{First: t.isFirst, Left: x.timeLeft(), LimitSample: randomFraction(), RetrySample: randomFraction()}, candidates)
	x.access.meanLoad = decision.Mean
	if !decision.Admitted {
		x.refuse(answerer.New(answerer.Overloaded, "the engines are full").After(decision.RetryAfter), "NewProgram")
		return
	}
	t.run()
}

// prepare opens the books and reads the transcript, both at once.
func (t *turn) prepare() bool {
	reserved := make(chan error, 1)
	go func() { reserved <- t.reserve() }()
	var err error
	if t.route.Retained && t.call.PreviousTurn != "" {
		err = t.readTranscript()
	}
	reserveErr := <-reserved
	switch {
	case t.isCallerDisconnected():
		t.abort("Canceled", err)
	case errors.Is(err, transcriber.ErrTurnNotFound):
		t.refuse(answerer.New(answerer.NotFound, "there is no turn %s", t.call.PreviousTurn), "NoTurn")
		return false
	case err != nil:
		t.refuse(answerer.Wrap(answerer.StoreUnavailable, err, "the transcript cannot be read").After(t.storeRetryAfter()), "Transcript")
		return false
	case reserveErr != nil:
		t.refuse(answerer.As(reserveErr), "Books")
		return false
	}
	return true
}

// readTranscript reads what precedes the turn, again while the store does not
// answer and the turn can still be served.
func (t *turn) readTranscript() error {
	for {
		previous, text, err := t.Transcripts.Transcript(t.ctx, t.call.PreviousTurn)
		if err == nil {
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

// storeWait is how much longer the turn may wait for the store. What comes too late
// for an answer is not waited for. A caller with little time gives half of it,
// unless the store is known to be out of reach.
func (t *turn) storeWait() time.Duration {
	total := t.deadline.Sub(t.arrival)
	limit := total - minServiceTime
	if !t.IsStoreUnreachable() {
		limit = max(limit, total/2)
	}
	return max(min(limit, maxStoreWait)-time.Since(t.arrival), 0)
}

// reserve reserves the turn's tokens.
func (t *turn) reserve() error {
	if t.call.Budget <= 0 {
		return nil
	}
	out, member, err := t.Budgets.Open(t.ctx, bookkeeper.OpenRequest{
		Program: t.call.Program, Turn: t.call.ID, Tokens: t.call.MaxTokens, Budget: t.call.Budget, Wait: t.storeWait(),
	})
	t.bookkeeper = member
	switch {
	case err != nil:
		return answerer.Wrap(answerer.StoreUnavailable, err, "the books cannot be reached").After(t.storeRetryAfter())
	case out.Status == bookkeeper.Exhausted:
		return answerer.Wrap(answerer.BudgetExhausted,
			eris.Errorf("%d tokens used, %d reserved, %d granted elsewhere, %d asked for",
				out.Used, out.Reserved, out.GrantedElsewhere, t.call.MaxTokens),
			"the budget of %d tokens is spent", t.call.Budget)
	case out.Status != bookkeeper.OK:
		return answerer.New(answerer.StoreUnavailable, "the reservation cannot be recorded").After(t.storeRetryAfter())
	}
	t.isReserved, t.isFirst = true, !out.HasStarted
	return nil
}

// storeRetryAfter is when a caller may come back that needs the store: outages last
// seconds, so late within what the caller accepts.
func (t *turn) storeRetryAfter() time.Duration { return t.timeLeft() / 3 }

// settle gives back what the turn did not use, unless finish did.
func (t *turn) settle() {
	if !t.isReserved {
		return
	}
	t.isReserved = false
	in := bookkeeper.CloseRequest{Program: t.call.Program, Turn: t.call.ID, Used: t.usedTokens(), Wait: settleTimeout}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if _, err := t.Budgets.Close(ctx, t.bookkeeper, in); err != nil {
			// The bookkeeper settles it at its most.
			t.Log.Log(eventTurnUnsettled, "Request", t.call.ID, "Program", t.call.Program, "Cause", err)
		}
	}()
}

// usedTokens is what the turn handed out, in tokens.
func (t *turn) usedTokens() int64 {
	return int64(t.eventCount) * int64(t.table.Services[t.service].TokensPerEvent)
}

// run sends the turn and passes its events on; a resumable stream that breaks
// off goes on where it broke.
func (t *turn) run() {
	t.lastEventID = t.call.LastEventID
	attempted := map[string]bool{}
	sent, failedConnects := 0, 0
	var resumeAt *registrar.Candidate
	for {
		c, ok := t.chooseEndpoint(attempted, resumeAt)
		if !ok {
			t.fail(nil)
			return
		}
		err := t.relay(c)
		if err == nil {
			t.finish()
			return
		}
		if errors.Is(err, sender.ErrNotSent) {
			attempted[c.ID] = true
			if failedConnects++; failedConnects < maxFailedConnects && t.ctx.Err() == nil && !t.isHeadWritten {
				continue
			}
			t.fail(err)
			return
		}
		sent++
		isNotRun := errors.Is(err, errNotRun)
		mayContinue := t.ctx.Err() == nil && sent <= maxResumes && !errors.Is(err, errCallerDisconnected)
		switch {
		case mayContinue && isNotRun && !t.isHeadWritten && sent < t.route.MaxAttempts:
			attempted[c.ID] = true
			resumeAt = nil
		case mayContinue && !isNotRun && t.route.Resumable:
			resumeAt = &c
		default:
			t.fail(err)
			return
		}
		t.Metrics.CountRetry(failureReason(err))
		t.Log.Log(eventRetried, "Request", t.call.ID, "Program", t.call.Program, "Endpoint", c.ID,
			"Reason", failureReason(err), "Cause", err, "LastEvent", t.lastEventID)
	}
}

// chooseEndpoint chooses where the turn goes. A stream goes on at the endpoint that broke
// it off, which has its prompt and keeps to the route's attempts; at another one
// only if that endpoint is gone.
func (t *turn) chooseEndpoint(excluded map[string]bool, resumeAt *registrar.Candidate) (registrar.Candidate, bool) {
	if resumeAt != nil && t.Endpoints.IsRegistered(resumeAt.Endpoint) {
		return *resumeAt, true
	}
	candidates := t.candidates(excluded)
	i := chooser.ForProgram(t.placementKey(), candidates, t.Policy.Margin)
	if i < 0 {
		return registrar.Candidate{}, false
	}
	return candidates[i], true
}

// errCallerDisconnected means that the caller took no more of the answer.
var errCallerDisconnected = errors.New("the caller is gone")

// relay sends the turn to the endpoint and passes its events on. It returns nil
// if the stream ended as it should.
func (t *turn) relay(c registrar.Candidate) error {
	t.Endpoints.Begin(c.ID)
	start, outcome := time.Now(), registrar.Failed
	defer func() { t.Endpoints.End(c.ID, outcome) }()
	dispatch := Dispatch{Timeout: t.timeLeft(), Priority: admitter.Priority(t.route.Priority, t.isFirst, t.call.IsPastDeadline()), LastEventID: t.lastEventID}
	response, err := t.send(t.ctx, c, dispatch, t.prompt)
	if err != nil {
		if t.ctx.Err() != nil {
			outcome = timeoutOutcome(time.Since(start), c)
		}
		return err
	}
	defer response.Close()
	head := t.Dialect.DecodeResponseHead(response.Status, response.Header)
	if head.Load != nil {
		t.Endpoints.Report(c.ID, *head.Load)
	}
	switch {
	case head.IsNotRun:
		outcome = registrar.Neutral
		return errNotRun
	case response.Status >= http.StatusMultipleChoices:
		outcome = turnOutcome(response.Status)
		return t.forwardFailure(response)
	case !head.IsSigned:
		return errInvalidResponse
	}
	err = t.forwardEvents(response)
	switch {
	case err == nil:
		outcome = registrar.Served
	case t.ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
		outcome = registrar.Neutral
	}
	return err
}

// forwardEvents passes the events on as they arrive.
func (t *turn) forwardEvents(response *sender.Response) error {
	events := splitter.New(response.Body)
	controller := http.NewResponseController(t.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if event.ID > 0 && event.ID <= t.lastEventID {
			continue // A resumed stream may repeat what was passed on.
		}
		if event.ID > 0 && t.lastEventID > 0 && event.ID != t.lastEventID+1 {
			return errInvalidResponse
		}
		t.writeHead(response)
		if _, err := t.writer.Write(event.Raw); err != nil {
			return errors.Join(errCallerDisconnected, err)
		}
		t.eventCount++
		if event.ID > 0 {
			t.lastEventID = event.ID
		}
		if t.route.Retained {
			t.output = append(append(t.output, event.Data...), '\n')
		}
		if err := controller.Flush(); err != nil {
			return errors.Join(errCallerDisconnected, err)
		}
	}
}

// writeHead writes the head of the answer, which is that of the first endpoint.
func (t *turn) writeHead(response *sender.Response) {
	if t.isHeadWritten {
		return
	}
	t.isHeadWritten = true
	t.access.firstEvent = time.Since(t.arrival)
	t.Metrics.ObserveFirstEvent(t.access.firstEvent)
	t.Dialect.EncodeResponse(response.Header, t.writer.Header())
	t.writer.WriteHeader(response.Status)
	t.access.status = response.Status
}

// forwardFailure passes an endpoint's own failure on.
func (t *turn) forwardFailure(response *sender.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return err
	}
	if t.isHeadWritten {
		return errInvalidResponse
	}
	t.isHeadWritten = true
	t.Dialect.EncodeResponse(response.Header, t.writer.Header())
	t.writer.WriteHeader(response.Status)
	t.access.outcome, t.access.status = "EndpointFailure", response.Status
	if _, err := t.writer.Write(body); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// finish records a retained turn before its answer ends.
func (t *turn) finish() {
	if t.access.outcome != "" {
		return // An endpoint's failure was passed on; there is nothing to record.
	}
	t.access.outcome = "Served"
	if !t.isHeadWritten {
		t.fail(io.ErrUnexpectedEOF)
		return
	}
	if !t.route.Retained || t.call.ID == "" {
		return
	}
	retention := t.route.Retention
	if retention <= 0 {
		retention = pruner.DefaultRetention
	}
	record := transcriber.Next(t.previous, t.prompt[:len(t.prompt)-len(t.body)], transcriber.Continuation{
		ID: t.call.ID, Input: t.body, Output: t.output, WrittenAt: time.Now(), Retention: retention,
	})
	member := t.bookkeeper
	t.isReserved = false
	start := time.Now()
	out, err := t.Budgets.Close(t.ctx, member, bookkeeper.CloseRequest{
		Program: t.call.Program, Turn: t.call.ID, Used: t.usedTokens(), Record: record, Retention: retention, Wait: min(maxRecordWait, t.timeLeft()),
	})
	t.access.recordTime = time.Since(start)
	if err != nil || out.Status != bookkeeper.OK {
		t.abort("NotRecorded", err)
	}
	t.Transcripts.Cache(record)
}

// fail ends a turn that cannot be completed.
func (t *turn) fail(err error) {
	switch {
	case errors.Is(err, errCallerDisconnected) || t.isCallerDisconnected():
		t.abort("Canceled", err)
	case t.isHeadWritten:
		t.abort("BrokenOff", err)
	case err == nil || errors.Is(err, sender.ErrNotSent) || errors.Is(err, errNotRun):
		t.refuseUnserved(err)
	default:
		t.refuseMaybeRun(err)
	}
}
