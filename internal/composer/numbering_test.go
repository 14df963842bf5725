package composer_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Callers got the first event of a broken stream twice if its number was 0, and no whole stream if
// the numbers stepped by more than one.
func TestBrokenStreamGoesOnAfterItsLastEventWhateverItsNumbers(t *testing.T) {
	t.Parallel()
	for name, numbers := range map[string][]int{
		"from-zero":    {0, 1, 2, 3},
		"from-one":     {1, 2, 3, 4},
		"below-zero":   {-1, 0, 1, 2},
		"tokens":       {0, 16, 32, 40},
		"uneven-steps": {1, 2, 5, 1 << 53},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0, 0, 0)
			engine := &standin.NumberedEngine{ID: "engine", Numbers: numbers}
			f.registerHandler(engine, standin.Registration{ID: engine.ID, Service: standin.ServiceEngine, Slots: 8, Version: "v1"})
			f.instances = append(f.instances, f.start("entry-0"))
			f.awaitReady(f.instances[0])
			for after := 1; after < len(numbers); after++ {
				engine.BreakAfter = after
				id := fmt.Sprint(name, "-", after)
				reply := f.doOnceStoreAnswers(f.instances[0], sessionCall(id, id))
				if diff := cmp.Diff(numbers, reply.Events()); diff != "" || !reply.IsComplete {
					t.Errorf("broken off after %d events: %+v: %s", after, reply, diff)
				}
				if diff := cmp.Diff([]string{"", strconv.Itoa(numbers[after-1])}, engine.Requests(id)); diff != "" {
					t.Errorf("broken off after %d events, what the engine was asked for: %s", after, diff)
				}
			}
		})
	}
}

// A caller took up a stream after its event 0 while engines of two versions served. The stream
// began anew at either of them.
func TestStreamTakenUpAfterEventZeroIsAResumption(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t, 1, "v1", "v2")
	call := sessionCall("again", "p")
	call.Resumes, call.ResumesFromZero = "never-was", true
	if reply := f.doOnceStoreAnswers(f.instances[0], call); !reply.IsNotRun() || len(f.enginesOf(call.ID)) != 0 {
		t.Errorf("a stream of unknown version was resumed: %+v", reply)
	}
}
