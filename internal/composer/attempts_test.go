package composer_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// An engine that states a limit breaks streams off before their first event. They ran at a second
// engine although the route allows one.
func TestBrokenStreamStaysWithinTheAttemptsOfItsRoute(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3, 0)
	troubled := f.engines[0]
	troubled.SetLimit(4)
	troubled.SetFaults(standin.EndpointFaults{Dropped: 0.5})
	var served atomic.Int32
	const streams = 90
	runConcurrently(streams, func(i int) {
		<-time.After(time.Duration(i) * 40 * time.Millisecond)
		id := fmt.Sprint("s-", i)
		reply := f.do(f.instances[0], sessionCall(id, id))
		if reply.IsComplete {
			served.Add(1)
		}
		if ran := f.enginesOf(id); len(ran) > 1 {
			t.Errorf("%s ran at %d engines", id, len(ran))
		}
	})
	if n := served.Load(); n < streams*3/4 {
		t.Errorf("%d of %d streams were served", n, streams)
	}
}
