package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/estimator"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

// A program without a target, or with one that overflows, must not count as late: the turn's
// own deadline bounds it, which the route's timeout limits.
func TestOrderWithoutAPlausibleTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		needs := estimator.New()
		for _, id := range []string{"a", "b"} {
			for range 4 {
				needs.Begin(id, "r", 2*time.Second, true)
				needs.End(estimator.Turn{Program: id, Route: "r", Took: 100 * time.Millisecond})
				time.Sleep(300 * time.Millisecond)
			}
		}
		time.Sleep(5 * time.Second)
		for _, tc := range []struct {
			call Call
			want admitter.Order
		}{
			{Call{ProgramTimeLeft: 2 * time.Second, HasProgramDeadline: true}, admitter.Order{Left: 2 * time.Second, Rest: time.Second, Target: 2 * time.Second}},
			{Call{}, admitter.Order{Left: 3 * time.Second, Rest: 100 * time.Millisecond}},
			{Call{ProgramTimeLeft: -1 << 63, HasProgramDeadline: true}, admitter.Order{Left: 3 * time.Second, Rest: 100 * time.Millisecond}},
			{Call{ProgramTimeLeft: 1 << 62, HasProgramDeadline: true}, admitter.Order{Left: 3 * time.Second, Rest: 100 * time.Millisecond}},
		} {
			x := &exchange{
				Relayer: New(Config{Needs: needs}), call: tc.call, route: &matcher.Route{Name: "r", Priority: 1},
				arrival: time.Now(), deadline: time.Now().Add(3 * time.Second),
			}
			tc.want.Priority, tc.want.First, tc.want.HasTarget = 1, true, true
			if diff := cmp.Diff(tc.want, (&turn{exchange: x, isFirst: true}).order()); diff != "" {
				t.Errorf("%+v: %s", tc.call, diff)
			}
		}
	})
}
