package relayer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// A turn came again after the time for which the engine that failed it is avoided, and went there.
func TestTurnLeavesEndpointsThatFailedIt(t *testing.T) {
	var candidates []registrar.Candidate
	for _, id := range []string{"e-1", "e-2", "e-3"} {
		candidates = append(candidates, registrar.Candidate{Endpoint: registrar.Endpoint{ID: id}})
	}
	got := map[string][]string{}
	for name, failed := range map[string][]string{"none": nil, "one": {"e-2"}, "all": {"e-2", "e-1", "e-3"}, "unknown": {"e-9"}} {
		for _, c := range withoutFailed(candidates, failed) {
			got[name] = append(got[name], c.ID)
		}
	}
	all := []string{"e-1", "e-2", "e-3"}
	if diff := cmp.Diff(map[string][]string{"none": all, "one": {"e-1", "e-3"}, "all": all, "unknown": all}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against engines that respond to a part of their turns with 500, or not
// at all before the caller's deadline (deploy/days/08).
func TestOutcomeOfStatus(t *testing.T) {
	type outcomes struct{ Turn, Plain registrar.Outcome }
	got := map[int]outcomes{}
	for _, status := range []int{200, 404, 500, 504} {
		got[status] = outcomes{Turn: turnOutcome(status), Plain: plainOutcome(status)}
	}
	want := map[int]outcomes{
		200: {registrar.Served, registrar.Served},
		404: {registrar.Neutral, registrar.Served},
		500: {registrar.Failed, registrar.Served},
		504: {registrar.Failed, registrar.Failed},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestOutcomeOfTimeout(t *testing.T) {
	for _, tc := range []struct {
		waited time.Duration
		load   float64
		want   registrar.Outcome
	}{
		{2 * time.Second, 3, registrar.Failed},
		{300 * time.Millisecond, 3, registrar.Neutral},
		{2 * time.Second, 20, registrar.Neutral},
	} {
		c := registrar.Candidate{Endpoint: registrar.Endpoint{Slots: 16}, Load: tc.load}
		if diff := cmp.Diff(tc.want, timeoutOutcome(tc.waited, c)); diff != "" {
			t.Errorf("%v at load %v: %s", tc.waited, tc.load, diff)
		}
	}
}
