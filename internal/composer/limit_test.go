package composer_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	// limitWindow, limitFactor and limitSlack are the rule's: an endpoint gets at most
	// limitFactor times what its limit allows in the window, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettle is how long after an endpoint first stated its limit it may get more.
	limitSettle = time.Second
)

// callInterval is the time between two requests of one worker.
const callInterval = 100 * time.Millisecond

// callers sends requests to all instances until the time, workers at once, and counts
// the results.
type callers struct {
	*fleet
	until time.Time

	mu     sync.Mutex
	counts map[string]int
}

func (c *callers) run(workers int, instance func(i int) *instance, call func(worker, i int) standin.Call) {
	runConcurrently(workers, func(worker int) {
		for i := 0; time.Now().Before(c.until); i++ {
			<-time.After(callInterval)
			reply := c.do(instance(worker+i), call(worker, i))
			result := fmt.Sprint("failed with ", reply.Status, reply.Err)
			switch {
			case reply.Status == http.StatusOK && reply.IsComplete:
				result = "served"
			case reply.IsNotRun():
				result = "refused"
			}
			c.mu.Lock()
			c.counts[result]++
			c.mu.Unlock()
		}
	})
}

// An endpoint states how many requests a second it takes from all instances together. The
// instances' requests exceeded it, as none of them knew what the others sent. Turns, calls,
// retries and resumed streams count alike, and an instance that starts keeps the limit, too.
func TestLimitedEndpointsGetNoMoreThanTheyStated(t *testing.T) {
	// Not parallel: its load would delay the tests that measure times.
	f := newFleet(t, 4, 3, 3)
	const rate = 5.0
	limited := []*standin.Endpoint{f.engines[0], f.engines[1], f.services[0], f.services[1]}
	for _, e := range limited {
		e.SetLimit(rate)
		e.SetFaults(standin.EndpointFaults{Rejected: 0.1})
	}
	f.engines[2].SetFaults(standin.EndpointFaults{Truncated: 0.2})
	start := time.Now()
	var mu sync.Mutex
	instances := f.instances
	at := func(i int) *instance {
		mu.Lock()
		defer mu.Unlock()
		return instances[i%len(instances)]
	}
	c := &callers{fleet: f, until: start.Add(9 * time.Second), counts: map[string]int{}}
	var work sync.WaitGroup
	work.Go(func() {
		c.run(8, at, func(worker, i int) standin.Call {
			return standin.Call{
				ID: fmt.Sprintf("turn-%d-%d", worker, i), Path: standin.PathSession + "x", Body: "in",
				Program: fmt.Sprintf("p-%d-%d", worker, i/5), Budget: 100_000, MaxTokens: 100,
			}
		})
	})
	work.Go(func() {
		c.run(8, at, func(worker, i int) standin.Call {
			return standin.Call{ID: fmt.Sprintf("call-%d-%d", worker, i), Method: http.MethodGet, Path: standin.PathLookup + "x"}
		})
	})
	work.Go(func() {
		<-time.After(3 * time.Second)
		mu.Lock()
		stopped := instances[0]
		instances = instances[1:]
		mu.Unlock()
		f.stop(stopped)
		started := f.start("entry-9")
		f.awaitReady(started)
		mu.Lock()
		instances = append(instances, started)
		mu.Unlock()
	})
	work.Wait()
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	for _, e := range limited {
		if n := e.MostArrivals(start.Add(limitSettle), limitWindow); n > allowed {
			t.Errorf("%s with a limit of %g a second got %d requests in %v, allowed %d", e.ID, rate, n, limitWindow, allowed)
		}
	}
	total := 0
	for _, n := range c.counts {
		total += n
	}
	if c.counts["served"] < total*9/10 {
		t.Errorf("%v: too few served while an engine and a service have no limit", c.counts)
	}
}

// While all engines have a limit, the fleet uses what they take and refuses the rest at
// once.
func TestLimitOfAllEnginesIsUsed(t *testing.T) {
	// Not parallel, as above.
	f := newFleet(t, 3, 2, 0)
	const rate = 8.0
	for _, e := range f.engines {
		e.SetLimit(rate)
	}
	start := time.Now()
	c := &callers{fleet: f, until: start.Add(7 * time.Second), counts: map[string]int{}}
	c.run(12, func(i int) *instance { return f.instances[i%3] }, func(worker, i int) standin.Call {
		return standin.Call{
			ID: fmt.Sprintf("turn-%d-%d", worker, i), Path: standin.PathSession + "x", Body: "in",
			Program: fmt.Sprintf("p-%d-%d", worker, i/5), Budget: 100_000, MaxTokens: 100,
		}
	})
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	for _, e := range f.engines {
		if n := e.MostArrivals(start.Add(limitSettle), limitWindow); n > allowed || n < int(rate*limitWindow.Seconds()/2) {
			t.Errorf("%s with a limit of %g a second got %d requests in %v, allowed %d", e.ID, rate, n, limitWindow, allowed)
		}
	}
	if len(c.counts) > 2 {
		t.Errorf("%v: requests that were neither served nor refused", c.counts)
	}
}
