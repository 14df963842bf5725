package executor

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// carryOut does what the core decided, in order; what takes time runs beside
// the actor and reports back with an event.
func (o *Executor) carryOut(actions []decider.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decider.Append:
			o.append(a)
		case decider.Answer:
			o.answer(a)
		case decider.Generate:
			o.startGenerate(a)
		case decider.CancelGenerate:
			o.work.Go(func() { o.cancelGenerate(a) })
		case decider.Invoke:
			o.work.Go(func() { o.invoke(a) })
		case decider.QueryStatus:
			o.work.Go(func() { o.askStatus(a) })
		case decider.ReleaseMemory:
			o.work.Go(func() { o.releaseMemory(a) })
		case decider.DrawEscrow:
			o.work.Go(func() { o.draw(a) })
		case decider.ShardReleased:
			o.shardGone(a.Shard)
		case decider.CountRetry:
			o.meter.Retries.WithLabelValues(a.Reason, a.Target).Inc()
		}
	}
}

func (o *Executor) append(a decider.Append) {
	sequence := o.journal.Append(a.Entries)
	o.tickets = append(o.tickets, ticket{number: a.Ticket, sequence: sequence})
}

func (o *Executor) answer(a decider.Answer) {
	if w := o.waiter(a.Request); w != nil {
		w.reply <- a
	}
}

func (o *Executor) shardGone(shard int) {
	for _, gone := range o.leaving[shard] {
		close(gone)
	}
	delete(o.leaving, shard)
}

// startGenerate registers the attempt before it runs, so that a cancel finds it.
func (o *Executor) startGenerate(a decider.Generate) {
	ctx, cancel := context.WithCancel(o.ctx)
	o.mu.Lock()
	o.attempts[a.Attempt] = cancel
	o.mu.Unlock()
	o.work.Go(func() { o.generate(ctx, a) })
}

func (o *Executor) generate(ctx context.Context, a decider.Generate) {
	defer o.endAttempt(a.Attempt)
	endpoint := o.current().Endpoints[a.Endpoint]
	if endpoint == nil {
		o.Send(decider.GenerateFailed{Attempt: a.Attempt, Cause: decider.CauseNotSent})
		return
	}
	began := time.Now()
	text, usage, err := o.endpoints.Generate(ctx, endpoint, a.Request, o.newRelay(a))
	o.observer.RecordResult(a.Endpoint, time.Since(began), err)
	if err == nil {
		o.countTokens(usage)
		o.Send(decider.GenerateCompleted{Attempt: a.Attempt, Text: text, Usage: usage})
		return
	}
	o.generateFailed(a, err)
}

func (o *Executor) generateFailed(a decider.Generate, err error) {
	failed := decider.GenerateFailed{Attempt: a.Attempt, Cause: decider.CauseFailed}
	var failure *dispatcher.Failure
	if errors.As(err, &failure) {
		failed.Cause = causeOf(failure.Reason)
		failed.Offset = failure.Offset
		failed.Text = failure.Text
		if failure.Usage.Total() > 0 {
			failed.Usage = &failure.Usage
		}
	}
	if failed.Cause != decider.CauseCanceled {
		o.log.Log(eventAttemptFailed, "Attempt", a.Attempt, "Program", a.Request.Program, "Endpoint", a.Endpoint, "Cause", err)
	}
	o.Send(failed)
}

func causeOf(reason dispatcher.Reason) decider.Cause {
	switch reason {
	case dispatcher.NotSent:
		return decider.CauseNotSent
	case dispatcher.Truncated:
		return decider.CauseTruncated
	case dispatcher.Silent:
		return decider.CauseSilent
	case dispatcher.Canceled:
		return decider.CauseCanceled
	}
	return decider.CauseFailed
}

func (o *Executor) countTokens(usage generator.Usage) {
	o.meter.Tokens.WithLabelValues("Prompt").Add(float64(usage.Prompt))
	o.meter.Tokens.WithLabelValues("Cached").Add(float64(usage.Cached))
	o.meter.Tokens.WithLabelValues("Generated").Add(float64(usage.Generated))
}

func (o *Executor) endAttempt(attempt string) {
	o.mu.Lock()
	cancel := o.attempts[attempt]
	delete(o.attempts, attempt)
	o.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// cancelGenerate asks the engine to stop and cuts the stream if it goes on.
func (o *Executor) cancelGenerate(a decider.CancelGenerate) {
	endpoint := o.current().Endpoints[a.Endpoint]
	if endpoint != nil {
		ctx, cancel := context.WithTimeout(o.ctx, settleTime)
		defer cancel()
		_ = o.endpoints.Cancel(ctx, endpoint, a.Attempt)
		o.pause(ctx, settleTime)
	}
	o.endAttempt(a.Attempt)
}

func (o *Executor) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (o *Executor) invoke(a decider.Invoke) {
	version := o.current()
	service, endpoint := version.Services[a.Service], version.Endpoints[a.Endpoint]
	if service == nil || endpoint == nil || (a.AtMostOnce && !o.confirmed()) {
		o.Send(decider.InvokeFailed{Attempt: a.Attempt, NotSent: true})
		return
	}
	began := time.Now()
	answer, err := o.endpoints.Call(o.ctx, service, endpoint, a.Call)
	o.observer.RecordResult(a.Endpoint, time.Since(began), err)
	if err == nil {
		o.Send(decider.InvokeCompleted{Attempt: a.Attempt, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
		return
	}
	reason := dispatcher.ReasonOf(err)
	o.log.Log(eventCallFailed, "Attempt", a.Attempt, "Service", a.Service, "Endpoint", a.Endpoint, "Cause", err)
	o.Send(decider.InvokeFailed{Attempt: a.Attempt, NotSent: reason == dispatcher.NotSent})
}

func (o *Executor) askStatus(a decider.QueryStatus) {
	version := o.current()
	service, endpoint := version.Services[a.Service], version.Endpoints[a.Endpoint]
	if service == nil || endpoint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, controlTimeout)
	defer cancel()
	answer, err := o.endpoints.Status(ctx, service, endpoint, a.Key)
	if err != nil {
		return
	}
	var state callState
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &state) != nil {
		return
	}
	o.Send(decider.StatusReceived{
		Business: a.Business, Key: a.Key, Done: state.State == stateDone, Status: answer.Status, Body: answer.Body,
	})
}

// callState is a service's answer to the question for a call's outcome.
type callState struct {
	// State is "Done" or "Absent".
	State string
}

const stateDone = "Done"

func (o *Executor) releaseMemory(a decider.ReleaseMemory) {
	endpoint := o.current().Endpoints[a.Endpoint]
	if endpoint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, controlTimeout)
	defer cancel()
	if err := o.endpoints.Release(ctx, endpoint, a.Program); err == nil {
		o.Send(decider.MemoryReleased(a))
	}
}

func (o *Executor) draw(a decider.DrawEscrow) {
	ctx, cancel := context.WithTimeout(o.ctx, controlTimeout)
	defer cancel()
	tokens, err := o.escrow.Draw(ctx, a.Business, a.Tokens, a.Limit)
	o.Send(decider.EscrowDrawn{Business: a.Business, Tokens: tokens, Failed: err != nil})
}

// relay passes an attempt's chunks to the caller and observes the gaps between them.
type relay struct {
	owner   *Executor
	attempt decider.Generate
	last    time.Time
}

func (o *Executor) newRelay(a decider.Generate) requester.Sink { return &relay{owner: o, attempt: a} }

// Chunk implements requester.Sink. It never waits for the caller.
func (r *relay) Chunk(chunk generator.Chunk) error {
	now := time.Now()
	if !r.last.IsZero() {
		r.owner.observer.RecordTokenGap(r.attempt.Endpoint, now.Sub(r.last))
	}
	r.last = now
	w := r.owner.waiter(r.attempt.Sink)
	if w == nil {
		return nil
	}
	w.first.Do(func() { r.owner.meter.FirstTokenSeconds.Observe(now.Sub(w.began).Seconds()) })
	if chunk.Done && chunk.Tokens == 0 && chunk.Text == "" {
		return nil
	}
	w.box.put(withoutEnd(chunk))
	return nil
}

// withoutEnd returns the chunk's tokens alone: the caller's stream ends with
// the committed turn, not with the engine's stream.
func withoutEnd(chunk generator.Chunk) generator.Chunk {
	chunk.Done, chunk.Usage = false, nil
	return chunk
}

type silentObserver struct{}

func (silentObserver) RecordResult(string, time.Duration, error) {}
func (silentObserver) RecordTokenGap(string, time.Duration)      {}

type noEscrow struct{}

func (noEscrow) Return(context.Context, string, int) error { return nil }

func (noEscrow) Draw(context.Context, string, int, int) (int, error) {
	return 0, errors.New("no escrow is configured")
}
