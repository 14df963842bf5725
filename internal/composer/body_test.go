package composer_test

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Guards against bodies that together exceed the memory of the process (issue 43): they were all read
// at once. What does not fit is refused and does not run; small bodies are served.
func TestLargeBodiesStayWithinTheMemory(t *testing.T) {
	const (
		memoryMB, bodyMB, callers = 32, 1, 48
		serviceTime               = 300 * time.Millisecond
	)
	for name, isChunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 0, 1)
			f.services[0].ServiceTime, f.services[0].Slots = serviceTime, 2*callers
			limit := debug.SetMemoryLimit(-1)
			in := f.startWithSettings("entry-0", func(s *settings) { s.MemoryMB = memoryMB })
			f.awaitReady(in)
			// The runtime's limit holds for the whole test process, which would collect garbage all the time.
			debug.SetMemoryLimit(limit)
			f.warmUp(in, standin.PathPost)

			var mu sync.Mutex
			statuses := map[int]int{}
			var work sync.WaitGroup
			large := strings.Repeat("x", bodyMB<<20)
			for i := range callers {
				work.Go(func() {
					call := standin.Call{ID: fmt.Sprintf("large-%d", i), Method: http.MethodPost, Host: standin.Host, Path: standin.PathPost + "x", Body: large, Deadline: 5 * time.Second}
					reply := standin.DoSlowly(t.Context(), in.settings.CallerListen.String(), call, standin.Schedule{IsChunked: isChunked})
					ran := f.runsOf(call.ID)
					switch {
					case reply.Err != nil || !reply.IsComplete:
						t.Errorf("%s: no complete answer, %d runs: %v", call.ID, ran, reply.Err)
					case reply.Status == http.StatusOK && ran == 1:
					case reply.Status == http.StatusServiceUnavailable && ran == 0 && reply.Header.Get("Retry-After") != "":
					default:
						t.Errorf("%s: status %d, %d runs, Retry-After %q", call.ID, reply.Status, ran, reply.Header.Get("Retry-After"))
					}
					mu.Lock()
					statuses[reply.Status]++
					mu.Unlock()
				})
			}
			work.Go(func() {
				for i := range 8 {
					reply := f.do(in, standin.Call{ID: fmt.Sprintf("small-%d", i), Path: standin.PathPost + "x", Body: strings.Repeat("x", 26<<10)})
					if reply.Status != http.StatusOK {
						t.Errorf("small body: status %d, %v", reply.Status, reply.Err)
					}
				}
			})
			ended := make(chan struct{})
			go func() { work.Wait(); close(ended) }()
			most := 0
			for isOver := false; !isOver; {
				select {
				case <-ended:
					isOver = true
				case <-time.After(time.Millisecond):
					most = max(most, f.services[0].Running())
				}
			}
			if most*bodyMB >= memoryMB {
				t.Errorf("bodies of %d MB at a time, the process has %d MB", most*bodyMB, memoryMB)
			}
			if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 {
				t.Errorf("statuses %v", statuses)
			}
			t.Logf("statuses %v, %d at a time", statuses, most)
		})
	}
}
