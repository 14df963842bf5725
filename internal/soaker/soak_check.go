package soaker

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	// deadlineSlack is by how much an endpoint may be given more time than the caller has left.
	deadlineSlack = 500 * time.Millisecond
	// goneSlack is how long an endpoint may work on after the caller has left, and moveSlack after
	// the request went on elsewhere.
	goneSlack = 500 * time.Millisecond
	moveSlack = 400 * time.Millisecond
)

// checkAnswer checks the answer to a call by itself.
func (c *caller) checkAnswer(sent sentCall) {
	call, reply := sent.call, sent.reply
	c.count(c.report.Checks, "answer")
	if reply.IsSigned() && reply.Signature() != standin.SignatureOf(call.ID) {
		c.violate("MIXED: signature %q: %s", reply.Signature(), c.describe(sent))
	}
	if reply.Status != http.StatusOK || !reply.IsComplete {
		return
	}
	if !reply.IsSigned() || reply.Header.Get(standin.HeaderID) != call.ID {
		c.violate("MIXED: a success with the header %v: %s", reply.Header, c.describe(sent))
	}
	if want := "answer to " + call.ID + "\n"; call.MaxTokens == 0 && reply.Body != want {
		c.violate("MIXED: %q: %s", reply.Body, c.describe(sent))
	}
}

// check checks what can be said only when everything has ended: how often each
// request ran, with how much time, whether its answer was lost, and that each kept turn is found
// again.
func (c *caller) check(ctx context.Context) {
	arrivals := c.arrivals()
	for _, s := range c.sent {
		runs := c.runs(s.call.ID)
		c.checkAccount(s.call)
		c.checkLoss(s, runs)
		c.checkArrivals(s, arrivals[s.call.ID])
		c.checkRuns(s, runs)
		idempotent := s.call.Path == standin.PathLookup+"x" || s.call.Path == standin.PathSession+"x"
		c.count(c.report.Checks, "at most once")
		if len(runs) > 1 && !idempotent {
			c.violate("TWICE: %s", c.describe(s))
		}
		if s.reply.IsNotRun() && len(runs) > 0 && !idempotent {
			c.violate("REFUSED: %s", c.describe(s))
		}
	}
	for _, kept := range c.kept[max(0, len(c.kept)-lastTries):] {
		c.count(c.report.Checks, "kept turn")
		if attempts, found := c.find(ctx, kept); !found {
			c.violate("LOST: turn %s is not found after the faults: %s", kept.id, c.describeAll(attempts))
		}
	}
}

// arrival is a request that an endpoint read.
type arrival struct {
	standin.Arrival
	endpoint *endpoint
}

// arrivals returns what endpoints read, by the ID of the request, in order.
func (s *soak) arrivals() map[string][]arrival {
	all := map[string][]arrival{}
	for _, e := range s.allEndpoints() {
		for _, a := range e.Arrivals() {
			all[a.ID] = append(all[a.ID], arrival{a, e})
		}
	}
	for _, of := range all {
		slices.SortFunc(of, func(a, b arrival) int { return a.At.Compare(b.At) })
	}
	return all
}

// checkArrivals checks what endpoints read of the call while the instances were calm.
func (c *caller) checkArrivals(s sentCall, all []arrival) {
	for _, a := range all {
		if !c.history.isCalm(s.began, a.At, c.instanceNames()...) {
			continue
		}
		c.checkDeadline(s, all[0], a)
		if !c.history.isCalm(s.began, a.At, storeSubject, a.endpoint.ID) {
			continue
		}
		c.count(c.report.Checks, "drain")
		if left := a.endpoint.left; !left.IsZero() && a.At.After(left.Add(drainTime)) {
			c.violate("DRAIN: %s, which left at %s, got %s at %s: %s",
				a.endpoint.ID, left.UTC().Format(timeFormat), a.ID, a.At.UTC().Format(timeFormat), c.describe(s))
		}
	}
}

// checkDeadline checks that no endpoint was given more time than the caller stated, and none to
// which a request was sent again more than was left.
func (c *caller) checkDeadline(s sentCall, first, a arrival) {
	c.count(c.report.Checks, "deadline")
	if !a.HasDeadline || a.Deadline > s.call.Deadline+deadlineSlack {
		c.violate("BUDGET: given %v of %v: %s", a.Deadline, s.call.Deadline, c.describe(s))
	}
	end := a.At.Add(a.Deadline - deadlineSlack)
	isLate := a.At.Sub(first.At) > deadlineSlack && end.After(first.At.Add(first.Deadline))
	// The deadline runs from the end of the head, which comes before that of the body.
	if own := maxTime(s.began, s.reply.Sent).Add(s.call.Deadline); isLate && end.After(own) {
		c.violate("BUDGET: sent again %v later with %v, given %v at first: %s", a.At.Sub(first.At), a.Deadline, first.Deadline, c.describe(s))
	}
}

// checkRuns checks that endpoints ended their work on the call in calm soon after its caller had
// left, and before it went on at another one. It does not hold for those that go on by themselves.
func (c *caller) checkRuns(s sentCall, runs []standin.Run) {
	subjects := c.instanceNames()
	for _, e := range c.allEndpoints() {
		subjects = append(subjects, e.ID)
	}
	if !c.history.isCalm(s.began, s.ended.Add(goneSlack), subjects...) {
		return
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	for i, run := range runs {
		c.count(c.report.Checks, "end of work")
		if s.reply.HasLeft && run.Began.After(s.ended.Add(goneSlack)) {
			c.violate("GONE: reached %s after its caller had left: %s", run.Endpoint, c.describe(s))
		}
		if run.RunsOn {
			continue
		}
		if s.reply.HasLeft && (run.Ended.IsZero() || run.Ended.After(s.ended.Add(goneSlack))) {
			c.violate("GONE: %s worked on until %s: %s", run.Endpoint, run.Ended.UTC().Format(timeFormat), c.describe(s))
		}
		if i+1 < len(runs) && (run.Ended.IsZero() || run.Ended.After(runs[i+1].Began.Add(moveSlack))) {
			c.violate("TWICE: %s worked on beside %s: %s", run.Endpoint, runs[i+1].Endpoint, c.describe(s))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
