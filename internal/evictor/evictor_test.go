package evictor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/evictor"
)

// withTenSecondPause returns an evictor with one pause of ten seconds of "agent".
func withTenSecondPause() *evictor.Evictor {
	e := evictor.New()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	e.TurnEnded(start, "p")
	e.TurnArrived(start.Add(10*time.Second), "p", "agent")
	return e
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name      string
		agent     string
		pressure  float64
		residence time.Duration
		want      evictor.Decision
	}{
		{"EvictedBeforeReturn", "agent", 0.95, 5 * time.Second, evictor.Drop},
		{"ReturnsBeforeEvicted", "agent", 0.95, 20 * time.Second, evictor.Keep},
		{"NoPressure", "agent", 0.5, 5 * time.Second, evictor.Keep},
		{"NothingEvicted", "agent", 0.95, 0, evictor.Keep},
		{"UnknownAgent", "other", 0.95, 5 * time.Second, evictor.Keep},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := withTenSecondPause().Decide(test.agent, test.pressure, test.residence)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A turn that arrives after ProgramEnded is not counted as the end of a pause.
func TestTurnArrivedAfterProgramEnded(t *testing.T) {
	e := evictor.New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	e.TurnEnded(now, "p")
	e.ProgramEnded("p")
	e.TurnArrived(now.Add(time.Hour), "p", "agent")
	if diff := cmp.Diff(evictor.Keep, e.Decide("agent", 1, time.Second)); diff != "" {
		t.Error(diff)
	}
}
