package decider

import (
	"sort"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// liveState is the volatile state of a program. It is lost in a takeover.
type liveState struct {
	active  *activeTurn
	pending []pendingTurn
	// openedAt estimates when the program was opened: the time of its restore less
	// the elapsed time of its last recorded turn.
	openedAt time.Time
	lastUsed time.Time
	// cachedTokens estimates how many tokens of the context each endpoint caches.
	cachedTokens map[string]int
	lastEndpoint string
	// releaseSentAt maps endpoints to when they were last asked to release the
	// program's memory.
	releaseSentAt map[string]time.Time
	queuedTime    time.Duration
	runningTime   time.Duration
}

// pendingTurn is a requested turn that waits for the program's active one to end.
type pendingTurn struct {
	request *request
	turn    *requester.Turn
}

func (l *liveState) removePending(r *request) {
	for i := range l.pending {
		if l.pending[i].request == r {
			l.pending = append(l.pending[:i], l.pending[i+1:]...)
			return
		}
	}
}

// initLive initializes the volatile state of a program that was opened or restored.
func (p *program) initLive(now time.Time) {
	p.live = liveState{
		openedAt: now.Add(-p.elapsed), lastUsed: now,
		cachedTokens: map[string]int{}, releaseSentAt: map[string]time.Time{},
	}
}

func (p *program) releasedEndpoints() []string {
	seen := map[string]bool{}
	var released []string
	for i := range p.turns {
		endpoint := p.turns[i].Endpoint
		if seen[endpoint] || p.holdings[endpoint] {
			continue
		}
		seen[endpoint] = true
		released = append(released, endpoint)
	}
	sort.Strings(released)
	return released
}

func (c *Core) lookupAgent(p *program) *compiler.Agent {
	return c.version.Agents[compiler.AgentName(p.business, p.agent)]
}

// lookup returns the program, or nil if it does not exist or belongs to another
// business. An operator's request has no business and may read every program.
func (c *Core) lookup(r *request, id string) *program {
	s := c.shards[requester.ShardOf(requester.Root(id))]
	if s == nil {
		return nil
	}
	p := s.state.programs[id]
	if p == nil || (r.business != "" && p.business != r.business) {
		return nil
	}
	return p
}

func shardOf(p *program) int { return requester.ShardOf(p.root.id) }

func (c *Core) refuseUnknownProgram(r *request, id string) {
	c.refuse(r, answerer.New(answerer.NotFound, "unknown program %q", id))
}

func (c *Core) openProgram(r *request, open *requester.Open) {
	if p := c.lookup(r, open.Program); p != nil {
		c.replayOpen(r, p, open)
		return
	}
	shardNumber := requester.ShardOf(requester.Root(open.Program))
	if c.shards[shardNumber].state.programs[open.Program] != nil {
		c.refuse(r, answerer.New(answerer.KeyReused, "the program ID is already in use"))
		return
	}
	record, err := c.newOpenRecord(r, open)
	if err != nil {
		c.refuse(r, err)
		return
	}
	if c.storeDown {
		c.refuse(r, answerer.New(answerer.StoreUnavailable, "the store is unavailable, so no program can be opened"))
		return
	}
	c.append(shardNumber, func() { c.replyOpened(r, open.Program) }, recorder.Record{Opened: record})
	c.shards[shardNumber].state.programs[open.Program].initLive(time.Now())
	c.programCount++
}

// newOpenRecord validates the request against the document and the parent program.
func (c *Core) newOpenRecord(r *request, open *requester.Open) (*recorder.ProgramOpened, *answerer.Error) {
	agent := c.version.Agents[compiler.AgentName(r.business, open.Agent)]
	if agent == nil {
		return nil, answerer.New(answerer.NotFound, "unknown agent program %q", open.Agent)
	}
	if open.Budget < 0 {
		return nil, answerer.New(answerer.BadRequest, "Budget is negative")
	}
	record := &recorder.ProgramOpened{Program: open.Program, Business: r.business, Agent: open.Agent, Parent: open.Parent}
	if open.Parent == "" {
		record.Budget = agent.Budget
		if open.Budget > 0 && open.Budget < agent.Budget {
			record.Budget = open.Budget
		}
		return record, nil
	}
	parent := c.lookup(r, open.Parent)
	if parent == nil {
		return nil, answerer.New(answerer.NotFound, "unknown parent program %q", open.Parent)
	}
	if parent.ended || parent.root.ended {
		return nil, answerer.New(answerer.ProgramEnded, "parent program %q has ended", open.Parent)
	}
	return record, nil
}

// replayOpen answers a request to open a program that is open already.
func (c *Core) replayOpen(r *request, p *program, open *requester.Open) {
	if p.agent != open.Agent || p.parent != open.Parent {
		c.refuse(r, answerer.New(answerer.KeyReused, "the key was used to open a program with another agent or parent"))
		return
	}
	c.whenDurable(shardOf(p), func() { c.replyOpened(r, p.id) })
}

// whenDurable calls run once all appends of the shard so far are durable.
func (c *Core) whenDurable(shardNumber int, run func()) {
	s := c.shards[shardNumber]
	if s.lastTicket <= c.committed {
		run()
		return
	}
	c.afterCommit(s.lastTicket, run)
}

func (c *Core) replyOpened(r *request, id string) {
	p := c.lookup(r, id)
	if p == nil {
		c.refuse(r, answerer.New(answerer.Moved, "the program has moved to another instance"))
		return
	}
	c.reply(r, requester.Reply{Open: &requester.OpenReply{Program: id, Budget: p.remaining(), Chain: p.chain}})
}

func (c *Core) endProgram(r *request, end *requester.End) {
	p := c.lookup(r, end.Program)
	if p == nil {
		c.refuseUnknownProgram(r, end.Program)
		return
	}
	reason := end.Reason
	if reason == "" {
		reason = "Ended by its caller"
	}
	c.endTree(p, reason)
	c.whenDurable(shardOf(p), func() {
		c.reply(r, requester.Reply{End: &requester.EndReply{Program: p.id, Reason: p.reason, Spent: p.root.spent}})
	})
}

// endTree ends the program and, if it is a root, all programs of its tree.
func (c *Core) endTree(p *program, reason string) {
	s := c.shards[shardOf(p)]
	for _, member := range sortedPrograms(s.state.programs) {
		if member == p || (p.root == p && member.root == p) {
			c.endOne(member, reason)
		}
	}
}

// endOne ends the program at once. An attempt in flight is canceled but charged.
func (c *Core) endOne(p *program, reason string) {
	if p.ended {
		return
	}
	for _, l := range p.live.pending {
		c.refuse(l.request, answerer.New(answerer.ProgramEnded, "the program has ended: %s", reason))
	}
	p.live.pending = nil
	c.cancelActiveTurn(p, reason)
	c.append(shardOf(p), func() { c.releaseMemory(p) }, recorder.Record{Ended: &recorder.ProgramEnded{Program: p.id, Reason: reason}})
}

func (c *Core) readHistory(r *request, read *requester.History) {
	p := c.lookup(r, read.Program)
	if p == nil {
		c.refuseUnknownProgram(r, read.Program)
		return
	}
	c.whenDurable(shardOf(p), func() {
		c.reply(r, requester.Reply{History: p.historyPage(read.After)})
	})
}

func (p *program) historyPage(after int) *requester.HistoryPage {
	page := &requester.HistoryPage{Program: p.id, Agent: p.agent, Ended: p.ended, Chain: p.chain}
	for i := range p.turns {
		t := &p.turns[i]
		if t.Number <= after {
			continue
		}
		page.Turns = append(page.Turns, requester.TurnView{
			Number: t.Number, Input: t.Input, Text: t.Text, Usage: t.Usage, Chain: t.Chain,
		})
	}
	return page
}
