package composer_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// warmUp lets the instance learn how long calls to the path take.
func (f *fleet) warmUp(in *instance, path string) {
	f.t.Helper()
	runConcurrently(12, func(i int) {
		f.doUntilAccepted(in, standin.Call{ID: fmt.Sprintf("warm-%s-%d", strings.Trim(path, "/"), i), Path: path + "x"})
	})
}

// runsOf returns how often endpoints ran the request.
func (f *fleet) runsOf(id string) int {
	runs := 0
	for _, e := range append(append([]*standin.Endpoint(nil), f.engines...), f.services...) {
		runs += len(e.Runs(id))
	}
	return runs
}

// Guards against requests without an answer in planned stops (issue 47): calls whose head or body
// was completed late in the grace period were passed on and cut at its end, or closed unread.
func TestLateRequestsOfAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	const serviceTime = time.Second
	f := newFleetWithGrace(t, platformGrace, 2, 1, 1)
	in := f.instances[0]
	f.services[0].ServiceTime, f.services[0].Slots = serviceTime, 64
	f.engines[0].Events, f.engines[0].ServiceTime = 20, serviceTime/20
	f.warmUp(in, standin.PathPost)
	runConcurrently(12, func(i int) {
		id := fmt.Sprintf("warm-turn-%d", i)
		f.doUntilAccepted(in, turnCall(id, id, "", "in\n"))
	})

	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	type lateCall struct {
		id   string
		path string
		// startAt is late enough that the route's timeout ends after the grace period.
		startAt  time.Time
		schedule standin.Schedule
	}
	calls := []lateCall{
		{id: "body-1", startAt: at(0), schedule: standin.Schedule{BodyAt: at(1)}},
		{id: "body-3", startAt: at(0), schedule: standin.Schedule{BodyAt: at(3)}},
		{id: "body-5.5", startAt: at(2.3), schedule: standin.Schedule{BodyAt: at(5.5)}},
		{id: "body-6.35", startAt: at(2.3), schedule: standin.Schedule{BodyAt: at(6.35)}},
		{id: "body-6.9", startAt: at(2.3), schedule: standin.Schedule{BodyAt: at(6.9)}},
		{id: "body-7.4", startAt: at(2.3), schedule: standin.Schedule{BodyAt: at(7.4)}},
		{id: "chunked-6.9", startAt: at(2.3), schedule: standin.Schedule{BodyAt: at(6.9), IsChunked: true}},
		{id: "http10-6.9", startAt: at(2.3), schedule: standin.Schedule{BodyAt: at(6.9), IsHTTP10: true}},
		{id: "turn-6.9", path: standin.PathRetained, startAt: at(2.3), schedule: standin.Schedule{BodyAt: at(6.9)}},
		{id: "head-1", startAt: at(0), schedule: standin.Schedule{HeadAt: at(1)}},
		{id: "head-3", startAt: at(2), schedule: standin.Schedule{HeadAt: at(3)}},
		{id: "head-6.9", startAt: at(2), schedule: standin.Schedule{HeadAt: at(6.9)}},
		{id: "head-7.4", startAt: at(2), schedule: standin.Schedule{HeadAt: at(7.4)}},
	}
	var work sync.WaitGroup
	for _, c := range calls {
		work.Go(func() {
			call := turnCall(c.id, c.id, "", strings.Repeat("in\n", 20))
			if c.path == "" {
				call = standin.Call{ID: c.id, Path: standin.PathPost + "x", Body: call.Body}
			}
			<-time.After(time.Until(c.startAt))
			call.Method, call.Host, call.Deadline = http.MethodPost, standin.Host, 20*time.Second
			reply := standin.DoSlowly(t.Context(), in.settings.CallerListen.String(), call, c.schedule)
			ran := f.runsOf(c.id)
			switch {
			case reply.Err != nil || !reply.IsComplete:
				t.Errorf("%s: no complete answer %.2f s into the grace period, %d runs: %v", c.id, time.Since(began).Seconds(), ran, reply.Err)
			case reply.IsNotRun() && ran > 0:
				t.Errorf("%s: status %d, but it ran", c.id, reply.Status)
			case reply.Status == http.StatusServiceUnavailable:
				if reply.Header.Get("Retry-After") == "" || !strings.HasPrefix(reply.Body, "Stopping") {
					t.Errorf("%s: refused with %q, Retry-After %q", c.id, reply.Body, reply.Header.Get("Retry-After"))
				}
			case reply.Status != http.StatusOK:
				t.Errorf("%s: status %d", c.id, reply.Status)
			}
			t.Logf("%s: status %d %.2f s into the grace period, %d runs", c.id, reply.Status, time.Since(began).Seconds(), ran)
		})
	}
	f.stop(in)
	took := time.Since(began)
	work.Wait()
	if took > platformGrace {
		t.Errorf("the stop took %s", took)
	}
	for _, id := range []string{"body-1", "body-3", "head-1", "head-3"} {
		if f.runsOf(id) != 1 {
			t.Errorf("%s was refused, although it could be answered", id)
		}
	}
}

// Guards against retries that begin too late in the grace period to be answered in it.
func TestCallIsNotRetriedAtTheEndOfAPlannedStop(t *testing.T) {
	t.Parallel()
	const grace, serviceTime, latest = 3 * time.Second, 300 * time.Millisecond, 2500 * time.Millisecond
	f := newFleetWithGrace(t, grace, 1, 1, 2)
	for _, service := range f.services {
		service.ServiceTime, service.Slots = serviceTime, 64
	}
	f.warmUp(f.instances[0], standin.PathLookup)
	for _, service := range f.services {
		service.SetFaults(standin.EndpointFaults{Dropped: 1})
	}
	began := time.Now()
	var work sync.WaitGroup
	for i := range 8 {
		work.Go(func() {
			call := standin.Call{ID: fmt.Sprintf("late-%d", i), Method: http.MethodPost, Host: standin.Host, Path: standin.PathLookup + "x", Body: "in", Deadline: 5 * time.Second}
			// It is passed on before the latest moment, and breaks off after it.
			reply := standin.DoSlowly(t.Context(), f.instances[0].settings.CallerListen.String(), call, standin.Schedule{BodyAt: began.Add(1850 * time.Millisecond)})
			runs := f.runsOf(call.ID)
			isRefused := reply.Status == http.StatusServiceUnavailable && runs == 0
			isUnknown := reply.Status == http.StatusBadGateway && runs == 1
			if took := time.Since(began); !isRefused && !isUnknown || took > latest {
				t.Errorf("%s: status %d after %s, %d runs, %v", call.ID, reply.Status, took, runs, reply.Err)
			}
		})
	}
	f.stop(f.instances[0])
	work.Wait()
}

// Guards against calls without an answer that are at work when the grace period ends: their callers
// must learn at once that they may have run. A stream must not look complete.
func TestCallAtWorkAtTheEndOfAPlannedStopIsAnswered(t *testing.T) {
	t.Parallel()
	f := newFleetWithGrace(t, shortGrace, 1, 1, 1)
	f.services[0].ServiceTime, f.engines[0].Events = 4*time.Second, 400
	var work sync.WaitGroup
	for name, do := range map[string]func(standin.Call) standin.Reply{
		"http11": func(c standin.Call) standin.Reply { return f.do(f.instances[0], c) },
		"http10": func(c standin.Call) standin.Reply {
			c.Method, c.Host, c.Deadline = http.MethodPost, standin.Host, 5*time.Second
			return standin.DoHTTP10(t.Context(), f.instances[0].settings.CallerListen.String(), c)
		},
	} {
		work.Go(func() {
			reply := do(turnCall(name, name, "", "in"))
			if reply.Status != http.StatusOK || reply.IsComplete || len(reply.Events()) == 0 {
				t.Errorf("%s: status %d, complete %v, %d events", name, reply.Status, reply.IsComplete, len(reply.Events()))
			}
		})
	}
	for _, path := range []string{standin.PathPost, standin.PathLookup} {
		work.Go(func() {
			reply := f.do(f.instances[0], standin.Call{ID: path, Path: path + "x"})
			if reply.Status != http.StatusBadGateway || !reply.IsComplete || f.runsOf(path) == 0 {
				t.Errorf("%s: %+v, %d runs", path, reply, f.runsOf(path))
			}
		})
	}
	f.await("all run", func() bool { return f.services[0].Running() == 2 && f.engines[0].Running() == 2 })
	began := time.Now()
	f.stop(f.instances[0])
	if took := time.Since(began); took > shortGrace {
		t.Errorf("the stop took %s", took)
	}
	work.Wait()
}

// Guards against refusals of turns whose bodies take longer than a turn may wait for the store: they
// were not given any time for it.
func TestTurnWithASlowBodyIsServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	call := turnCall("slow", "slow", "", "in\n")
	call.Method, call.Host, call.Deadline = http.MethodPost, standin.Host, 5*time.Second
	reply := standin.DoSlowly(t.Context(), f.instances[0].settings.CallerListen.String(), call, standin.Schedule{BodyAt: time.Now().Add(2500 * time.Millisecond)})
	if reply.Status != http.StatusOK || !reply.IsComplete {
		t.Errorf("%+v", reply)
	}
}
