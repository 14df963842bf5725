package composer_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Guards against new programs that are refused while the store is away although they need
// only a budget from it, and against budgets that forget what was used meanwhile.
func TestNewProgramsAreServedWhileStoreIsAway(t *testing.T) {
	t.Parallel()
	const budget, maxTokens, programs = 2000, 100, 12
	f := newFleet(t, 0, 3, 0)
	for i := range 3 {
		f.instances = append(f.instances, f.startWithSettings(fmt.Sprintf("entry-%d", i), func(s *settings) { s.Budgets.OutageShare = 0.25 }))
	}
	for _, in := range f.instances {
		f.awaitReady(in)
	}
	f.await("all rights are taken", func() bool { return bytes.Count(f.log.bytes(), []byte(`"RightTaken"`)) >= 64 })
	<-time.After(2 * time.Second) // The writes are acknowledged.

	var tokens [programs]atomic.Int64
	turn := func(program int, id string) standin.Reply {
		reply := f.do(f.instances[program%3], standin.Call{
			ID: id, Path: standin.PathSession + "x", Body: "in", Program: fmt.Sprint("p-", program), Budget: budget, MaxTokens: maxTokens,
		})
		tokens[program].Add(int64(len(reply.Events()) * standin.EventTokens))
		return reply
	}
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	runConcurrently(programs, func(i int) {
		for n := range 2 {
			reply := turn(i, fmt.Sprintf("during-%d-%d", i, n))
			for k := 0; k < 2 && n == 0 && reply.Status == http.StatusServiceUnavailable; k++ {
				// Nothing is opened in the first seconds of an outage. Callers come again.
				pause, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
				if err != nil {
					t.Error(err)
				}
				<-time.After(time.Duration(pause * float64(time.Second)))
				reply = turn(i, fmt.Sprintf("during-%d-%d-%d", i, n, k))
			}
			if reply.Status != http.StatusOK || !reply.IsComplete {
				t.Errorf("program %d during the outage: %+v", i, reply)
			}
		}
	})
	f.rows.SetFaults(fakeplatform.RowFaults{})
	f.await("what was used is recorded", func() bool { return bytes.Contains(f.log.bytes(), []byte(`"OpeningsRecorded"`)) })

	runConcurrently(4, func(i int) {
		isSpent := false
		for n := 0; n < 2*budget/standin.EventTokens && !isSpent; n++ {
			isSpent = turn(i, fmt.Sprintf("after-%d-%d", i, n)).Status == http.StatusPaymentRequired
		}
		if used := tokens[i].Load(); !isSpent || used > budget+maxTokens || used < budget*3/4 {
			t.Errorf("program %d used %d tokens of %d, spent %v", i, used, int64(budget), isSpent)
		}
	})
}
