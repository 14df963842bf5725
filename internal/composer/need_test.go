package composer_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/configurer"
)

// Engines are full of programs under way. A new program is refused before anything of it ran,
// with the scarce resource in the log line, and the next turn of one under way is served.
func TestProgramsUnderWayGoOnAtFullEngines(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 1, 0)
	f.engines[0].ServiceTime = 300 * time.Millisecond
	in := f.startWithSettings("entry-0", func(s *settings) { s.Admission.Policy = configurer.AdmissionNeed })
	f.awaitReady(in)
	first := f.doUntilAccepted(in, turnCall("first", "under-way", "", "in\n"))
	if !first.IsComplete {
		t.Fatalf("%+v", first)
	}
	var others sync.WaitGroup
	defer others.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 16 {
		others.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprint("other-", i, "-", n)
				f.do(in, turnCall(id, id, "", "in\n"))
				select { // Refused callers return a little later.
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	f.await("the engine is full", func() bool { return f.engines[0].Running() >= 8 })
	attempts := 0
	f.await("a new program is refused", func() bool {
		// On a loaded host a decision may take longer than a caller may wait for a refusal.
		attempts++
		id := fmt.Sprint("new-", attempts)
		reply := f.do(in, turnCall(id, id, "", "in\n"))
		if _, ran := f.executedBody(id); reply.Status == http.StatusServiceUnavailable && (ran || reply.Header.Get("Retry-After") == "") {
			t.Errorf("%+v, ran %v", reply, ran)
		}
		return reply.Status == http.StatusServiceUnavailable
	})
	if next := f.do(in, turnCall("next", "under-way", "first", "in\n")); next.Status != http.StatusOK {
		t.Errorf("%+v", next)
	}
	if text := f.log.withoutServed(); !strings.Contains(text, `"Reason":"NewProgram"`) || !strings.Contains(text, `"Binding":"EngineTime"`) {
		t.Error("the log line of the refusal does not name the scarce resource")
	}
}
