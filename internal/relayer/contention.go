package relayer

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/apportioner"
	"github.com/wigeonstand/wigeonstand/internal/estimator"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Needs learns what programs need.
type Needs interface {
	// Begin records that a turn of the program was admitted.
	Begin(program, route string, left time.Duration, hasTarget bool)
	// End records a turn that was served, and Call a tool call.
	End(turn estimator.Turn)
	Call(program, service string)
	// Progress returns where a program stands that has the time left to its target.
	Progress(program, route string, first bool, left time.Duration) estimator.Progress
	// Need returns what programs of a route need: what was learned, and otherwise as the
	// caller states it. Context returns the mean number of tokens that a turn holds.
	Need(route string, promptTokens, maxTokens int64) estimator.Need
	Context() float64
	// Adopt records what another instance has learned of a route.
	Adopt(route string, need estimator.Need)
}

// Shares divides scarce capacity between accounts.
type Shares interface {
	// Ask records that an account asks for capacity, and returns the share of its new programs
	// that is to be refused.
	Ask(c apportioner.Contender) float64
}

// maxRefusalDivisor limits the time to a refusal to a part of the route's target latency. A
// caller that has waited for longer has lost more by the refusal than it saves.
const maxRefusalDivisor = 4

// contend finds the contention that a turn meets which may be the first of a program, before
// its tokens are reserved: the bookkeeper divides what is scarce between accounts.
func (t *turn) contend(engines []registrar.Candidate) {
	left, isStated := t.target()
	need := t.Needs.Need(t.route.Name, t.call.PromptTokens, t.call.MaxTokens)
	p := t.Needs.Progress(t.call.Program, t.route.Name, true, left)
	if !isStated {
		p.Rest, p.Target = p.TurnTime, 0
	}
	services := make([][]registrar.Candidate, 0, len(need.Services))
	for _, service := range need.Services {
		services = append(services, t.Endpoints.Candidates(service))
	}
	room := admitter.RoomOf(engines, t.table.Services[t.service].CacheTokens, t.Needs.Context(), services...)
	c := admitter.Contend(t.Policy.Admission, admitter.Need{
		Priority: t.priority(), Left: left, Target: p.Target, Rest: p.Rest, EngineShare: need.EngineShare(),
	}, room)
	t.contention, t.access.meanLoad = &c, room.Engine
	t.contender = &apportioner.Contender{Account: t.accountName(), Service: t.service, Level: c.Level, Work: need.Work(), Refused: c.Refused}
	if !need.IsLearned {
		t.contender.UnknownRoute = t.route.Name
	}
	if t.account != nil {
		t.contender.Weight = t.account.Rate
	}
}

// admitByNeed decides whether to admit the turn. If not, it has been refused. Only the first
// turn of a program may be refused.
func (t *turn) admitByNeed(engines []registrar.Candidate) bool {
	if t.isFirst && t.Needs.Progress(t.call.Program, t.route.Name, true, 0).IsKnown {
		t.isFirst = false
	}
	if !t.isFirst {
		return true
	}
	if t.contention == nil {
		t.contend(engines)
	}
	if t.refusedShare == nil {
		share := t.Shares.Ask(*t.contender)
		t.refusedShare = &share
	}
	c, account := *t.contention, t.accountName()
	t.access.binding, t.access.pressure, t.access.refusedShare = c.Binding, c.Pressure, *t.refusedShare
	t.Metrics.ObserveContention(c)
	isTooLate := t.route.TargetLatency > 0 && time.Since(t.arrival) > t.route.TargetLatency/maxRefusalDivisor
	d := admitter.Decide(t.Policy.Admission, admitter.Turn{First: true, Left: t.timeLeft(), LimitSample: randomFraction(), RetrySample: randomFraction()}, c, *t.refusedShare)
	result := "Admitted"
	switch {
	case !d.Admitted && isTooLate:
		d.Admitted, result = true, "AdmittedAsLate"
	case !d.Admitted:
		result = "Refused"
	}
	t.Metrics.CountProgram(account, c.Binding, result)
	if !d.Admitted {
		t.refuse(answerer.New(answerer.NoEndpoint, "no endpoint has room for the program").WithRetryAfter(d.RetryAfter), "NewProgram")
	}
	return d.Admitted
}

// admit decides whether to admit the turn by the policy in force.
func (t *turn) admit(candidates []registrar.Candidate) bool {
	if t.Policy.ByNeed {
		return t.admitByNeed(candidates)
	}
	decision := admitter.Admit(t.Policy.Admission, admitter.Turn{First: t.isFirst, Left: t.timeLeft(), LimitSample: randomFraction(), RetrySample: randomFraction()}, candidates)
	t.access.meanLoad = decision.Mean
	if !decision.Admitted {
		t.refuse(answerer.New(answerer.Overloaded, "the engines are overloaded").WithRetryAfter(decision.RetryAfter), "NewProgram")
	}
	return decision.Admitted
}

// maxTarget is the longest plausible time to a program's target.
const maxTarget = time.Hour

// target returns the time left to the program's target, and whether the caller states a
// plausible one. Otherwise it is the time left to the turn's deadline, which the route's
// timeout bounds.
func (x *exchange) target() (left time.Duration, isStated bool) {
	if x.call.HasProgramDeadline && x.call.ProgramTimeLeft.Abs() <= maxTarget {
		return x.call.ProgramTimeLeft - time.Since(x.arrival), true
	}
	return x.timeLeft(), false
}

// order returns what ranks the turn at its engine. Without a stated target only this turn
// has to end in time.
func (t *turn) order() admitter.Order {
	left, isStated := t.target()
	p := t.Needs.Progress(t.call.Program, t.route.Name, t.isFirst, left)
	if !isStated {
		p.Rest, p.Target = p.TurnTime, 0
	}
	return admitter.Order{Priority: t.priority(), First: t.isFirst, HasTarget: true, Left: left, Rest: p.Rest, Target: p.Target}
}

// rank returns the turn's rank in the queue of its engine.
func (t *turn) rank() int {
	if t.Policy.ByNeed {
		return admitter.Priority(t.order())
	}
	return admitter.StagePriority(t.priority(), t.isFirst, t.call.HasProgramDeadline && t.call.ProgramTimeLeft <= 0)
}

// recordBegin and recordEnd let the instance learn from an admitted and from a served turn.
func (t *turn) recordBegin() {
	left, isStated := t.target()
	t.Needs.Begin(t.call.Program, t.route.Name, left, isStated)
}

func (t *turn) recordEnd() {
	t.Needs.End(estimator.Turn{
		Program: t.call.Program, Session: t.call.Session, Route: t.route.Name,
		PromptTokens: t.call.PromptTokens, SharedTokens: t.call.SharedTokens, OutputTokens: t.usedTokens(),
		Took: time.Since(t.arrival),
	})
}
