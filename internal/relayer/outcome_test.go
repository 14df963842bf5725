package relayer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

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
