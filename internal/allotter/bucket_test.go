package allotter

import (
	"testing"
	"time"
)

// Guards against issuers that follow each other for one half of the bound, for example a process
// that is killed again and again, and together permit more than it in a window.
func TestSuccessiveIssuersKeepTheBound(t *testing.T) {
	const window, rate, depth = 5 * time.Second, 10.0 / float64(time.Second), 15.0
	var permitted []time.Duration
	b := bucket{level: depth}
	for now := time.Duration(0); now < 4*window; now += 10 * time.Millisecond {
		if now%(700*time.Millisecond) == 0 && now > 0 {
			b = bucket{at: now}
		}
		b.fill(now, rate, depth)
		for b.timeUntil(1, rate) == 0 {
			b.take()
			permitted = append(permitted, now)
		}
	}
	for first := range permitted {
		count := 0
		for _, at := range permitted[first:] {
			if at-permitted[first] <= window {
				count++
			}
		}
		if most := int(depth + rate*float64(window)); count > most {
			t.Fatalf("%d permits in the window from %v, %d allowed", count, permitted[first], most)
		}
	}
	if len(permitted) == 0 {
		t.Error("nothing was permitted")
	}
}
