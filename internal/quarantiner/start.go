package quarantiner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

// Learn asks the instances for their verdicts, as an instance that has just started has none and
// would send requests that are quarantined. It returns once all have answered or the time is up.
func (q *Quarantiner) Learn(ctx context.Context, instances []discoverer.Member) {
	ctx, cancel := q.withTimeout(ctx, askTimeout)
	defer cancel()
	var work sync.WaitGroup
	for _, m := range instances {
		work.Go(func() {
			var verdicts []Verdict
			// Verdicts also come with later calls.
			if err := q.caller.Call(ctx, m.Address, methodReport, report{}, &verdicts); err == nil {
				q.MergeVerdicts(verdicts)
			}
		})
	}
	work.Wait()
}

// pullInterval is the mean time between two calls by which an instance asks a bookkeeper for its verdicts.
const pullInterval = time.Second

// Run asks the bookkeepers for their verdicts, one after the other at random, until ctx ends. The calls
// of turns carry verdicts, too, but an instance may get no turns, or none for a while.
func (q *Quarantiner) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(pullInterval*9/10 + rand.N(pullInterval/5))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		self := q.members.Self().Instance
		others := slices.DeleteFunc(slices.Clone(q.members.Bookkeepers("")), func(m discoverer.Member) bool { return m.Instance == self })
		if len(others) > 0 {
			q.Learn(ctx, []discoverer.Member{others[rand.N(len(others))]})
		}
	}
}
