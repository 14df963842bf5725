package soaker

import (
	"errors"
	"syscall"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// lossSlack is the time within which a request may cross the close of its connection.
const lossSlack = 200 * time.Millisecond

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
