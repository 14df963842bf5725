package decider

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// shard is one shard that this instance owns.
type shard struct {
	number int
	state  *state
	// lastTicket is the ticket of the shard's lastTicket append.
	lastTicket int64
	// releasing is true once the shard is being given up.
	releasing bool
	// allowancesReturned is true once the unused allowances were given back.
	allowancesReturned bool
}

// Restore installs a shard from its durable state. It returns an error, and
// serves nothing of the shard, if a record does not continue the ones before.
func (c *Core) Restore(number int, snapshot []byte, entries []sharder.Entry) ([]Action, error) {
	s := &shard{number: number, state: newState()}
	for _, line := range bytes.Split(snapshot, []byte{'\n'}) {
		if err := s.replay(line); err != nil {
			return nil, eris.Wrapf(err, "snapshot of shard %d", number)
		}
	}
	for _, e := range entries {
		if err := s.replay(e.Body); err != nil {
			return nil, eris.Wrapf(err, "journal of shard %d", number)
		}
	}
	c.shards[number] = s
	c.programCount += len(s.state.programs)
	c.takeOver(s)
	c.dispatchQueued()
	return c.takeActions(), nil
}

func (s *shard) replay(body []byte) error {
	if len(body) == 0 {
		return nil
	}
	r, err := recorder.Decode(body)
	if err != nil {
		return err
	}
	return s.state.apply(r)
}

// takeOver settles what the last owner left open: an allowance that it may have
// spent counts as spent, and a call that it may have sent has an unknown outcome.
func (c *Core) takeOver(s *shard) {
	now := time.Now()
	var records []recorder.Record
	for _, p := range sortedPrograms(s.state.programs) {
		p.initLive(now)
		if stranded := p.allowed - p.spent; p.root == p && stranded > 0 {
			records = append(records, recorder.Record{Settled: &recorder.Settled{
				Program: p.id, Attempt: "Stranded", Tokens: stranded,
			}})
		}
	}
	var unknown []*call
	for _, k := range sortedCalls(s.state.calls) {
		if k.outcome.State == recorder.Pending {
			records = append(records, recorder.Record{Concluded: &recorder.Concluded{
				Business: k.intent.Business, Key: k.intent.Key, State: recorder.Unknown, Note: "Its owner was replaced",
			}})
			unknown = append(unknown, k)
		}
	}
	if len(records) > 0 {
		c.append(s.number, nil, records...)
	}
	for _, k := range unknown {
		c.queryStatus(k)
	}
	for _, p := range sortedPrograms(s.state.programs) {
		if p.ended && len(p.holdings) > 0 {
			c.releaseMemory(p)
		}
	}
}

// Snapshot returns the shard's state and the ticket up to which it holds
// everything; it may only be used once that ticket is durable.
func (c *Core) Snapshot(number int) (body []byte, ticket int64, ok bool) {
	s := c.shards[number]
	if s == nil {
		return nil, 0, false
	}
	return encodeSnapshot(s.state.records()), c.ticket, true
}

// Owns says whether the shard is served here.
func (c *Core) Owns(number int) bool { return c.shards[number] != nil && !c.fenced }

// releaseShard stops admitting work of the shard; ShardReleased follows once it is idle.
func (c *Core) releaseShard(number int) {
	s := c.shards[number]
	if s == nil {
		c.emit(ShardReleased{Shard: number})
		return
	}
	c.markReleasing(s)
	moved := answerer.New(answerer.Moved, "the program is moving to another instance")
	for _, p := range sortedPrograms(s.state.programs) {
		c.refusePending(p, moved)
		if t := p.live.active; t != nil && !t.mayHaveRun && (t.phase == queued || t.phase == reserving) {
			c.cancelTurn(t, moved)
		}
	}
}

func (c *Core) markReleasing(s *shard) {
	s.releasing = true
	c.releasing[s.number] = s
}

func (c *Core) refusePending(p *program, err *answerer.Error) {
	pending := p.live.pending
	p.live.pending = nil
	for _, l := range pending {
		c.refuse(l.request, err)
	}
}

// finishReleases gives up the released shards that have become idle and durable.
func (c *Core) finishReleases() {
	for number, s := range c.releasing {
		if s.busy() {
			continue
		}
		if !s.allowancesReturned {
			s.allowancesReturned = true
			c.returnAllowances(s)
		}
		if s.lastTicket > c.committed {
			continue
		}
		delete(c.releasing, number)
		delete(c.shards, number)
		c.programCount -= len(s.state.programs)
		c.emit(ShardReleased{Shard: number})
	}
}

func (s *shard) busy() bool {
	for _, p := range s.state.programs {
		if p.live.active != nil {
			return true
		}
	}
	for _, k := range s.state.calls {
		if k.invocation != nil {
			return true
		}
	}
	return false
}

// returnAllowances gives back the allowances that nothing in flight needs, so that a
// planned move strands no budget.
func (c *Core) returnAllowances(s *shard) {
	var records []recorder.Record
	for _, p := range sortedPrograms(s.state.programs) {
		if p.root == p && p.allowed > p.spent {
			records = append(records, recorder.Record{Allowed: &recorder.Allowed{Program: p.id, Limit: p.spent}})
		}
	}
	if len(records) > 0 {
		c.append(s.number, nil, records...)
	}
}

// revokeShard gives the shard up with what is in flight; attempts that may have run are
// billed in full.
func (c *Core) revokeShard(number int) {
	s := c.shards[number]
	if s == nil {
		c.emit(ShardReleased{Shard: number})
		return
	}
	c.markReleasing(s)
	for _, p := range sortedPrograms(s.state.programs) {
		c.revokeProgram(p)
	}
	for _, k := range sortedCalls(s.state.calls) {
		if k.invocation != nil {
			c.revokeCall(k)
		}
	}
}

func (c *Core) revokeProgram(p *program) {
	c.refusePending(p, answerer.New(answerer.Moved, "the program is moving to another instance"))
	t := p.live.active
	if t == nil || t.phase == committing {
		return
	}
	if t.phase != running {
		c.cancelTurn(t, movedTurnError(t))
		return
	}
	c.cancelTurn(t, movedTurnError(t))
	worst := t.worstCase
	c.endTurnAttempt(t.attempt)
	c.unreserve(t, worst)
	c.recordCharge(t, worst)
	c.removeTurn(t)
}

// movedTurnError returns the refusal of a turn whose program is taken away.
func movedTurnError(t *activeTurn) *answerer.Error {
	if t.mayHaveRun || t.phase == running {
		return answerer.New(answerer.NotDurable, "the program moved while the turn ran")
	}
	return answerer.New(answerer.Moved, "the program is moving to another instance")
}

func (c *Core) revokeCall(k *call) {
	i := k.invocation
	if !i.inFlight && !i.mayHaveRun {
		c.refuseCallWaiters(i, answerer.New(answerer.Moved, "the call's owner is stopping"))
		return
	}
	i.mayHaveRun = true
	c.refuseCallWaiters(i, answerer.New(answerer.OutcomeUnknown, "the instance stopped before the service answered"))
	c.recordOutcome(i, recorder.Concluded{State: recorder.Unknown})
}

// fence refuses everything: another instance owns the shards now.
func (c *Core) fence() {
	c.fenced = true
	for _, id := range sortedKeys(c.attempts) {
		t := c.attempts[id]
		c.emit(CancelGenerate{Attempt: id, Endpoint: t.endpoint})
	}
	for _, id := range sortedKeys(c.requests) {
		r := c.requests[id]
		c.refuse(r, fencedError(r))
	}
	c.shards = map[int]*shard{}
	c.releasing = map[int]*shard{}
	c.programCount = 0
	c.commitCallbacks = nil
}

// fencedError says what is known of a request whose owner was replaced.
func fencedError(r *request) *answerer.Error {
	switch {
	case r.turn != nil && (r.turn.mayHaveRun || r.turn.phase == running || r.turn.phase == committing):
		return answerer.New(answerer.NotDurable, "the program moved before the turn became durable")
	case r.call != nil && (r.call.inFlight || r.call.mayHaveRun):
		return answerer.New(answerer.OutcomeUnknown, "the call's owner was replaced before the service answered")
	}
	return answerer.New(answerer.Moved, "this instance was replaced by another one")
}
