//go:build !race

package allotter

import (
	"testing"
	"time"
)

// Guards against decisions that cost more than 2 us at 500 accounts. A busy host slows them down, so
// that the best of several rounds counts.
func TestDecisionCost(t *testing.T) {
	const target = 2 * time.Microsecond
	best := time.Hour
	for range 5 {
		r := testing.Benchmark(BenchmarkDecide)
		best = min(best, time.Duration(r.NsPerOp()))
		if best <= target {
			return
		}
	}
	t.Errorf("%v a decision, %v allowed", best, target)
}
