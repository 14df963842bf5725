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

// execute performs the actions in order. Requests run in goroutines of their own,
// so that they do not block the actor, and send their result as an event.
func (e *Executor) execute(actions []decider.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decider.Append:
			e.append(a)
		case decider.Answer:
			e.reply(a)
		case decider.Generate:
			e.startGenerate(a)
		case decider.CancelGenerate:
			e.tasks.Go(func() { e.cancelGenerate(a) })
		case decider.Invoke:
			e.tasks.Go(func() { e.invoke(a) })
		case decider.QueryStatus:
			e.tasks.Go(func() { e.queryStatus(a) })
		case decider.ReleaseMemory:
			e.tasks.Go(func() { e.releaseMemory(a) })
		case decider.DrawEscrow:
			e.tasks.Go(func() { e.drawEscrow(a) })
		case decider.ShardReleased:
			e.finishRelease(a.Shard)
		case decider.CountRetry:
			e.meter.Retries.WithLabelValues(a.Reason, a.Target).Inc()
		}
	}
}

func (e *Executor) append(a decider.Append) {
	sequence := e.journal.Append(a.Entries)
	e.tickets = append(e.tickets, ticket{number: a.Ticket, sequence: sequence})
}

func (e *Executor) reply(a decider.Answer) {
	if p := e.lookUp(a.Request); p != nil {
		p.reply <- a
	}
}

func (e *Executor) finishRelease(shard int) {
	for _, released := range e.releasing[shard] {
		close(released)
	}
	delete(e.releasing, shard)
}

// startGenerate registers the attempt before it starts, so that cancelAttempt finds it.
func (e *Executor) startGenerate(a decider.Generate) {
	ctx, cancel := context.WithCancel(e.ctx)
	e.mu.Lock()
	e.attempts[a.Attempt] = cancel
	e.mu.Unlock()
	e.tasks.Go(func() { e.generate(ctx, a) })
}

func (e *Executor) generate(ctx context.Context, a decider.Generate) {
	defer e.cancelAttempt(a.Attempt)
	endpoint := e.currentVersion().Endpoints[a.Endpoint]
	if endpoint == nil {
		e.Send(decider.GenerateFailed{Attempt: a.Attempt, Cause: decider.CauseNotSent})
		return
	}
	began := time.Now()
	text, usage, err := e.client.Generate(ctx, endpoint, a.Request, e.newRelay(a))
	e.observer.RecordResult(a.Endpoint, time.Since(began), err)
	if err == nil {
		e.countTokens(usage)
		e.Send(decider.GenerateCompleted{Attempt: a.Attempt, Text: text, Usage: usage})
		return
	}
	e.reportFailure(a, err)
}

func (e *Executor) reportFailure(a decider.Generate, err error) {
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
		e.log.Log(eventAttemptFailed, "Attempt", a.Attempt, "Program", a.Request.Program, "Endpoint", a.Endpoint, "Cause", err)
	}
	e.Send(failed)
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

func (e *Executor) countTokens(usage generator.Usage) {
	e.meter.Tokens.WithLabelValues("Prompt").Add(float64(usage.Prompt))
	e.meter.Tokens.WithLabelValues("Cached").Add(float64(usage.Cached))
	e.meter.Tokens.WithLabelValues("Generated").Add(float64(usage.Generated))
}

func (e *Executor) cancelAttempt(attempt string) {
	e.mu.Lock()
	cancel := e.attempts[attempt]
	delete(e.attempts, attempt)
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// cancelGenerate sends a cancel to the engine and closes the stream after the grace
// period if it is still open.
func (e *Executor) cancelGenerate(a decider.CancelGenerate) {
	endpoint := e.currentVersion().Endpoints[a.Endpoint]
	if endpoint != nil {
		ctx, cancel := context.WithTimeout(e.ctx, cancelGracePeriod)
		defer cancel()
		_ = e.client.Cancel(ctx, endpoint, a.Attempt)
		e.sleep(ctx, cancelGracePeriod)
	}
	e.cancelAttempt(a.Attempt)
}

func (e *Executor) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (e *Executor) invoke(a decider.Invoke) {
	version := e.currentVersion()
	service, endpoint := version.Services[a.Service], version.Endpoints[a.Endpoint]
	if service == nil || endpoint == nil || (a.AtMostOnce && !e.leaseConfirmed()) {
		e.Send(decider.InvokeFailed{Attempt: a.Attempt, NotSent: true})
		return
	}
	began := time.Now()
	answer, err := e.client.Call(e.ctx, service, endpoint, a.Call)
	e.observer.RecordResult(a.Endpoint, time.Since(began), err)
	if err == nil {
		e.Send(decider.InvokeCompleted{Attempt: a.Attempt, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
		return
	}
	reason := dispatcher.ReasonOf(err)
	e.log.Log(eventCallFailed, "Attempt", a.Attempt, "Service", a.Service, "Endpoint", a.Endpoint, "Cause", err)
	e.Send(decider.InvokeFailed{Attempt: a.Attempt, NotSent: reason == dispatcher.NotSent})
}

func (e *Executor) queryStatus(a decider.QueryStatus) {
	version := e.currentVersion()
	service, endpoint := version.Services[a.Service], version.Endpoints[a.Endpoint]
	if service == nil || endpoint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, controlTimeout)
	defer cancel()
	answer, err := e.client.Status(ctx, service, endpoint, a.Key)
	if err != nil {
		return
	}
	var state callState
	if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &state) != nil {
		return
	}
	e.Send(decider.StatusReceived{
		Business: a.Business, Key: a.Key, Done: state.State == stateDone, Status: answer.Status, Body: answer.Body,
	})
}

// callState is the body of a service's answer to a status query.
type callState struct {
	// State is "Done" or "Absent".
	State string
}

const stateDone = "Done"

func (e *Executor) releaseMemory(a decider.ReleaseMemory) {
	endpoint := e.currentVersion().Endpoints[a.Endpoint]
	if endpoint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, controlTimeout)
	defer cancel()
	if err := e.client.Release(ctx, endpoint, a.Program); err == nil {
		e.Send(decider.MemoryReleased(a))
	}
}

func (e *Executor) drawEscrow(a decider.DrawEscrow) {
	ctx, cancel := context.WithTimeout(e.ctx, controlTimeout)
	defer cancel()
	tokens, err := e.escrow.Draw(ctx, a.Business, a.Tokens, a.Limit)
	e.Send(decider.EscrowDrawn{Business: a.Business, Tokens: tokens, Failed: err != nil})
}

// relay puts an attempt's chunks into the caller's outbox and records the time
// between them.
type relay struct {
	executor    *Executor
	attempt     decider.Generate
	lastChunkAt time.Time
}

func (e *Executor) newRelay(a decider.Generate) requester.Sink {
	return &relay{executor: e, attempt: a}
}

// Chunk implements requester.Sink. It does not block on the caller.
func (r *relay) Chunk(chunk generator.Chunk) error {
	now := time.Now()
	if !r.lastChunkAt.IsZero() {
		r.executor.observer.RecordTokenGap(r.attempt.Endpoint, now.Sub(r.lastChunkAt))
	}
	r.lastChunkAt = now
	p := r.executor.lookUp(r.attempt.Sink)
	if p == nil {
		return nil
	}
	p.firstToken.Do(func() { r.executor.meter.FirstTokenSeconds.Observe(now.Sub(p.startedAt).Seconds()) })
	if chunk.Done && chunk.Tokens == 0 && chunk.Text == "" {
		return nil
	}
	p.outbox.put(tokensOnly(chunk))
	return nil
}

// tokensOnly returns the chunk without the end of the stream: the caller's stream
// ends with the committed turn, not with the engine's stream.
func tokensOnly(chunk generator.Chunk) generator.Chunk {
	chunk.Done, chunk.Usage = false, nil
	return chunk
}

type nopObserver struct{}

func (nopObserver) RecordResult(string, time.Duration, error) {}
func (nopObserver) RecordTokenGap(string, time.Duration)      {}

type noEscrow struct{}

func (noEscrow) Return(context.Context, string, int) error { return nil }

func (noEscrow) Draw(context.Context, string, int, int) (int, error) {
	return 0, errors.New("no escrow configured")
}
