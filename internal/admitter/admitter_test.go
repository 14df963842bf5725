package admitter_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

var policy = admitter.Policy{SoftLimit: 0.6, MinRetryAfter: 200 * time.Millisecond, MaxRetryAfter: 900 * time.Millisecond}

func engines(loads ...float64) []registrar.Candidate {
	var out []registrar.Candidate
	for _, load := range loads {
		out = append(out, registrar.Candidate{Endpoint: registrar.Endpoint{Slots: 16}, Load: load})
	}
	return out
}

func TestAdmit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		turn  admitter.Turn
		loads []float64
		want  admitter.Decision
	}{
		{"idle", admitter.Turn{First: true, Left: 3 * time.Second}, []float64{0, 0}, admitter.Decision{Admitted: true}},
		{"new program below the limit", admitter.Turn{First: true, Left: 3 * time.Second}, []float64{8, 8}, admitter.Decision{Admitted: true, Mean: 0.5}},
		{
			"new program above the limit",
			admitter.Turn{First: true, Left: 3 * time.Second, RetrySample: 0.5},
			[]float64{16, 16},
			admitter.Decision{Mean: 1, RetryAfter: 550 * time.Millisecond},
		},
		{
			"limited by the deadline",
			admitter.Turn{First: true, Left: 600 * time.Millisecond, RetrySample: 0.9},
			[]float64{16, 16},
			admitter.Decision{Mean: 1, RetryAfter: 200 * time.Millisecond},
		},
		{"running program above the limit", admitter.Turn{Left: 3 * time.Second}, []float64{40, 40}, admitter.Decision{Admitted: true, Mean: 2.5}},
		{"no engine known", admitter.Turn{First: true}, nil, admitter.Decision{Admitted: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, admitter.Admit(policy, tc.turn, engines(tc.loads...))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Programs that are refused at the same time must not retry at the same time: their
// delays are spread over the whole time that callers accept.
func TestRefusedProgramsRetryAtDifferentTimes(t *testing.T) {
	var last time.Duration
	for i := range 10 {
		d := admitter.Admit(policy, admitter.Turn{First: true, Left: 3 * time.Second, RetrySample: float64(i) / 10}, engines(16))
		if d.Admitted || d.RetryAfter <= last {
			t.Fatalf("sample %d: %+v after %v", i, d, last)
		}
		last = d.RetryAfter
	}
}

// In a long burst all instances learn of the load with a delay. Between the limits
// the refused share grows with the load, so that the instances do not alternate
// between refusing and admitting everything at the same time.
func TestRefusedShareGrowsWithLoad(t *testing.T) {
	ramp := policy
	ramp.SoftLimit, ramp.HardLimit = 1, 2
	got := map[float64]int{}
	for _, load := range []float64{12, 16, 20, 24, 28, 32, 40} {
		for i := range 100 {
			turn := admitter.Turn{First: true, Left: 3 * time.Second, LimitSample: float64(i) / 100}
			if !admitter.Admit(ramp, turn, engines(load)).Admitted {
				got[load/16]++
			}
		}
	}
	want := map[float64]int{1.25: 25, 1.5: 50, 1.75: 75, 2: 100, 2.5: 100}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// In a burst, turns of programs that can still be in time come first, those of running
// programs before first turns. Among them the priority decides, then the slack: by arrival, a
// program with time to spare delayed one that was late by the length of one turn.
func TestPriority(t *testing.T) {
	const second = time.Second
	order := []struct {
		name string
		admitter.Order
	}{
		{"urgent, tight", admitter.Order{HasTarget: true, Left: 2 * second, Rest: 1900 * time.Millisecond}},
		{"urgent, ample", admitter.Order{HasTarget: true, Left: 3 * second, Rest: 2 * second}},
		{"second, tight", admitter.Order{Priority: 1, HasTarget: true, Left: 2 * second, Rest: 1900 * time.Millisecond}},
		{"second, ample", admitter.Order{Priority: 1, HasTarget: true, Left: 9 * second, Rest: 2 * second}},
		{"least urgent", admitter.Order{Priority: 2, HasTarget: true, Left: 9 * second, Rest: 2 * second}},
		{"urgent, new", admitter.Order{First: true, HasTarget: true, Left: 9 * second, Rest: 2 * second}},
		{"second, new", admitter.Order{First: true, Priority: 1, HasTarget: true, Left: 9 * second, Rest: 2 * second}},
		{"urgent, late as the rest takes longer", admitter.Order{HasTarget: true, Left: second, Rest: 2 * second, Target: 9 * second}},
		{"second, past the target", admitter.Order{Priority: 1, HasTarget: true, Left: -second}},
		{"past twice the target", admitter.Order{HasTarget: true, Left: -9 * second, Rest: second, Target: 9 * second}},
	}
	last := -1
	for _, o := range order {
		rank := admitter.Priority(o.Order)
		if rank <= last || rank > 9 {
			t.Errorf("%s has rank %d after %d", o.name, rank, last)
		}
		last = rank
	}
	for _, o := range []admitter.Order{{Priority: 1 << 62, First: true, HasTarget: true}, {First: true, HasTarget: true, Left: -second}} {
		if got := admitter.Priority(o); got != 9 {
			t.Errorf("%+v has rank %d", o, got)
		}
	}
	// A program without a target, or of a route that is not known yet, is not late.
	if got := admitter.Priority(admitter.Order{Rest: second}); got != 1 {
		t.Errorf("a program without a target has rank %d", got)
	}
}

// Load: most engines have a limit and little to do, the others all the turns. New programs
// were admitted as if the limited ones had room for them.
func TestLimitedEnginesDoNotLowerTheMean(t *testing.T) {
	all := engines(0, 0, 0, 0, 16, 16)
	for i := range 4 {
		all[i].Limit = registrar.Limit{IsSet: true, Rate: 6}
	}
	first := admitter.Turn{First: true, Left: 3 * time.Second}
	if diff := cmp.Diff(admitter.Decision{Mean: 1, RetryAfter: 200 * time.Millisecond}, admitter.Admit(policy, first, all)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(admitter.Decision{Admitted: true}, admitter.Admit(policy, first, all[:4])); diff != "" {
		t.Errorf("all engines have a limit: %s", diff)
	}
}

// In a burst, turns of programs that can still meet their deadline come first, and
// routes keep their order among equal turns.
func TestStagePriority(t *testing.T) {
	order := []struct {
		route       int
		first, late bool
	}{
		{0, false, false},
		{1, false, false},
		{0, true, false},
		{1, true, false},
		{0, false, true},
		{1, false, true},
		{0, true, true},
	}
	last := -1
	for _, o := range order {
		rank := admitter.StagePriority(o.route, o.first, o.late)
		if rank <= last || rank > 9 {
			t.Errorf("%+v has rank %d after %d", o, rank, last)
		}
		last = rank
	}
	if got := admitter.StagePriority(50, true, true); got != 9 {
		t.Errorf("the lowest rank is %d", got)
	}
}
