package bencher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func evenPolicy(t *testing.T, name string) EvenPolicy {
	t.Helper()
	for _, p := range evenPolicies() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no policy %q", name)
	return EvenPolicy{}
}

// The same seed gives the same figures, so that policies are compared under the same arrivals.
func TestEvenIsDeterministic(t *testing.T) {
	for _, p := range evenPolicies() {
		c := EvenConfig{Instances: 9, Endpoints: 6, Age: 200 * time.Millisecond, Policy: p, Turns: 3, Speeds: []float64{0.7, 1.7}, Bursts: true, Swing: 0.5, Centres: 3, Requests: 1000, Seed: 1}
		if diff := cmp.Diff(RunEven(c), RunEven(c)); diff != "" {
			t.Errorf("%s: %s", p.Name, diff)
		}
	}
}

// Endpoints were overrun one after another while others were idle, as all instances chose by
// the same stale loads. The setting Soonest must serve each replay better than the placement
// that it replaces.
func TestSoonestServesReplaysBetter(t *testing.T) {
	for _, c := range evenCases() {
		if c.config.Endpoints != 48 {
			continue
		}
		t.Run(c.title, func(t *testing.T) {
			t.Parallel()
			run := func(name string) EvenFigures {
				config := c.config
				config.Age, config.Seed, config.Policy = c.ages[0], 1, evenPolicy(t, name)
				return RunEven(config)
			}
			before, after := run("Two by hash (TwoByHash)"), run("Invitations, told sends (Soonest)")
			if after.P99 >= before.P99 || after.Mean > before.Mean+before.Mean/100 || after.Above >= before.Above {
				t.Errorf("TwoByHash %+v, Soonest %+v", before, after)
			}
		})
	}
}
