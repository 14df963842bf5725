package composer_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// An endpoint that is reached through another instance alone sends bytes without end, in heads, bodies and
// streams that have begun. Neither instance may keep them. The callers read what they get.
func TestEndlessResponsesThroughTunnels(t *testing.T) {
	// The memory of the smallest instances, for two of them, the endpoint and the callers.
	const maxBytes = 2 * 112 << 20
	f := newCutFleet(t)
	f.registerHandler(standin.Endless{Pause: 4 * time.Millisecond}, standin.Registration{ID: "endless", Service: standin.ServiceEngine, Slots: 1000})
	for _, e := range f.engines {
		f.setDraining(e, true)
	}
	f.links["entry-0"].set(cutRefusing, func(netip.AddrPort) bool { return true })
	<-time.After(3 * time.Second) // The instances know of it.
	most := uint64(0)
	var begun atomic.Int64
	done, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	ways := []string{"value", "fields", "interim", "line", "event", "comments", "newlines", "events", "extension", "chunk-size", "trailers", "plain", "long-length"}
	runConcurrently(96, func(i int) {
		id := fmt.Sprint("endless-", i)
		call := sessionCall(id, id)
		call.Deadline = 5 * time.Second
		call.Path = standin.PathSession + []string{"at-once/", standin.EndlessBegun + "/"}[i%2] + ways[i%len(ways)]
		reply := f.do(f.instances[0], call)
		if reply.Status != http.StatusOK {
			return
		}
		begun.Add(1)
		if reply.IsComplete {
			t.Errorf("%s is complete: %d bytes", call.Path, len(reply.Body))
		}
	})
	if begun.Load() == 0 {
		t.Error("no stream has begun")
	}
	close(done)
	<-watched
	if most > maxBytes {
		t.Errorf("%d bytes of heap, %d are allowed", most, uint64(maxBytes))
	}
	t.Logf("%d MB of heap at the most, %d streams had begun", most>>20, begun.Load())
}
