package executor

import (
	"context"
	"io"
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// The messages of the actor, in addition to the core's events.
type (
	restoreShard struct {
		shard    int
		snapshot []byte
		entries  []sharder.Entry
		reply    chan error
	}
	takeSnapshot struct {
		shard int
		reply chan snapshotResult
	}
	releaseShard struct {
		shard    int
		released chan struct{}
	}
	entriesCommitted struct{ sequence int64 }
	returnAllEscrow  struct{ done chan struct{} }
)

func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// receive handles one message. The core is accessed only from here.
func (e *Executor) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case decider.Tick:
		e.execute(e.core.Handle(m))
		e.updateGauges()
	case decider.Event:
		e.execute(e.core.Handle(m))
	case restoreShard:
		actions, err := e.core.Restore(m.shard, m.snapshot, m.entries)
		e.execute(actions)
		m.reply <- err
	case takeSnapshot:
		e.handleSnapshot(m)
	case releaseShard:
		e.releasing[m.shard] = append(e.releasing[m.shard], m.released)
		e.execute(e.core.Handle(decider.ShardReleaseRequested{Shard: m.shard}))
	case entriesCommitted:
		e.handleCommitted(m.sequence)
	case returnAllEscrow:
		e.handleReturnEscrow(m)
	}
}

// updateGauges sets the gauges of the core's state and the journal's backlog.
func (e *Executor) updateGauges() {
	counts := e.core.Counts()
	e.meter.Shards.Set(float64(counts.Shards))
	e.meter.Programs.Set(float64(counts.Programs))
	e.meter.Queued.Set(float64(counts.Queued))
	e.meter.Attempts.Set(float64(counts.Attempts))
	e.meter.Calls.Set(float64(counts.Calls))
	e.meter.BacklogBytes.Set(float64(e.journal.Backlog()))
}

// handleReturnEscrow returns the escrow in a task, so that the actor is not blocked.
func (e *Executor) handleReturnEscrow(m returnAllEscrow) {
	actions := e.core.Handle(decider.AllShardsReleased{})
	e.execute(actions)
	e.tasks.Go(func() {
		defer close(m.done)
		for _, action := range actions {
			if a, ok := action.(decider.ReturnEscrow); ok {
				e.returnEscrow(a)
			}
		}
	})
}

func (e *Executor) returnEscrow(a decider.ReturnEscrow) {
	ctx, cancel := context.WithTimeout(e.ctx, controlTimeout)
	defer cancel()
	if err := e.escrow.Return(ctx, a.Business, a.Tokens); err != nil {
		e.log.Log(eventEscrowNotReturned, "Business", a.Business, "Tokens", a.Tokens, "Cause", err)
	}
}

func (e *Executor) handleSnapshot(m takeSnapshot) {
	body, number, ok := e.core.Snapshot(m.shard)
	if !ok {
		m.reply <- snapshotResult{err: answerer.New(answerer.Moved, "shard %d is not served by this instance", m.shard)}
		return
	}
	p := pendingSnapshot{ticket: number, reply: m.reply, result: snapshotResult{body: body, sequence: e.sequenceOf(number)}}
	if number <= e.durableTicket {
		m.reply <- p.result
		return
	}
	e.pendingSnapshots = append(e.pendingSnapshots, p)
}

// sequenceOf returns the journal sequence of the append with the ticket number. For
// an append that is already durable it returns the last durable sequence.
func (e *Executor) sequenceOf(number int64) int64 {
	sequence := e.lastDurable.sequence
	for _, t := range e.tickets {
		if t.number <= number {
			sequence = t.sequence
		}
	}
	return sequence
}

// handleCommitted notifies the core of the appends that have become durable.
func (e *Executor) handleCommitted(sequence int64) {
	done := 0
	for done < len(e.tickets) && e.tickets[done].sequence <= sequence {
		done++
	}
	if done == 0 {
		return
	}
	e.lastDurable = e.tickets[done-1]
	e.tickets = append([]ticket(nil), e.tickets[done:]...)
	e.durableTicket = e.lastDurable.number
	e.execute(e.core.Handle(decider.AppendsCommitted{Ticket: e.durableTicket}))
	e.sendSnapshots()
}

func (e *Executor) sendSnapshots() {
	remaining := e.pendingSnapshots[:0]
	for _, p := range e.pendingSnapshots {
		if p.ticket > e.durableTicket {
			remaining = append(remaining, p)
			continue
		}
		p.reply <- p.result
	}
	e.pendingSnapshots = remaining
}

// Restore implements sharder.StateMachine.
func (e *Executor) Restore(ctx context.Context, shard int, snapshot []byte, entries []sharder.Entry) error {
	reply := make(chan error, 1)
	e.system.Root.Send(e.pid, restoreShard{shard: shard, snapshot: snapshot, entries: entries, reply: reply})
	return e.await(ctx, reply)
}

func (e *Executor) await(ctx context.Context, reply <-chan error) error {
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// Snapshot implements sharder.StateMachine. It returns once all entries in the
// snapshot are durable.
func (e *Executor) Snapshot(ctx context.Context, shard int) ([]byte, int64, error) {
	reply := make(chan snapshotResult, 1)
	e.system.Root.Send(e.pid, takeSnapshot{shard: shard, reply: reply})
	select {
	case s := <-reply:
		return s.body, s.sequence, s.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-e.ctx.Done():
		return nil, 0, e.ctx.Err()
	}
}

// Release implements sharder.StateMachine.
func (e *Executor) Release(ctx context.Context, shard int) error {
	released := make(chan struct{})
	e.system.Root.Send(e.pid, releaseShard{shard: shard, released: released})
	select {
	case <-released:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	case <-ctx.Done():
	}
	e.log.Log(eventShardRevoked, "Shard", shard)
	e.Send(decider.ShardRevoked{Shard: shard})
	revokeCtx, cancel := context.WithTimeout(e.ctx, revokeTimeout)
	defer cancel()
	select {
	case <-released:
		return nil
	case <-revokeCtx.Done():
		return revokeCtx.Err()
	}
}

// Committed implements sharder.StateMachine.
func (e *Executor) Committed(sequence int64) {
	e.system.Root.Send(e.pid, entriesCommitted{sequence: sequence})
}

// Fenced implements sharder.StateMachine.
func (e *Executor) Fenced() {
	if e.fenced.Swap(true) {
		return
	}
	e.log.Log(eventFenced)
	e.Send(decider.InstanceFenced{})
}
