package limiter_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/limiter"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The granted retries never exceed the sum of the burst, the share of requests
// and the refill over time, and one business does not use up another's retries.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := limiter.NewRetryBudget(1)
		now := epoch
		granted, requests := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				budget.Earn(now, "a", 0.2)
				requests++
			case 1:
				if budget.Spend(now, "a") {
					granted++
				}
			case 2:
				now = now.Add(time.Second)
			}
		}
		bound := 10 + 0.2*float64(requests) + now.Sub(epoch).Seconds()/10
		if float64(granted) > bound+1e-6 {
			t.Fatalf("%d retries granted, want at most %.1f", granted, bound)
		}
		if !budget.Spend(now, "b") {
			t.Fatal("business b was refused its first retry")
		}
	})
}

func TestBackoffBound(t *testing.T) {
	budget := limiter.NewRetryBudget(1)
	bounds := []time.Duration{50, 100, 200, 400, 800, 1600, 3200, 5000, 5000}
	for i, bound := range bounds {
		distinct := map[time.Duration]bool{}
		for range 100 {
			wait := budget.Backoff(i + 1)
			if wait < 0 || wait >= bound*time.Millisecond {
				t.Fatalf("Backoff(%d) = %v, want below %v", i+1, wait, bound*time.Millisecond)
			}
			distinct[wait] = true
		}
		if len(distinct) < 90 {
			t.Errorf("Backoff(%d) returned %d distinct waits in 100 calls, want at least 90", i+1, len(distinct))
		}
	}
}

// dispatchAtTenPerSecond records one dispatch every 100 ms for 20 s with a
// backlog, and returns the time of the last one.
func dispatchAtTenPerSecond(c *limiter.AdmissionController) time.Time {
	now := epoch
	c.SetBacklog(now, 100)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		c.RecordDispatch(now)
	}
	return now
}

func TestExpectedWaitFollowsDrainRate(t *testing.T) {
	c := limiter.NewAdmissionController()
	now := dispatchAtTenPerSecond(c)
	wait, known := c.ExpectedWait(now, 100)
	if !known || wait < 9*time.Second || wait > 11*time.Second {
		t.Errorf("Wait = %v, %v, want about 10s", wait, known)
	}
	// The time in which the queue is empty does not change the rate.
	c.SetBacklog(now, 0)
	now = now.Add(time.Hour)
	c.SetBacklog(now, 1)
	if idle, _ := c.ExpectedWait(now, 100); idle != wait {
		t.Errorf("Wait after an idle hour = %v, want %v", idle, wait)
	}
}

func TestAdmitRefusesLateRequests(t *testing.T) {
	c := limiter.NewAdmissionController()
	if _, ok := c.Admit(epoch, 1000, time.Second); !ok {
		t.Error("a request was refused before the first dispatch")
	}
	now := dispatchAtTenPerSecond(c)
	tests := []struct {
		name     string
		position int
		left     time.Duration
		want     bool
	}{
		{"InTime", 50, 10 * time.Second, true},
		{"Late", 200, 5 * time.Second, false},
		{"NoDeadline", 100000, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			retryAfter, ok := c.Admit(now, test.position, test.left)
			if diff := cmp.Diff(test.want, ok); diff != "" {
				t.Error(diff)
			}
			if !ok && (retryAfter < time.Second || retryAfter > time.Minute) {
				t.Errorf("the proposed wait is %v, want 1s to 1m", retryAfter)
			}
		})
	}
}

// The expected wait grows while a backlogged queue dispatches nothing.
func TestExpectedWaitGrowsDuringStall(t *testing.T) {
	c := limiter.NewAdmissionController()
	now := dispatchAtTenPerSecond(c)
	before, _ := c.ExpectedWait(now, 10)
	after, _ := c.ExpectedWait(now.Add(10*time.Second), 10)
	if after < 2*before {
		t.Errorf("Wait = %v after a stall of 10s, want at least twice %v", after, before)
	}
	if _, ok := c.Admit(now.Add(time.Hour), 1, time.Minute); ok {
		t.Error("a request was admitted after a stall of an hour")
	}
}

// observeGaps records the gap every 100 ms for 10 s with the window fully used,
// and returns the time of the last observation.
func observeGaps(w *limiter.ConcurrencyWindow, now time.Time, gap time.Duration) time.Time {
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		w.RecordInFlight(w.Limit())
		w.RecordGap(now, gap)
	}
	return now
}

func TestConcurrencyWindowFollowsLatency(t *testing.T) {
	w := limiter.NewConcurrencyWindow(epoch, 32)
	if diff := cmp.Diff(32, w.Limit()); diff != "" {
		t.Error(diff)
	}
	now := observeGaps(w, epoch, 100*time.Millisecond)
	low := w.Limit()
	if low > 8 {
		t.Errorf("Limit = %d after ten slow seconds, want at most 8", low)
	}
	now = observeGaps(w, now, 20*time.Millisecond)
	if got := w.Limit(); got < low+9 {
		t.Errorf("Limit = %d after ten fast seconds, want at least %d", got, low+9)
	}
	observeGaps(w, now, time.Second)
	if got := w.Limit(); got < 1 {
		t.Errorf("Limit = %d, want at least 1", got)
	}
}

// The limit does not grow while it is not reached, and a long time to first token
// that is due to a long prefill does not count as late.
func TestConcurrencyWindowIgnoresUnusedCapacityAndPrefill(t *testing.T) {
	w := limiter.NewConcurrencyWindow(epoch, 32)
	now := observeGaps(w, epoch, 100*time.Millisecond)
	want := w.Limit()
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		w.RecordFirstToken(now, 5*time.Second, 20000)
	}
	if diff := cmp.Diff(want, w.Limit()); diff != "" {
		t.Error(diff)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		w.RecordFailure(now)
	}
	if got := w.Limit(); got >= want {
		t.Errorf("Limit = %d after failures, want below %d", got, want)
	}
}
