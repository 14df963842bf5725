package quarantiner

import (
	"context"
	"sync"

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
			// Verdicts also come with later calls to bookkeepers.
			if err := q.caller.Call(ctx, m.Address, methodReport, report{}, &verdicts); err == nil {
				q.MergeVerdicts(verdicts)
			}
		})
	}
	work.Wait()
}
