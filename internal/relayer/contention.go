package relayer

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/estimator"
)

// Needs learns what programs need.
type Needs interface {
	// Begin records that a turn of the program was admitted.
	Begin(program, route string, left time.Duration, hasTarget bool)
	// End records a turn that was served, and Call a tool call.
	End(turn estimator.Turn)
	Call(program string)
	// Progress returns where a program stands that has the time left to its target.
	Progress(program, route string, first bool, left time.Duration) estimator.Progress
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
