package decider

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// shard is a shard that the instance owns.
type shard struct {
	number int
	state  *state
	// lastTicket is the ticket of the shard's last append.
	lastTicket int64
	// releasing is true while the shard is being released.
	releasing bool
	// allowancesReturned is true once the release has returned unused allowances.
	allowancesReturned bool
}

// Restore loads a shard from its snapshot and the journal entries that follow
// it, and starts to serve it. If a record is invalid or does not continue the
// records before it, Restore returns an error and the shard is not served.
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

// takeOver resolves what the previous owner left unfinished: an unused allowance
// is charged, since the previous owner may have spent it, and the outcome of a
// pending call is unknown, since it may have been sent.
func (c *Core) takeOver(s *shard) {
	now := time.Now()
	var records []recorder.Record
	for _, p := range sortedPrograms(s.state.programs) {
		p.initLive(now)
		if stranded := p.allowed - p.spent; p.root == p && stranded > 0 {
			records = append(records, recorder.Record{Settled: &recorder.TokensCharged{
				Program: p.id, Attempt: "Stranded", Tokens: stranded,
			}})
		}
	}
	var unknown []*call
	for _, k := range sortedCalls(s.state.calls) {
		if k.outcome.State == recorder.Pending {
			records = append(records, recorder.Record{Concluded: &recorder.CallOutcome{
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

// Snapshot returns the shard's state and the ticket of the last append of all
// shards. The snapshot may be used only once that append is durable.
func (c *Core) Snapshot(number int) (body []byte, ticket int64, ok bool) {
	s := c.shards[number]
	if s == nil {
		return nil, 0, false
	}
	return encodeSnapshot(s.state.records()), c.ticket, true
}

// Owns reports whether this instance serves the shard.
func (c *Core) Owns(number int) bool { return c.shards[number] != nil && !c.fenced }

// releaseShard refuses new work of the shard. ShardReleased follows once the
// shard is idle and its appends are durable.
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

// finishReleases releases the shards whose release was requested and that are
// idle and durable.
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

// returnAllowances lowers the allowances to what is spent, so that the next owner
// does not charge the rest.
func (c *Core) returnAllowances(s *shard) {
	var records []recorder.Record
	for _, p := range sortedPrograms(s.state.programs) {
		if p.root == p && p.allowed > p.spent {
			records = append(records, recorder.Record{Allowed: &recorder.AllowanceSet{Program: p.id, Limit: p.spent}})
		}
	}
	if len(records) > 0 {
		c.append(s.number, nil, records...)
	}
}

// revokeShard ends the work in flight of the shard and releases it. Attempts that
// may have run are charged their worst case.
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
	charge := t.worstCase
	c.endTurnAttempt(t.attempt)
	c.unreserve(t, charge)
	c.recordCharge(t, charge)
	c.removeTurn(t)
}

// movedTurnError returns the refusal of a turn whose shard is revoked.
func movedTurnError(t *activeTurn) *answerer.Error {
	if t.mayHaveRun || t.phase == running {
		return answerer.New(answerer.NotDurable, "the program moved to another instance while the turn was running")
	}
	return answerer.New(answerer.Moved, "the program is moving to another instance")
}

func (c *Core) revokeCall(k *call) {
	i := k.invocation
	if !i.inFlight && !i.mayHaveRun {
		c.refuseCallWaiters(i, answerer.New(answerer.Moved, "the shard of the call is moving to another instance"))
		return
	}
	i.mayHaveRun = true
	c.refuseCallWaiters(i, answerer.New(answerer.OutcomeUnknown, "the shard of the call moved to another instance before the service answered"))
	c.recordOutcome(i, recorder.CallOutcome{State: recorder.Unknown})
}

// fence refuses all requests, since another instance owns the shards.
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

// fencedError returns the refusal of a request whose shard another instance has
// taken over.
func fencedError(r *request) *answerer.Error {
	switch {
	case r.turn != nil && (r.turn.mayHaveRun || r.turn.phase == running || r.turn.phase == committing):
		return answerer.New(answerer.NotDurable, "another instance took over the program before the turn was durable")
	case r.call != nil && (r.call.inFlight || r.call.mayHaveRun):
		return answerer.New(answerer.OutcomeUnknown, "another instance took over the call before the service answered")
	}
	return answerer.New(answerer.Moved, "another instance has taken over the shards of this one")
}
