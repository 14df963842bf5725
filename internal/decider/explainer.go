package decider

import (
	"sort"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

func (c *Core) explain(r *request, query *requester.Explain) {
	p := c.programByID(query.Program)
	if p == nil || (r.business != "" && p.business != r.business) {
		c.refuseUnknownProgram(r, query.Program)
		return
	}
	explanation := c.explanation(p)
	c.reply(r, requester.Reply{Explain: &explanation})
}

// explanation returns the program's state and how its time was spent.
func (c *Core) explanation(p *program) requester.Explanation {
	e := requester.Explanation{
		Program: p.id, Business: p.business, Agent: p.agent, State: "Idle", Reason: p.reason,
		Turns: len(p.turns), Spent: p.root.spent, Reserved: p.root.reserved, Budget: p.root.budget,
		Queued: p.live.queuedTime, Running: p.live.runningTime, Endpoint: p.live.lastEndpoint,
	}
	e.Waiting = max(0, time.Since(p.live.openedAt)-e.Queued-e.Running)
	if p.ended {
		e.State = "Ended"
		return e
	}
	t := p.live.active
	if t == nil {
		e.Reason = "No turn was asked for"
		return e
	}
	e.State = string(t.phase)
	e.Reason = c.turnReason(t)
	if t.phase == queued {
		e.Position = c.queue.Position(time.Now(), t.id)
	}
	return e
}

func (c *Core) turnReason(t *activeTurn) string {
	switch t.phase {
	case reserving:
		return "The budget's reservation is being made durable"
	case queued:
		if len(c.engines(t.agent.Model)) == 0 {
			return "No endpoint serves model " + t.agent.Model
		}
		return "Every usable endpoint of model " + t.agent.Model + " is full"
	case running:
		return "The endpoint is generating"
	}
	return "The finished turn is being made durable"
}

// list answers with the programs, or the calls with an unknown outcome, of all
// owned shards.
func (c *Core) list(r *request, query *requester.List) {
	listed := &requester.ListReply{}
	for _, number := range c.ownedShards() {
		s := c.shards[number]
		listed.Count += len(s.state.programs)
		if query.Kind == requester.ListCount {
			continue
		}
		if query.Kind == requester.ListUnknown {
			listed.Outcomes = append(listed.Outcomes, s.unknownOutcomes(r.business)...)
			continue
		}
		for _, p := range sortedPrograms(s.state.programs) {
			if r.business == "" || p.business == r.business {
				listed.Programs = append(listed.Programs, c.explanation(p))
			}
		}
	}
	c.reply(r, requester.Reply{List: listed})
}

func (c *Core) ownedShards() []int {
	numbers := make([]int, 0, len(c.shards))
	for number := range c.shards {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	return numbers
}

func (s *shard) unknownOutcomes(business string) []requester.OutcomeView {
	var views []requester.OutcomeView
	for _, k := range sortedCalls(s.state.calls) {
		if k.outcome.State != recorder.Unknown || (business != "" && k.intent.Business != business) {
			continue
		}
		view := k.view()
		views = append(views, *view)
	}
	return views
}
