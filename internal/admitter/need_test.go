package admitter_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

var needPolicy = admitter.Policy{SoftLimit: 1.2, HardLimit: 2, MinRetryAfter: 200 * time.Millisecond, MaxRetryAfter: 900 * time.Millisecond}

func endpoints(slots int, loads ...float64) []registrar.Candidate {
	out := engines(loads...)
	for i := range out {
		out[i].Slots = slots
	}
	return out
}

// Each resource binds where it has the least room, and only there.
func TestBindingResource(t *testing.T) {
	need := admitter.Need{Left: 4 * time.Second, Target: 4 * time.Second, Rest: 2 * time.Second, EngineShare: 0.5}
	for _, tc := range []struct {
		name        string
		engineLoad  float64
		context     float64
		application float64
		want        admitter.Resource
		isRefusing  bool
	}{
		{"idle", 0, 3000, 0, admitter.NoResource, false},
		{"under half of the places taken", 2.9, 3000, 1, admitter.NoResource, false},
		{"all places taken, nothing waits", 6, 8000, 12, admitter.NoResource, false},
		{"engine time", 10, 3000, 6, admitter.EngineTime, true},
		// 51,172 tokens hold three requests of 17,000.
		{"more context than memory", 5, 17000, 6, admitter.EngineMemory, true},
		{"application endpoints", 3, 3000, 24, admitter.ApplicationEndpoints, true},
		{"application endpoints behind engines", 11.5, 3000, 13, admitter.EngineTime, true},
	} {
		room := admitter.RoomOf(endpoints(6, tc.engineLoad, tc.engineLoad), 51172, tc.context, endpoints(6, tc.application))
		got := admitter.Contend(needPolicy, need, room)
		if got.Binding != tc.want || (got.Refused > 0) != tc.isRefusing {
			t.Errorf("%s: %+v in %+v", tc.name, got, room)
		}
	}
}

// Load: one kind sends 2.1 times and the other 1.5 times as much within eight seconds. The less
// urgent kind is refused first and wholly before half of the more urgent one is, and never less
// than it; programs that can't end in time come behind those that can.
func TestLessUrgentProgramsAreRefusedFirst(t *testing.T) {
	share := func(priority int, left time.Duration, load float64) float64 {
		need := admitter.Need{Priority: priority, Left: left, Target: 3 * time.Second, Rest: 2 * time.Second, EngineShare: 0.5}
		return admitter.Contend(needPolicy, need, admitter.RoomOf(endpoints(6, load*6-4, load*6+4), 51172, 3000)).Refused
	}
	for load := 0.5; load < 2.2; load += 0.05 {
		urgent, other, late := share(0, 4*time.Second, load), share(1, 4*time.Second, load), share(0, 1500*time.Millisecond, load)
		if urgent > other || urgent > late || (urgent > 0.5 && other < 1) {
			t.Errorf("load %.2f: %.2f of the urgent, %.2f of the others, %.2f of the late ones refused", load, urgent, other, late)
		}
	}
	want := []float64{0, 0, 0.5, 0, 1, 1}
	if diff := cmp.Diff(want, []float64{
		share(0, 4*time.Second, 0.85), share(1, 4*time.Second, 0.75), share(1, 4*time.Second, 0.89), share(0, 1500*time.Millisecond, 0.6),
		share(0, 1500*time.Millisecond, 0.9), share(0, -5*time.Second, 0.9),
	}, cmp.Comparer(func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 })); diff != "" {
		t.Error(diff)
	}
}

// Callers who return after a burst come back when there is room and spread over the time in
// which it comes free, in the part of their time that they wait at all.
func TestRefusedCallersReturnAsRoomComesFree(t *testing.T) {
	need := admitter.Need{Left: 6 * time.Second, Target: 6 * time.Second, Rest: 2 * time.Second, EngineShare: 0.5}
	c := admitter.Contend(needPolicy, need, admitter.RoomOf(endpoints(6, 10), 51172, 3000))
	if c.FreeIn < 1500*time.Millisecond || c.FreeIn > 2500*time.Millisecond {
		t.Fatalf("%+v", c)
	}
	counts := map[time.Duration]int{}
	var last time.Duration
	for i := range 100 {
		sample := float64(i) / 100
		d := admitter.Decide(needPolicy, admitter.Turn{First: true, Left: 15 * time.Second, RetrySample: sample}, c, 0.6)
		if d.Admitted || d.RetryAfter < c.FreeIn || d.RetryAfter > 5*time.Second || d.RetryAfter < last {
			t.Fatalf("%v: %+v with %+v", sample, d, c)
		}
		last = d.RetryAfter
		counts[d.RetryAfter.Truncate(250*time.Millisecond)]++
	}
	for at, n := range counts {
		if n > 30 {
			t.Errorf("%d of 100 callers return within 250 ms after %v", n, at)
		}
	}
	for _, left := range []time.Duration{-time.Second, 0, time.Second} {
		d := admitter.Decide(needPolicy, admitter.Turn{First: true, Left: left, RetrySample: 0.9}, c, 1)
		if d.RetryAfter < 0 || d.RetryAfter > max(left, 0)/3 {
			t.Errorf("%v left: %+v", left, d)
		}
	}
	if d := admitter.Decide(needPolicy, admitter.Turn{First: true, LimitSample: 0.6}, c, 0.6); !d.Admitted {
		t.Errorf("%+v", d)
	}
}
