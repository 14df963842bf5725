package decider

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
)

const (
	// overshootTokens bounds what an engine generates after a cancel.
	overshootTokens = 32
	// messageOverheadTokens bounds the tokens that an engine adds around a message.
	messageOverheadTokens = 8
	// minOutputTokens is the least output that a turn is clipped to; if the budget
	// covers less, the turn is refused.
	minOutputTokens = 16
	// minDrawTokens is the smallest draw from a business's budget.
	minDrawTokens = 65536
	// drawRetryDelay is the Retry-After of turns refused because a draw failed.
	drawRetryDelay = 2 * time.Second
)

// escrow is the part of a business's budget that this instance may spend.
type escrow struct {
	// free is the number of tokens drawn, but neither spent nor reserved.
	free int
	// drawing is true while a draw is outstanding.
	drawing bool
	// waiting are the turns that wait for the draw.
	waiting []*activeTurn
}

func generationSeed(chain string, number int) uint64 {
	return xxhash.Sum64String(chain) + uint64(number)
}

// maxPromptTokens returns an upper bound of the prompt's length in tokens: the
// last engine's count for the history, and one token per byte of new text.
func (t *activeTurn) maxPromptTokens() int {
	p := t.program
	bound := len(t.input) + 2*messageOverheadTokens
	if len(p.turns) == 0 {
		return bound + len(t.agent.Instructions) + messageOverheadTokens
	}
	return bound + p.contextTokens()
}

// reserve reserves the turn's worst-case cost and queues the turn once an
// allowance that covers it is durable.
func (c *Core) reserve(t *activeTurn) {
	t.phase = reserving
	root := t.program.root
	bound := t.maxPromptTokens()
	t.maxTokens = min(t.requestedTokens, t.program.remaining()-bound-overshootTokens)
	if t.maxTokens < min(t.requestedTokens, minOutputTokens) {
		c.refuseOverBudget(t)
		return
	}
	t.worstCase = bound + t.maxTokens + overshootTokens
	if c.storeDown && root.spent+root.reserved+t.worstCase > root.allowed {
		c.refuseUnreserved(t, answerer.New(answerer.StoreUnavailable, "the store is unavailable, so the turn's budget cannot be reserved"))
		return
	}
	root.reserved += t.worstCase
	c.reserveEscrow(t)
}

// refuseOverBudget refuses a turn that the remaining budget does not cover.
func (c *Core) refuseOverBudget(t *activeTurn) {
	c.refuseUnreserved(t, answerer.New(answerer.BudgetExhausted,
		"the remaining budget is %d tokens and the turn may need %d", t.program.remaining(), t.maxPromptTokens()+min(t.requestedTokens, minOutputTokens)))
}

// refuseUnreserved refuses a turn that holds no reservation. If an earlier
// attempt may have run, the refusal says so.
func (c *Core) refuseUnreserved(t *activeTurn, err *answerer.Error) {
	t.worstCase = 0
	if t.mayHaveRun {
		err = answerer.New(answerer.EndpointFailed, "an attempt failed and the turn cannot be retried: %s", err.Detail)
	}
	c.refuseTurn(t, err)
}

// reserveEscrow takes the turn's worst-case cost from the business's escrow and
// draws more if the escrow does not cover it.
func (c *Core) reserveEscrow(t *activeTurn) {
	b := c.version.Businesses[t.program.business]
	if b == nil || b.Budget == 0 {
		c.ensureAllowance(t)
		return
	}
	e := c.escrow(t.program.business)
	if e.free >= t.worstCase {
		e.free -= t.worstCase
		c.ensureAllowance(t)
		return
	}
	e.waiting = append(e.waiting, t)
	if !e.drawing {
		e.drawing = true
		c.emit(DrawEscrow{Business: b.Name, Tokens: max(minDrawTokens, t.worstCase-e.free), Limit: b.Budget})
	}
}

// returnEscrows returns all drawn tokens that are neither spent nor reserved. It
// is for a planned shutdown, after which nothing is sent.
func (c *Core) returnEscrows() {
	for _, business := range sortedKeys(c.escrows) {
		e := c.escrows[business]
		if e.free > 0 {
			c.emit(ReturnEscrow{Business: business, Tokens: e.free})
			e.free = 0
		}
	}
}

func (c *Core) escrow(business string) *escrow {
	e := c.escrows[business]
	if e == nil {
		e = &escrow{}
		c.escrows[business] = e
	}
	return e
}

func (c *Core) escrowDrawn(d EscrowDrawn) {
	e := c.escrow(d.Business)
	e.drawing = false
	e.free += d.Tokens
	waiting := e.waiting
	e.waiting = nil
	for _, t := range waiting {
		if c.turns[t.id] != t || t.phase != reserving {
			continue
		}
		c.resumeReservation(t, d)
	}
}

// resumeReservation continues the reservation of a turn that waited for a draw.
func (c *Core) resumeReservation(t *activeTurn, d EscrowDrawn) {
	if d.Tokens > 0 || c.escrow(d.Business).free >= t.worstCase {
		c.reserveEscrow(t)
		return
	}
	err := answerer.New(answerer.BudgetExhausted, "the budget of business %s is exhausted", d.Business)
	if d.Failed {
		err = answerer.New(answerer.StoreUnavailable, "the store is unavailable, so the business's budget cannot be drawn").WithRetryAfter(drawRetryDelay)
	}
	t.program.root.reserved -= t.worstCase
	c.refuseUnreserved(t, err)
}

// ensureAllowance raises the tree's durable allowance if it does not cover the
// reservation, and queues the turn once the allowance is durable.
func (c *Core) ensureAllowance(t *activeTurn) {
	root := t.program.root
	need := root.spent + root.reserved
	if need > root.allowed {
		limit := min(root.budget, need+c.settings.allowanceIncrement)
		c.append(shardOf(root), nil, recorder.Record{Allowed: &recorder.AllowanceSet{Program: root.id, Limit: max(limit, need)}})
		root.allowedTicket = c.ticket
	}
	if root.allowedTicket <= c.committed {
		c.enqueue(t)
		return
	}
	c.afterCommit(root.allowedTicket, func() {
		if c.turns[t.id] == t && t.phase == reserving {
			c.enqueue(t)
		}
	})
}

func (c *Core) enqueue(t *activeTurn) {
	t.phase = queued
	t.queuedAt = time.Now()
	p := t.program
	c.queue.Push(queuer.Item{
		ID: t.id, Program: p.root.id, Business: p.business, Model: t.agent.Model, Weight: c.weight(p.business),
		Precedence: t.agent.Precedence, Attained: p.root.spent, Estimate: t.worstCase,
		Arrived: t.created, Deadline: t.latestDeadline(),
	})
	if err := c.checkFeasible(t); err != nil && !t.mayHaveRun {
		c.cancelTurn(t, err)
	}
}

func (c *Core) weight(business string) int {
	if b := c.version.Businesses[business]; b != nil && b.Weight > 0 {
		return b.Weight
	}
	return 1
}

// latestDeadline returns the latest deadline of the turn's waiters.
func (t *activeTurn) latestDeadline() time.Time {
	var latest time.Time
	for _, r := range t.waiters {
		if r.deadline.After(latest) {
			latest = r.deadline
		}
	}
	return latest
}

// unreserve cancels the turn's reservation and returns its uncharged part to the
// business's escrow.
func (c *Core) unreserve(t *activeTurn, charged int) {
	t.program.root.reserved -= t.worstCase
	b := c.version.Businesses[t.program.business]
	if b != nil && b.Budget > 0 && !c.removeDrawWaiter(t) {
		c.escrow(b.Name).free += t.worstCase - charged
	}
	t.worstCase = 0
}

// removeDrawWaiter removes the turn from those that wait for a draw and reports
// whether it was one of them.
func (c *Core) removeDrawWaiter(t *activeTurn) bool {
	e := c.escrow(t.program.business)
	for i := range e.waiting {
		if e.waiting[i] == t {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}
