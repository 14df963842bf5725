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
	// last is the ticket of the shard's last append.
	last int64
	// releasing is true once the shard is being given up.
	releasing bool
	// trimmed is true once the unused allowances were given back.
	trimmed bool
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
	c.programs += len(s.state.programs)
	c.takeOver(s)
	c.pump()
	return c.take(), nil
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
		p.start(now)
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
		c.askStatus(k)
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

// release stops admitting work of the shard; ShardReleased follows once it is idle.
func (c *Core) release(number int) {
	s := c.shards[number]
	if s == nil {
		c.do(ShardReleased{Shard: number})
		return
	}
	c.startRelease(s)
	moved := answerer.New(answerer.Moved, "the program is moving to another instance")
	for _, p := range sortedPrograms(s.state.programs) {
		c.refuseLine(p, moved)
		if t := p.live.active; t != nil && !t.ran && (t.phase == queued || t.phase == reserving) {
			c.stop(t, moved)
		}
	}
}

func (c *Core) startRelease(s *shard) {
	s.releasing = true
	c.releasing[s.number] = s
}

func (c *Core) refuseLine(p *program, err *answerer.Error) {
	line := p.live.line
	p.live.line = nil
	for _, l := range line {
		c.refuse(l.request, err)
	}
}

// finishReleases gives up the released shards that have become idle and durable.
func (c *Core) finishReleases() {
	for number, s := range c.releasing {
		if s.busy() {
			continue
		}
		if !s.trimmed {
			s.trimmed = true
			c.trim(s)
		}
		if s.last > c.committed {
			continue
		}
		delete(c.releasing, number)
		delete(c.shards, number)
		c.programs -= len(s.state.programs)
		c.do(ShardReleased{Shard: number})
	}
}

func (s *shard) busy() bool {
	for _, p := range s.state.programs {
		if p.live.active != nil {
			return true
		}
	}
	for _, k := range s.state.calls {
		if k.live != nil {
			return true
		}
	}
	return false
}

// trim gives back the allowances that nothing in flight needs, so that a
// planned move strands no budget.
func (c *Core) trim(s *shard) {
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

// cut gives the shard up with what is in flight; attempts that may have run are
// billed in full.
func (c *Core) cut(number int) {
	s := c.shards[number]
	if s == nil {
		c.do(ShardReleased{Shard: number})
		return
	}
	c.startRelease(s)
	for _, p := range sortedPrograms(s.state.programs) {
		c.cutProgram(p)
	}
	for _, k := range sortedCalls(s.state.calls) {
		if k.live != nil {
			c.cutCall(k)
		}
	}
}

func (c *Core) cutProgram(p *program) {
	c.refuseLine(p, answerer.New(answerer.Moved, "the program is moving to another instance"))
	t := p.live.active
	if t == nil || t.phase == committing {
		return
	}
	if t.phase != running {
		c.stop(t, movedTurn(t))
		return
	}
	c.stop(t, movedTurn(t))
	worst := t.worst
	c.landed(t.attempt)
	c.unreserve(t, worst)
	c.settle(t, worst)
	c.forget(t)
}

// movedTurn returns the refusal of a turn whose program is taken away.
func movedTurn(t *activeTurn) *answerer.Error {
	if t.ran || t.phase == running {
		return answerer.New(answerer.NotDurable, "the program moved while the turn ran")
	}
	return answerer.New(answerer.Moved, "the program is moving to another instance")
}

func (c *Core) cutCall(k *call) {
	i := k.live
	if !i.sent && !i.reached {
		c.refuseCall(i, answerer.New(answerer.Moved, "the call's owner is stopping"))
		return
	}
	i.reached = true
	c.refuseCall(i, answerer.New(answerer.OutcomeUnknown, "the instance stopped before the service answered"))
	c.conclude(i, recorder.Concluded{State: recorder.Unknown})
}

// fence refuses everything: another instance owns the shards now.
func (c *Core) fence() {
	c.fenced = true
	for _, id := range sortedKeys(c.attempts) {
		t := c.attempts[id]
		c.do(CancelGenerate{Attempt: id, Endpoint: t.endpoint})
	}
	for _, id := range sortedKeys(c.requests) {
		r := c.requests[id]
		c.refuse(r, fencedAnswer(r))
	}
	c.shards = map[int]*shard{}
	c.releasing = map[int]*shard{}
	c.programs = 0
	c.gated = nil
}

// fencedAnswer says what is known of a request whose owner was replaced.
func fencedAnswer(r *request) *answerer.Error {
	switch {
	case r.turn != nil && (r.turn.ran || r.turn.phase == running || r.turn.phase == committing):
		return answerer.New(answerer.NotDurable, "the program moved before the turn became durable")
	case r.call != nil && (r.call.sent || r.call.reached):
		return answerer.New(answerer.OutcomeUnknown, "the call's owner was replaced before the service answered")
	}
	return answerer.New(answerer.Moved, "this instance was replaced by another one")
}
