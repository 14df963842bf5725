package composer_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/correlator"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// With the policy Soonest all turns and calls are served, turns of a program stay at their
// home, an endpoint that fails fast gets few requests, and the access log says how each
// request was placed.
func TestPlacementBySoonestEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 3, 3)
	for i := range 2 {
		in := f.startWithSettings(fmt.Sprintf("entry-%d", i), func(s *settings) { s.Placement.Policy = configurer.PlacementSoonest })
		f.instances = append(f.instances, in)
		f.awaitReady(in)
	}
	failing := f.services[0]
	failing.SetFaults(standin.EndpointFaults{Dropped: 1})
	const programs, turns = 6, 8
	homes := make([]int, programs)
	runConcurrently(programs, func(i int) {
		used := map[string]bool{}
		for turn := range turns {
			id := fmt.Sprintf("turn-%d-%d", i, turn)
			reply := f.doUntilAccepted(f.instances[turn%2], standin.Call{
				ID: id, Path: standin.PathSession + "x", Body: "in", Program: fmt.Sprint("p-", i), Budget: 100000, MaxTokens: 100,
			})
			if reply.Status != http.StatusOK || !reply.IsComplete {
				t.Errorf("%s: %+v", id, reply)
			}
			for _, e := range f.enginesOf(id) {
				used[e.ID] = true
			}
			call := standin.Call{ID: fmt.Sprintf("call-%d-%d", i, turn), Path: standin.PathLookup + "x", Body: "in"}
			if reply := f.doUntilAccepted(f.instances[turn%2], call); reply.Status != http.StatusOK {
				t.Errorf("%s: %+v", call.ID, reply)
			}
		}
		homes[i] = len(used)
	})
	moves := 0
	for _, n := range homes {
		moves += n - 1
	}
	if moves > programs {
		t.Errorf("%d moves of %d programs: %v", moves, programs, homes)
	}
	failed := 0
	for i := range programs {
		for turn := range turns {
			failed += len(failing.Runs(fmt.Sprintf("call-%d-%d", i, turn)))
		}
	}
	if failed > programs*turns/3 {
		t.Errorf("%d of %d calls were sent to the endpoint that fails", failed, programs*turns)
	}
	f.await("all ways of placement in the log", func() bool {
		lines, _, err := correlator.Read(bytes.NewReader(f.log.bytes()))
		if err != nil {
			t.Fatal(err)
		}
		ways := map[string]bool{}
		for _, line := range lines {
			for _, field := range line.Fields {
				if field.Name == "Placed" {
					ways[field.Value] = true
				}
			}
		}
		return ways["Home"] && ways["Invited"] && ways["Drawn"]
	})
}
