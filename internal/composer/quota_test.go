package composer_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Guards against a quota that each instance keeps for itself, and one that is not used: an account
// sends four times its quota to three instances.
func TestQuotaHoldsOverAllInstances(t *testing.T) {
	const (
		window, overage, tolerance = 5 * time.Second, 0.1, 20
		rate, length               = 10, 15 * time.Second
		bound                      = rate*5*(1+overage) + tolerance
	)
	f := newFleet(t, 0, 1, 2)
	if err := standin.WriteAccounts(f.rows, 2, []standin.Account{{Name: "acme", Keys: []string{"sk-acme"}, Rate: rate}}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		f.instances = append(f.instances, f.startWithSettings(fmt.Sprint("entry-", i), func(s *settings) {
			s.QuotaWindow, s.QuotaOverage, s.QuotaTolerance = window, overage, tolerance
		}))
	}
	call := func(id string) standin.Call {
		return standin.Call{ID: id, Path: standin.PathLookup + "x", Key: "sk-acme"}
	}
	for _, in := range f.instances {
		f.doUntilAccepted(in, call("first-"+in.name))
	}
	type run struct{ sentAt, endedAt time.Time }
	var mu sync.Mutex
	var runs []run
	statuses := map[int]int{}
	start := time.Now()
	runConcurrently(8, func(worker int) {
		for i := 0; time.Since(start) < length; i++ {
			<-time.After(2 * callInterval)
			sentAt := time.Now()
			reply := f.do(f.instances[(worker+i)%3], call(fmt.Sprint(worker, "-", i)))
			mu.Lock()
			statuses[reply.Status]++
			if reply.Status == http.StatusOK {
				runs = append(runs, run{sentAt, time.Now()})
			}
			mu.Unlock()
		}
	})
	slices.SortFunc(runs, func(a, b run) int { return a.sentAt.Compare(b.sentAt) })
	most := 0
	for i, first := range runs {
		inWindow := 0
		for _, r := range runs[i:] {
			if r.endedAt.Sub(first.sentAt) <= window {
				inWindow++
			}
		}
		most = max(most, inWindow)
	}
	used := float64(len(runs)) / length.Seconds() / rate
	t.Logf("statuses %v, at most %d in a window, %.2f of the quota used", statuses, most, used)
	if most > bound || used < 0.95 || statuses[http.StatusOK]+statuses[http.StatusTooManyRequests] < 9*len(runs)/10 {
		t.Errorf("%d requests in a window, %g allowed; %.2f of the quota used; statuses %v", most, float64(bound), used, statuses)
	}
}
