package composer

import (
	"context"
	"time"
)

const (
	// learnTimeout limits the time for which an instance that starts is not ready because it
	// knows no other one that it could ask for quarantines.
	learnTimeout = time.Second
	// learnInterval is the time between two looks at the members meanwhile.
	learnInterval = 20 * time.Millisecond
	// maxLearnedFrom is the number of instances that are asked. All have the verdicts, except
	// those that have just started.
	maxLearnedFrom = 3
)

// learnQuarantines gets the quarantines of other instances before this one is ready.
func (e *Entry) learnQuarantines(ctx context.Context) {
	defer e.hasQuarantines.Store(true)
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(learnTimeout)
	defer timeout.Stop()
	for {
		instances := e.discoverer.Relays()
		if len(instances) > 0 || !e.discoverer.ReadAt().IsZero() {
			e.quarantine.Learn(ctx, instances[:min(len(instances), maxLearnedFrom)])
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-ticker.C:
		}
	}
}
