package bencher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// small returns a short run with few engines.
func small() Config {
	c := DefaultConfig()
	c.Engines, c.Schedulers = 3, 2
	c.Arrivals, c.Warmup = 60*time.Second, 0
	return c
}

// The same seed gives the same figures, whatever the fault.
func TestRunIsDeterministic(t *testing.T) {
	for _, fault := range []Fault{NoFault, Slow, Silent, Leaving} {
		t.Run(string(fault), func(t *testing.T) {
			c := small()
			c.Fault = fault
			c.Patience = true
			c.Features.Admission, c.Features.Window, c.Features.Evict = true, true, true
			if diff := cmp.Diff(Run(c), Run(c)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
