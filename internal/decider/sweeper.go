package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// sweepTicks is the number of ticks in which all shards are scanned once for
// idle programs.
const sweepTicks = 64

// defaultIdleTimeout is the idle timeout of agent programs that set none.
const defaultIdleTimeout = time.Hour

func (c *Core) programByID(id string) *program {
	s := c.shards[requester.ShardOf(requester.Root(id))]
	if s == nil {
		return nil
	}
	return s.state.programs[id]
}

// releaseMemory requests the release of the program's memory at every engine that
// may hold some.
func (c *Core) releaseMemory(p *program) {
	c.pendingReleases[p.id] = true
	for _, endpoint := range sortedKeys(p.holdings) {
		c.requestRelease(p, endpoint)
	}
}

func (c *Core) requestRelease(p *program, endpoint string) {
	now := time.Now()
	if sentAt, ok := p.live.releaseSentAt[endpoint]; ok && now.Sub(sentAt) < c.settings.releaseRetryDelay {
		return
	}
	p.live.releaseSentAt[endpoint] = now
	c.emit(ReleaseMemory{Endpoint: endpoint, Program: p.id})
}

func (c *Core) memoryReleased(e MemoryReleased) {
	p := c.programByID(e.Program)
	if p == nil {
		return
	}
	delete(p.live.cachedTokens, e.Endpoint)
	delete(p.live.releaseSentAt, e.Endpoint)
	if !p.ended || !p.holdings[e.Endpoint] || c.hasAttemptAt(p, e.Endpoint) {
		return
	}
	c.append(shardOf(p), nil, recorder.Record{Released: &recorder.CacheReleased{Program: p.id, Endpoint: e.Endpoint}})
	if len(p.holdings) == 0 {
		delete(c.pendingReleases, p.id)
	}
}

// hasAttemptAt reports whether an attempt of the program is in flight at the endpoint.
func (c *Core) hasAttemptAt(p *program, endpoint string) bool {
	t := p.live.active
	return t != nil && t.phase == running && t.endpoint == endpoint
}

// reconcileHoldings requests the release of memory that an engine holds for
// programs that have ended or do not exist.
func (c *Core) reconcileHoldings(h HoldingsReported) {
	for _, id := range h.Programs {
		s := c.shards[requester.ShardOf(requester.Root(id))]
		if s == nil {
			continue
		}
		p := s.state.programs[id]
		switch {
		case p == nil:
			c.emit(ReleaseMemory{Endpoint: h.Endpoint, Program: id})
		case p.ended:
			p.holdings[h.Endpoint] = true
			c.pendingReleases[p.id] = true
			c.requestRelease(p, h.Endpoint)
		}
	}
}

// tick refuses requests whose deadline has passed, requests releases again that
// were not confirmed, and ends idle programs.
func (c *Core) tick() {
	now := time.Now()
	for _, id := range sortedKeys(c.requests) {
		if r := c.requests[id]; r != nil && !r.deadline.IsZero() && !now.Before(r.deadline) {
			c.expire(r)
		}
	}
	c.refuseUncommitted(now)
	for _, id := range sortedKeys(c.pendingReleases) {
		c.retryRelease(id)
	}
	c.sweepPart = (c.sweepPart + 1) % sweepTicks
	for number := c.sweepPart; number < requester.ShardCount; number += sweepTicks {
		if s := c.shards[number]; s != nil && !s.releasing {
			c.endIdlePrograms(s, now)
		}
	}
}

func (c *Core) retryRelease(id string) {
	p := c.programByID(id)
	if p == nil || len(p.holdings) == 0 {
		delete(c.pendingReleases, id)
		return
	}
	for _, endpoint := range sortedKeys(p.holdings) {
		c.requestRelease(p, endpoint)
	}
}

// expire refuses a request whose deadline has passed.
func (c *Core) expire(r *request) {
	c.refuse(r, deadlineError(r))
	c.detach(r, answerer.DeadlineRan)
}

// deadlineError returns the refusal of a request whose deadline has passed.
func deadlineError(r *request) *answerer.Error {
	switch {
	case r.turn != nil && r.turn.phase == committing:
		return answerer.New(answerer.NotDurable, "the turn finished but was not durable by the deadline")
	case r.turn != nil && (r.turn.mayHaveRun || r.turn.phase == running):
		return answerer.New(answerer.DeadlineRan, "the turn was still running at its deadline")
	case r.call != nil && r.call.atMostOnce && (r.call.inFlight || r.call.mayHaveRun):
		return answerer.New(answerer.OutcomeUnknown, "the service did not answer by the deadline")
	case r.call != nil && (r.call.inFlight || r.call.mayHaveRun):
		return answerer.New(answerer.DeadlineRan, "the service did not answer by the deadline")
	case r.turn == nil && r.call == nil && r.pendingProgram == nil:
		return answerer.New(answerer.NotDurable, "the request was not durable by the deadline")
	}
	return answerer.New(answerer.DeadlineNotRun, "the request was still waiting at its deadline: %s", r.waitReason())
}

// waitReason describes what a request that was not sent to an endpoint waits for.
func (r *request) waitReason() string {
	switch {
	case r.pendingProgram != nil:
		return "an earlier turn of the program has not ended"
	case r.turn != nil && r.turn.phase == reserving:
		return "its budget was not yet reserved"
	case r.turn != nil:
		return "no endpoint was free"
	}
	return "its record was not durable"
}

// refuseUncommitted refuses finished turns that are not durable because the store
// has been down for the commit timeout.
func (c *Core) refuseUncommitted(now time.Time) {
	if !c.storeDown || now.Sub(c.storeDownSince) < c.settings.commitTimeout {
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
			c.refuse(r, answerer.New(answerer.NotDurable, "the store is unavailable; request turn %d again", t.number))
		}
	}
}

func (c *Core) storeHealthChanged(down bool) {
	if down && !c.storeDown {
		c.storeDownSince = time.Now()
	}
	c.storeDown = down
}

func (c *Core) endIdlePrograms(s *shard, now time.Time) {
	for _, p := range sortedPrograms(s.state.programs) {
		if p.ended || p.live.active != nil {
			continue
		}
		timeout := defaultIdleTimeout
		if agent := c.lookupAgent(p); agent != nil && agent.IdleTimeout > 0 {
			timeout = agent.IdleTimeout
		}
		if c.idleTime(s, p, now) > timeout {
			c.endTree(p, "Idle timeout")
		}
	}
}

// idleTime returns how long the program has been idle. A root is idle only while
// all programs of its tree are.
func (c *Core) idleTime(s *shard, p *program, now time.Time) time.Duration {
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
