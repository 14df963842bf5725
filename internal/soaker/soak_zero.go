package soaker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// zeroWait is how long a caller that states a deadline of zero waits all the same.
const zeroWait = time.Second

// zeroTurns is how many turns a program without tokens tries.
const zeroTurns = 3

// sendZeros sends a call that states a deadline, a budget or a last event of zero.
func (c *caller) sendZeros(ctx context.Context) {
	in := c.drawInstance()
	program := fmt.Sprintf("zero-%d-%d", c.index, c.requests)
	body := program + " " + standin.StateEvents(mostEvents)
	turn := standin.Call{Path: standin.PathSession + "x", Body: body, Program: program, Budget: callerBudget, MaxTokens: callerMost, Gap: streamGap}
	switch c.random.IntN(3) {
	case 0:
		c.count(c.report.Checks, "no time")
		call := []standin.Call{turn, {Path: standin.PathLookup + "x"}, {Path: standin.PathPost + "x"}}[c.random.IntN(3)]
		call.GracePeriod = zeroWait
		c.sendBy(ctx, sentCall{call: call, instance: in}, c.exchange)
	case 1:
		c.count(c.report.Checks, "no budget")
		turn.Budget, turn.HasEmptyBudget = 0, true
		events := 0
		for range zeroTurns {
			sent := c.send(ctx, in, turn)
			if events += len(sent.reply.Events()); sent.reply.Status != http.StatusOK || events == 0 {
				break
			}
		}
		if events > 0 {
			c.violate("BUDGET: a program without tokens got %d events: %s", events, c.describe(c.sent[len(c.sent)-1]))
		}
	default:
		turn.ResumesFromZero = true
		c.attempt(ctx, &callerStream{want: mostEvents}, in, turn)
	}
}
