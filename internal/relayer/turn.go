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
	// leastService is the time that a turn usually needs at an endpoint; what is
	// left of the caller's time beyond it may be spent on a reservation.
	leastService = 500 * time.Millisecond
	// holdMost is how long a turn is held for the store before it is sent:
	// callers give a silent stream up after two seconds and then take it for
	// failed, while a refusal lets them come back.
	holdMost = 1800 * time.Millisecond
	// transcriptPause is the time between two reads of a transcript.
	transcriptPause = 50 * time.Millisecond
	// recordWait is how long the end of a retained turn is held back for its
	// record; callers give a silent stream up after two seconds.
	recordWait = 1900 * time.Millisecond
	// settleWait bounds the settlement of a turn whose caller is gone.
	settleWait = 2 * time.Second
	// maxResumes bounds how often one stream is taken up again.
	maxResumes = 3
)

// turn is the state of one turn.
type turn struct {
	*exchange
	keeper   discoverer.Member
	isOpen   bool
	first    bool
	previous *transcriber.Turn
	prompt   []byte
	// output is what a retained turn generated.
	output []byte
	events int
	// lastEvent is the number of the last event that was passed on.
	lastEvent int64
	isBegun   bool
}

func (x *exchange) serveTurn() {
	t := &turn{exchange: x, first: x.call.PreviousTurn == "", prompt: x.body}
	defer t.settle()
	if !t.prepare() {
		return
	}
	candidates := x.candidates(nil)
	if len(candidates) == 0 {
		x.refuse(answerer.New(answerer.NoEndpoint, "the service has no endpoint").After(min(retrySoon, x.left()/3)), "NoEndpoint")
		return
	}
	decision := admitter.Admit(x.Policy.Admission, admitter.Turn{First: t.first, Left: x.left(), LimitSample: chance(), RetrySample: chance()}, candidates)
	x.story.mean = decision.Mean
	if !decision.Admitted {
		x.refuse(answerer.New(answerer.Overloaded, "the engines are full").After(decision.RetryAfter), "NewProgram")
		return
	}
	t.run()
}

// prepare opens the books and reads the transcript, both at once.
func (t *turn) prepare() bool {
	opened := make(chan error, 1)
	go func() { opened <- t.open() }()
	var err error
	if t.route.Retained && t.call.PreviousTurn != "" {
		err = t.readTranscript()
	}
	openErr := <-opened
	switch {
	case t.isCallerGone():
		t.abort("Canceled", err)
	case errors.Is(err, transcriber.ErrTurnNotFound):
		t.refuse(answerer.New(answerer.NotFound, "there is no turn %s", t.call.PreviousTurn), "NoTurn")
		return false
	case err != nil:
		t.refuse(answerer.Wrap(answerer.StoreUnavailable, err, "the transcript cannot be read").After(t.storeRetry()), "Transcript")
		return false
	case openErr != nil:
		t.refuse(answerer.As(openErr), "Books")
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
		if errors.Is(err, transcriber.ErrTurnNotFound) || t.hold() == 0 {
			return err
		}
		timer := time.NewTimer(transcriptPause)
		select {
		case <-t.ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
}

// hold is how much longer the turn may wait for the store. What comes too late
// for an answer is not waited for. A caller with little time gives half of it,
// unless the store is known to be out of reach.
func (t *turn) hold() time.Duration {
	whole := t.until.Sub(t.arrived)
	most := whole - leastService
	if !t.IsStoreUnreachable() {
		most = max(most, whole/2)
	}
	return max(min(most, holdMost)-time.Since(t.arrived), 0)
}

// open reserves the turn's tokens.
func (t *turn) open() error {
	if t.call.Budget <= 0 {
		return nil
	}
	out, keeper, err := t.Budgets.Open(t.ctx, bookkeeper.OpenRequest{
		Program: t.call.Program, Turn: t.call.ID, Tokens: t.call.MaxTokens, Budget: t.call.Budget, Wait: t.hold(),
	})
	t.keeper = keeper
	switch {
	case err != nil:
		return answerer.Wrap(answerer.StoreUnavailable, err, "the books cannot be reached").After(t.storeRetry())
	case out.Status == bookkeeper.Exhausted:
		return answerer.Wrap(answerer.BudgetExhausted,
			eris.Errorf("%d tokens used, %d reserved, %d granted elsewhere, %d asked for",
				out.Used, out.Reserved, out.GrantedElsewhere, t.call.MaxTokens),
			"the budget of %d tokens is spent", t.call.Budget)
	case out.Status != bookkeeper.OK:
		return answerer.New(answerer.StoreUnavailable, "the reservation cannot be recorded").After(t.storeRetry())
	}
	t.isOpen, t.first = true, !out.HasStarted
	return nil
}

// storeRetry is when a caller may come back that needs the store: outages last
// seconds, so late within what the caller accepts.
func (t *turn) storeRetry() time.Duration { return t.left() / 3 }

// settle gives back what the turn did not use, unless finish did.
func (t *turn) settle() {
	if !t.isOpen {
		return
	}
	t.isOpen = false
	in := bookkeeper.CloseRequest{Program: t.call.Program, Turn: t.call.ID, Used: t.used(), Wait: settleWait}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleWait)
		defer cancel()
		if _, err := t.Budgets.Close(ctx, t.keeper, in); err != nil {
			// The bookkeeper settles it at its most.
			t.Log.Log(eventUnsettled, "Request", t.call.ID, "Program", t.call.Program, "Cause", err)
		}
	}()
}

// used is what the turn handed out, in tokens.
func (t *turn) used() int64 {
	return int64(t.events) * int64(t.table.Services[t.service].TokensPerEvent)
}

// run sends the turn and passes its events on; a resumable stream that breaks
// off goes on where it broke.
func (t *turn) run() {
	t.lastEvent = t.call.LastEventID
	tried := map[string]bool{}
	sent, dials := 0, 0
	var resumeAt *registrar.Candidate
	for {
		c, ok := t.place(tried, resumeAt)
		if !ok {
			t.giveUp(nil)
			return
		}
		err := t.relay(c)
		if err == nil {
			t.finish()
			return
		}
		if errors.Is(err, sender.ErrNotSent) {
			tried[c.ID] = true
			if dials++; dials < maxDials && t.ctx.Err() == nil && !t.isBegun {
				continue
			}
			t.giveUp(err)
			return
		}
		sent++
		isNotRun := errors.Is(err, errNotRun)
		mayGoOn := t.ctx.Err() == nil && sent <= maxResumes && !errors.Is(err, errCaller)
		switch {
		case mayGoOn && isNotRun && !t.isBegun && sent < t.route.MaxAttempts:
			tried[c.ID] = true
			resumeAt = nil
		case mayGoOn && !isNotRun && t.route.Resumable:
			resumeAt = &c
		default:
			t.giveUp(err)
			return
		}
		t.Metrics.CountRetry(reasonOf(err))
		t.Log.Log(eventRetried, "Request", t.call.ID, "Program", t.call.Program, "Endpoint", c.ID,
			"Reason", reasonOf(err), "Cause", err, "LastEvent", t.lastEvent)
	}
}

// place chooses where the turn goes. A stream goes on at the endpoint that broke
// it off, which has its prompt and keeps to the route's attempts; at another one
// only if that endpoint is gone.
func (t *turn) place(tried map[string]bool, resumeAt *registrar.Candidate) (registrar.Candidate, bool) {
	if resumeAt != nil && t.Endpoints.IsRegistered(resumeAt.Endpoint) {
		return *resumeAt, true
	}
	candidates := t.candidates(tried)
	i := chooser.ForProgram(t.key(), candidates, t.Policy.Margin)
	if i < 0 {
		return registrar.Candidate{}, false
	}
	return candidates[i], true
}

// errCaller means that the caller took no more of the answer.
var errCaller = errors.New("the caller is gone")

// relay sends the turn to the endpoint and passes its events on. It returns nil
// if the stream ended as it should.
func (t *turn) relay(c registrar.Candidate) error {
	t.Endpoints.Begin(c.ID)
	begun, outcome := time.Now(), registrar.Failed
	defer func() { t.Endpoints.End(c.ID, outcome) }()
	dispatch := Dispatch{Timeout: t.left(), Priority: admitter.Priority(t.route.Priority, t.first, t.call.IsPastDeadline()), LastEventID: t.lastEvent}
	answer, err := t.send(t.ctx, c, dispatch, t.prompt)
	if err != nil {
		if t.ctx.Err() != nil {
			outcome = judgeSilence(time.Since(begun), c)
		}
		return err
	}
	defer answer.Close()
	head := t.Dialect.DecodeResponseHead(answer.Status, answer.Header)
	if head.Load != nil {
		t.Endpoints.Report(c.ID, *head.Load)
	}
	switch {
	case head.IsNotRun:
		outcome = registrar.Neutral
		return errNotRun
	case answer.Status >= http.StatusMultipleChoices:
		outcome = judgeTurn(answer.Status)
		return t.passFailure(answer)
	case !head.IsSigned:
		return errNotOurs
	}
	err = t.passEvents(answer)
	switch {
	case err == nil:
		outcome = registrar.Served
	case t.ctx.Err() != nil || errors.Is(err, errCaller):
		outcome = registrar.Neutral
	}
	return err
}

// passEvents passes the events on as they arrive.
func (t *turn) passEvents(answer *sender.Response) error {
	events := splitter.New(answer.Body)
	controller := http.NewResponseController(t.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if event.ID > 0 && event.ID <= t.lastEvent {
			continue // A resumed stream may repeat what was passed on.
		}
		if event.ID > 0 && t.lastEvent > 0 && event.ID != t.lastEvent+1 {
			return errNotOurs
		}
		t.begin(answer)
		if _, err := t.writer.Write(event.Raw); err != nil {
			return errors.Join(errCaller, err)
		}
		t.events++
		if event.ID > 0 {
			t.lastEvent = event.ID
		}
		if t.route.Retained {
			t.output = append(append(t.output, event.Data...), '\n')
		}
		if err := controller.Flush(); err != nil {
			return errors.Join(errCaller, err)
		}
	}
}

// begin writes the head of the answer, which is that of the first endpoint.
func (t *turn) begin(answer *sender.Response) {
	if t.isBegun {
		return
	}
	t.isBegun = true
	t.story.first = time.Since(t.arrived)
	t.Metrics.ObserveFirstEvent(t.story.first)
	t.Dialect.EncodeResponse(answer.Header, t.writer.Header())
	t.writer.WriteHeader(answer.Status)
	t.story.status = answer.Status
}

// passFailure passes an endpoint's own failure on.
func (t *turn) passFailure(answer *sender.Response) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerBytes))
	if err != nil {
		return err
	}
	if t.isBegun {
		return errNotOurs
	}
	t.isBegun = true
	t.Dialect.EncodeResponse(answer.Header, t.writer.Header())
	t.writer.WriteHeader(answer.Status)
	t.story.outcome, t.story.status = "EndpointFailure", answer.Status
	if _, err := t.writer.Write(body); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// finish records a retained turn before its answer ends.
func (t *turn) finish() {
	if t.story.outcome != "" {
		return // An endpoint's failure was passed on; there is nothing to record.
	}
	t.story.outcome = "Served"
	if !t.isBegun {
		t.giveUp(io.ErrUnexpectedEOF)
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
	keeper := t.keeper
	t.isOpen = false
	start := time.Now()
	out, err := t.Budgets.Close(t.ctx, keeper, bookkeeper.CloseRequest{
		Program: t.call.Program, Turn: t.call.ID, Used: t.used(), Record: record, Retention: retention, Wait: min(recordWait, t.left()),
	})
	t.story.held = time.Since(start)
	if err != nil || out.Status != bookkeeper.OK {
		t.abort("NotRecorded", err)
	}
	t.Transcripts.Cache(record)
}

// giveUp ends a turn that cannot be completed.
func (t *turn) giveUp(err error) {
	switch {
	case errors.Is(err, errCaller) || t.isCallerGone():
		t.abort("Canceled", err)
	case t.isBegun:
		t.abort("BrokenOff", err)
	case err == nil || errors.Is(err, sender.ErrNotSent) || errors.Is(err, errNotRun):
		t.refuseUnserved(err)
	default:
		t.refuseRun(err)
	}
}
