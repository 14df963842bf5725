package soaker

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	// slowMost is the longest time for which a head or body comes in.
	slowMost     = 3 * time.Second
	slowDeadline = 8 * time.Second
	// slowUses is how many calls a connection serves, at most.
	slowUses = 4
)

// runSlow sends unsafe calls whose heads or bodies come in slowly, on new and kept connections.
func (c *caller) runSlow(ctx context.Context) {
	for ctx.Err() == nil {
		in := c.drawInstance()
		conn := &standin.Conn{Address: in.callers(), IsHTTP10: !c.NoHTTP10 && c.random.IntN(oldCallers) == 0}
		for range 1 + c.random.IntN(slowUses) {
			pace := standin.Pace{}
			within := time.Duration(c.random.Int64N(int64(slowMost)))
			switch c.random.IntN(3) {
			case 0:
				pace.Head = within
			case 1:
				pace.Body = within
			}
			call := standin.Call{Path: standin.PathPost + "x", Body: fmt.Sprintf("a slow body of caller %d", c.index), Deadline: slowDeadline}
			sent := c.sendBy(ctx, sentCall{call: call, instance: in, isOld: conn.IsHTTP10}, func(ctx context.Context, s sentCall) standin.Reply {
				return conn.Do(ctx, s.call, pace)
			})
			if ctx.Err() != nil || sent.reply.Err != nil {
				break
			}
		}
		conn.Close()
		sleep(ctx, time.Duration(c.random.Int64N(int64(100*time.Millisecond))))
	}
}
