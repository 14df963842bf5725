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

// sendHedged sends a read, and sends it again on another connection if there is no
// response after the hedge delay. It returns the first result other than
// storer.ErrUnavailable, or the last one.
func (c *Connector) sendHedged(ctx context.Context, r request) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult, 2)
	send := func() {
		body, err := c.attempt(ctx, r)
		results <- readResult{body, err}
	}
	go send()
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
				go send()
			}
		case res := <-results:
			pending--
			if pending == 0 || !errors.Is(res.err, storer.ErrUnavailable) {
				return res.body, res.err
			}
		}
	}
}
