package soaker

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	// deadlineSlack is by how much an endpoint may be given more time than the caller has left.
	deadlineSlack = 500 * time.Millisecond
	// lossSlack is the time within which a request may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
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
	for _, s := range c.sent {
		runs := c.runs(s.call.ID)
		c.checkAccount(s.call)
		c.checkLoss(s, runs)
		idempotent := s.call.Path == standin.PathLookup+"x" || s.call.Path == standin.PathSession+"x"
		c.count(c.report.Checks, "at most once")
		if len(runs) > 1 && !idempotent {
			c.violate("TWICE: %s", c.describe(s))
		}
		if s.reply.IsNotRun() && len(runs) > 0 && !idempotent {
			c.violate("REFUSED: %s", c.describe(s))
		}
	}
	c.checkDeadlines()
	for _, kept := range c.kept[max(0, len(c.kept)-lastTries):] {
		c.count(c.report.Checks, "kept turn")
		if !c.isFound(ctx, kept) {
			c.violate("LOST: turn %s is not found after the faults", kept.id)
		}
	}
}

// checkLoss checks that a call in calm got a complete answer, and that of the endpoint that ran it.
// Planned changes do not disturb the calm.
func (c *caller) checkLoss(s sentCall, runs []standin.Run) {
	isRefused := s.reply.Sent.IsZero()
	if s.reply.HasLeft || isRefused || s.ended.Sub(s.reply.Sent) >= s.call.Deadline {
		return
	}
	subjects := []string{s.instance.name, storeSubject}
	for _, run := range runs {
		subjects = append(subjects, run.Endpoint)
	}
	if !c.history.isCalm(s.began, s.ended, subjects...) {
		return
	}
	c.count(c.report.Checks, "loss")
	if s.reply.Status == 0 {
		// A connection that is closed with the request unread is reset.
		isRead := len(runs) > 0 || !errors.Is(s.reply.Err, syscall.ECONNRESET)
		if isRead && (len(runs) > 0 || s.ended.Sub(s.reply.Sent) > lossSlack) {
			c.violate("LOST: no answer: %s", c.describe(s))
		}
		return
	}
	// The request may have passed other instances.
	if !c.history.isCalm(s.began, s.ended, c.instanceNames()...) || !isEndpointsCalm(c, s) {
		return
	}
	for _, run := range runs {
		// A stream that is resumed after its last event has none, which may count as a failure.
		isEmpty := s.call.MaxTokens > 0 && run.SentEvents == 0
		if run.IsWhole && !isEmpty && (!s.reply.IsComplete || !s.reply.IsSigned()) {
			c.violate("LOST: %s answered whole: %s", run.Endpoint, c.describe(s))
			return
		}
	}
}

// isEndpointsCalm reports whether no endpoint was disturbed during the call.
func isEndpointsCalm(c *caller, s sentCall) bool {
	var subjects []string
	for _, e := range c.allEndpoints() {
		subjects = append(subjects, e.ID)
	}
	return c.history.isCalm(s.began, s.ended, subjects...)
}

// checkDeadlines checks that no endpoint was given more time than the caller stated, and none to
// which a request was sent again more than was left.
func (c *caller) checkDeadlines() {
	arrivals := map[string][]standin.Arrival{}
	for _, e := range c.allEndpoints() {
		for _, arrival := range e.Arrivals() {
			arrivals[arrival.ID] = append(arrivals[arrival.ID], arrival)
		}
	}
	for _, s := range c.sent {
		all := arrivals[s.call.ID]
		slices.SortFunc(all, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		for _, arrival := range all {
			if !c.history.isCalm(s.began, arrival.At, c.instanceNames()...) {
				continue
			}
			c.count(c.report.Checks, "deadline")
			if !arrival.HasDeadline || arrival.Deadline > s.call.Deadline+deadlineSlack {
				c.violate("BUDGET: given %v of %v: %s", arrival.Deadline, s.call.Deadline, c.describe(s))
			}
			end := arrival.At.Add(arrival.Deadline - deadlineSlack)
			isLate := arrival.At.Sub(all[0].At) > deadlineSlack && end.After(all[0].At.Add(all[0].Deadline))
			// The deadline runs from the end of the head, which comes before that of the body.
			if own := maxTime(s.began, s.reply.Sent).Add(s.call.Deadline); isLate && end.After(own) {
				c.violate("BUDGET: sent again %v later with %v, given %v at first: %s",
					arrival.At.Sub(all[0].At), arrival.Deadline, all[0].Deadline, c.describe(s))
			}
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
