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

// The messages of the actor besides the core's events.
type (
	restoreShard struct {
		shard    int
		snapshot []byte
		entries  []sharder.Entry
		reply    chan error
	}
	takeSnapshot struct {
		shard int
		reply chan snapshot
	}
	releaseShard struct {
		shard int
		gone  chan struct{}
	}
	journaled struct{ sequence int64 }
	giveBack  struct{ done chan struct{} }
)

func discardLogs(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// receive handles one message; the core is only used here.
func (o *Executor) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case decider.Tick:
		o.carryOut(o.core.Handle(m))
		o.gauge()
	case decider.Event:
		o.carryOut(o.core.Handle(m))
	case restoreShard:
		actions, err := o.core.Restore(m.shard, m.snapshot, m.entries)
		o.carryOut(actions)
		m.reply <- err
	case takeSnapshot:
		o.snapshot(m)
	case releaseShard:
		o.leaving[m.shard] = append(o.leaving[m.shard], m.gone)
		o.carryOut(o.core.Handle(decider.ShardReleaseRequested{Shard: m.shard}))
	case journaled:
		o.journaled(m.sequence)
	case giveBack:
		o.giveBack(m)
	}
}

// gauge shows what the core holds.
func (o *Executor) gauge() {
	counts := o.core.Counts()
	o.meter.Shards.Set(float64(counts.Shards))
	o.meter.Programs.Set(float64(counts.Programs))
	o.meter.Queued.Set(float64(counts.Queued))
	o.meter.Attempts.Set(float64(counts.Attempts))
	o.meter.Calls.Set(float64(counts.Calls))
	o.meter.BacklogBytes.Set(float64(o.journal.Backlog()))
}

// giveBack returns the escrows beside the actor.
func (o *Executor) giveBack(m giveBack) {
	actions := o.core.Handle(decider.AllShardsReleased{})
	o.carryOut(actions)
	o.work.Go(func() {
		defer close(m.done)
		for _, action := range actions {
			if a, ok := action.(decider.ReturnEscrow); ok {
				o.returnEscrow(a)
			}
		}
	})
}

func (o *Executor) returnEscrow(a decider.ReturnEscrow) {
	ctx, cancel := context.WithTimeout(o.ctx, controlTimeout)
	defer cancel()
	if err := o.escrow.Return(ctx, a.Business, a.Tokens); err != nil {
		o.log.Log(eventEscrowKept, "Business", a.Business, "Tokens", a.Tokens, "Cause", err)
	}
}

func (o *Executor) snapshot(m takeSnapshot) {
	body, number, ok := o.core.Snapshot(m.shard)
	if !ok {
		m.reply <- snapshot{err: answerer.New(answerer.Moved, "shard %d is not served here", m.shard)}
		return
	}
	v := viewer{ticket: number, reply: m.reply, result: snapshot{body: body, sequence: o.sequenceOf(number)}}
	if number <= o.reached {
		m.reply <- v.result
		return
	}
	o.views = append(o.views, v)
}

// sequenceOf returns the journal's sequence of the append; the last durable one
// if it is no longer remembered.
func (o *Executor) sequenceOf(number int64) int64 {
	sequence := o.durable.sequence
	for _, t := range o.tickets {
		if t.number <= number {
			sequence = t.sequence
		}
	}
	return sequence
}

// journaled tells the core which of its appends have become durable.
func (o *Executor) journaled(sequence int64) {
	done := 0
	for done < len(o.tickets) && o.tickets[done].sequence <= sequence {
		done++
	}
	if done == 0 {
		return
	}
	o.durable = o.tickets[done-1]
	o.tickets = append([]ticket(nil), o.tickets[done:]...)
	o.reached = o.durable.number
	o.carryOut(o.core.Handle(decider.AppendsCommitted{Ticket: o.reached}))
	o.showViews()
}

func (o *Executor) showViews() {
	left := o.views[:0]
	for _, v := range o.views {
		if v.ticket > o.reached {
			left = append(left, v)
			continue
		}
		v.reply <- v.result
	}
	o.views = left
}

// Restore implements sharder.StateMachine.
func (o *Executor) Restore(ctx context.Context, shard int, snapshot []byte, entries []sharder.Entry) error {
	reply := make(chan error, 1)
	o.system.Root.Send(o.pid, restoreShard{shard: shard, snapshot: snapshot, entries: entries, reply: reply})
	return o.await(ctx, reply)
}

func (o *Executor) await(ctx context.Context, reply <-chan error) error {
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-o.ctx.Done():
		return o.ctx.Err()
	}
}

// Snapshot implements sharder.StateMachine; it returns once all of it is durable.
func (o *Executor) Snapshot(ctx context.Context, shard int) ([]byte, int64, error) {
	reply := make(chan snapshot, 1)
	o.system.Root.Send(o.pid, takeSnapshot{shard: shard, reply: reply})
	select {
	case s := <-reply:
		return s.body, s.sequence, s.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-o.ctx.Done():
		return nil, 0, o.ctx.Err()
	}
}

// Release implements sharder.StateMachine.
func (o *Executor) Release(ctx context.Context, shard int) error {
	gone := make(chan struct{})
	o.system.Root.Send(o.pid, releaseShard{shard: shard, gone: gone})
	select {
	case <-gone:
		return nil
	case <-o.ctx.Done():
		return o.ctx.Err()
	case <-ctx.Done():
	}
	o.log.Log(eventShardCut, "Shard", shard)
	o.Send(decider.ShardRevoked{Shard: shard})
	last, cancel := context.WithTimeout(o.ctx, cutTimeout)
	defer cancel()
	select {
	case <-gone:
		return nil
	case <-last.Done():
		return last.Err()
	}
}

// Committed implements sharder.StateMachine.
func (o *Executor) Committed(sequence int64) {
	o.system.Root.Send(o.pid, journaled{sequence: sequence})
}

// Fenced implements sharder.StateMachine.
func (o *Executor) Fenced() {
	if o.fenced.Swap(true) {
		return
	}
	o.log.Log(eventFenced)
	o.Send(decider.InstanceFenced{})
}
