package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// sweepParts is the number of ticks over which all shards are looked through
// for idle programs.
const sweepParts = 64

// defaultIdleTimeout ends programs whose agent program names no timeout.
const defaultIdleTimeout = time.Hour

func (c *Core) programByID(id string) *program {
	s := c.shards[requester.ShardOf(requester.Root(id))]
	if s == nil {
		return nil
	}
	return s.state.programs[id]
}

// releaseMemory asks every engine that may hold the program's memory to drop it.
func (c *Core) releaseMemory(p *program) {
	c.holding[p.id] = true
	for _, endpoint := range sortedKeys(p.holdings) {
		c.releaseAt(p, endpoint)
	}
}

func (c *Core) releaseAt(p *program, endpoint string) {
	now := time.Now()
	if asked, ok := p.live.releasing[endpoint]; ok && now.Sub(asked) < c.settings.sweepGrace {
		return
	}
	p.live.releasing[endpoint] = now
	c.do(ReleaseMemory{Endpoint: endpoint, Program: p.id})
}

func (c *Core) memoryReleased(e MemoryReleased) {
	p := c.programByID(e.Program)
	if p == nil {
		return
	}
	delete(p.live.prefix, e.Endpoint)
	delete(p.live.releasing, e.Endpoint)
	if !p.ended || !p.holdings[e.Endpoint] || c.attemptsAt(p, e.Endpoint) {
		return
	}
	c.append(shardOf(p), nil, recorder.Record{Released: &recorder.Released{Program: p.id, Endpoint: e.Endpoint}})
	if len(p.holdings) == 0 {
		delete(c.holding, p.id)
	}
}

// attemptsAt says whether an attempt of the program is still in flight there.
func (c *Core) attemptsAt(p *program, endpoint string) bool {
	t := p.live.active
	return t != nil && t.phase == running && t.endpoint == endpoint
}

// sweep releases what an engine holds for programs that have ended or that
// never were.
func (c *Core) sweep(h HoldingsReported) {
	for _, id := range h.Programs {
		s := c.shards[requester.ShardOf(requester.Root(id))]
		if s == nil {
			continue
		}
		p := s.state.programs[id]
		switch {
		case p == nil:
			c.do(ReleaseMemory{Endpoint: h.Endpoint, Program: id})
		case p.ended:
			p.holdings[h.Endpoint] = true
			c.holding[p.id] = true
			c.releaseAt(p, h.Endpoint)
		}
	}
}

// tick answers what has run out of time, repeats lost releases and ends idle programs.
func (c *Core) tick() {
	now := time.Now()
	for _, id := range sortedKeys(c.requests) {
		if r := c.requests[id]; r != nil && !r.deadline.IsZero() && !now.Before(r.deadline) {
			c.expire(r)
		}
	}
	c.refuseUndurable(now)
	for _, id := range sortedKeys(c.holding) {
		c.repeatRelease(id)
	}
	c.sweepTurn = (c.sweepTurn + 1) % sweepParts
	for number := c.sweepTurn; number < requester.Shards; number += sweepParts {
		if s := c.shards[number]; s != nil && !s.releasing {
			c.endIdle(s, now)
		}
	}
}

func (c *Core) repeatRelease(id string) {
	p := c.programByID(id)
	if p == nil || len(p.holdings) == 0 {
		delete(c.holding, id)
		return
	}
	for _, endpoint := range sortedKeys(p.holdings) {
		c.releaseAt(p, endpoint)
	}
}

// expire answers a request whose deadline has passed, at once.
func (c *Core) expire(r *request) {
	c.refuse(r, lateAnswer(r))
	c.leave(r, answerer.DeadlineRan)
}

// lateAnswer says what is known of a request whose deadline has passed.
func lateAnswer(r *request) *answerer.Error {
	switch {
	case r.turn != nil && r.turn.phase == committing:
		return answerer.New(answerer.NotDurable, "the answer was not durable by the deadline")
	case r.turn != nil && (r.turn.ran || r.turn.phase == running):
		return answerer.New(answerer.DeadlineRan, "the turn was not complete by the deadline")
	case r.call != nil && r.call.once && (r.call.sent || r.call.reached):
		return answerer.New(answerer.OutcomeUnknown, "the service did not answer by the deadline")
	case r.call != nil && (r.call.sent || r.call.reached):
		return answerer.New(answerer.DeadlineRan, "the service did not answer by the deadline")
	case r.turn == nil && r.call == nil && r.line == nil:
		return answerer.New(answerer.NotDurable, "the request was not durable by the deadline")
	}
	return answerer.New(answerer.DeadlineNotRun, "the request still waited at the deadline: %s", r.waitsFor())
}

// waitsFor says what a request that was not sent to an endpoint waits for.
func (r *request) waitsFor() string {
	switch {
	case r.line != nil:
		return "an earlier turn of the program is being taken"
	case r.turn != nil && r.turn.phase == reserving:
		return "its budget is being reserved"
	case r.turn != nil:
		return "no endpoint was free"
	}
	return "its record is being made durable"
}

// refuseUndurable answers finished turns that the store's outage holds back too long.
func (c *Core) refuseUndurable(now time.Time) {
	if !c.storeDown || now.Sub(c.downSince) < c.settings.durableWait {
		return
	}
	for _, id := range sortedKeys(c.turns) {
		t := c.turns[id]
		if t.phase != committing {
			continue
		}
		waiters := t.waiters
		t.waiters = nil
		for _, r := range waiters {
			c.refuse(r, answerer.New(answerer.NotDurable, "the store is down; ask again for turn %d", t.number))
		}
	}
}

func (c *Core) storeHealth(down bool) {
	if down && !c.storeDown {
		c.downSince = time.Now()
	}
	c.storeDown = down
}

func (c *Core) endIdle(s *shard, now time.Time) {
	for _, p := range sortedPrograms(s.state.programs) {
		if p.ended || p.live.active != nil {
			continue
		}
		timeout := defaultIdleTimeout
		if agent := c.agentOf(p); agent != nil && agent.IdleTimeout > 0 {
			timeout = agent.IdleTimeout
		}
		if c.idleSince(s, p, now) > timeout {
			c.endTree(p, "Idle timeout")
		}
	}
}

// idleSince returns how long the program has been idle; a root is kept alive
// by its sub-agents.
func (c *Core) idleSince(s *shard, p *program, now time.Time) time.Duration {
	last := p.live.lastUsed
	if p.root != p {
		return now.Sub(last)
	}
	for _, member := range s.state.programs {
		if member.root != p || member.ended {
			continue
		}
		if member.live.active != nil {
			return 0
		}
		if member.live.lastUsed.After(last) {
			last = member.live.lastUsed
		}
	}
	return now.Sub(last)
}
