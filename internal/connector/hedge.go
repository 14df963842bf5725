package connector

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

type readResult struct {
	body []byte
	err  error
}

// sendHedged sends a read and, if it has no answer after a while, once more on
// another connection. The first definite answer counts.
func (c *Connector) sendHedged(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan readResult, 2)
	ask := func() {
		body, err := c.attempt(ctx, r)
		answers <- readResult{body, err}
	}
	go ask()
	pending := 1
	timer := time.NewTimer(c.hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if c.readLimiter.allow() {
				c.count(r, resultHedged)
				c.meter.Retries.WithLabelValues("Hedge", "Store").Inc()
				pending++
				go ask()
			}
		case a := <-answers:
			pending--
			if pending == 0 || !errors.Is(a.err, storer.ErrUnavailable) {
				return a.body, a.err
			}
		}
	}
}
