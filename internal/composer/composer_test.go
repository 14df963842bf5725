package composer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/correlator"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

func TestAnyInstanceContinuesAnyTurn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3, 1)
	previous, transcript := "", ""
	for i := range 6 {
		id, input := fmt.Sprintf("turn-%d", i), fmt.Sprintf("input %d\n", i)
		reply := f.doUntilAccepted(f.instances[i%3], turnCall(id, "p", previous, input))
		if reply.Status != http.StatusOK || !reply.IsComplete || !reply.IsSigned() {
			t.Fatalf("turn %d: %+v", i, reply)
		}
		if diff := cmp.Diff([]int{1, 2, 3, 4, 5}, reply.Events()); diff != "" {
			t.Error(diff)
		}
		body, ran := f.executedBody(id)
		if !ran {
			t.Fatalf("turn %d did not run", i)
		}
		if diff := cmp.Diff(transcript+input, body); diff != "" {
			t.Errorf("turn %d: %s", i, diff)
		}
		transcript += input + reply.EventData()
		previous = id
	}
	if reply := f.do(f.instances[0], turnCall("t-x", "p", "never-was", "in")); reply.Status != http.StatusNotFound {
		t.Errorf("status %d for an unknown previous turn", reply.Status)
	}
}

// Several turns may continue the same turn, also turns of other programs.
func TestTurnsFormATree(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 0)
	root := f.doUntilAccepted(f.instances[0], turnCall("root", "p", "", "start\n"))
	runConcurrently(4, func(i int) {
		id := fmt.Sprintf("child-%d", i)
		reply := f.doUntilAccepted(f.instances[i%2], turnCall(id, fmt.Sprintf("program-%d", i), "root", "go on\n"))
		if reply.Status != http.StatusOK || !reply.IsComplete {
			t.Errorf("%s: %+v", id, reply)
		}
		body, _ := f.executedBody(id)
		if diff := cmp.Diff("start\n"+root.EventData()+"go on\n", body); diff != "" {
			t.Error(diff)
		}
	})
}

func TestTurnSurvivesRestartOfAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 0)
	first := f.doUntilAccepted(f.instances[0], turnCall("kept", "p", "", "start\n"))
	if !first.IsComplete {
		t.Fatalf("%+v", first)
	}
	runConcurrently(2, func(i int) { f.stop(f.instances[i]) })
	again := f.start("entry-9")
	f.awaitReady(again)
	reply := f.doUntilAccepted(again, turnCall("next", "q", "kept", "go on\n"))
	if reply.Status != http.StatusOK || !reply.IsComplete {
		t.Fatalf("%+v", reply)
	}
	body, _ := f.executedBody("next")
	if diff := cmp.Diff("start\n"+first.EventData()+"go on\n", body); diff != "" {
		t.Error(diff)
	}
}

func TestBudgetIsSharedByInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2, 0)
	const budget, maxTokens = 300, 100
	var mu sync.Mutex
	tokens, refused := 0, 0
	runConcurrently(30, func(i int) {
		reply := f.do(f.instances[i%3], standin.Call{
			ID: fmt.Sprintf("s-%d", i), Path: standin.PathSession + "x", Body: "in", Program: "p", Budget: budget, MaxTokens: maxTokens,
		})
		mu.Lock()
		defer mu.Unlock()
		tokens += len(reply.Events()) * standin.EventTokens
		if reply.Status == http.StatusPaymentRequired {
			refused++
		}
	})
	if tokens > budget+maxTokens || refused == 0 {
		t.Errorf("%d tokens of a budget of %d, %d refused", tokens, budget, refused)
	}
}

// With faulty endpoints an unsafe request runs at most once, a complete response
// belongs to its request, and a request that was refused as not run did not run.
func TestFaultyEndpoints(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 3)
	for _, e := range f.services {
		e.SetFaults(standin.EndpointFaults{Dropped: 0.1, Truncated: 0.1, Rejected: 0.2, Duplicated: 0.2})
	}
	for _, e := range f.engines {
		e.SetFaults(standin.EndpointFaults{Dropped: 0.05, Truncated: 0.2, Rejected: 0.1, Duplicated: 0})
	}
	runs := func(id string) int {
		n := 0
		for _, e := range append(f.services, f.engines...) {
			n += len(e.Runs(id))
		}
		return n
	}
	runConcurrently(8, func(worker int) {
		for i := range 25 {
			id := fmt.Sprintf("r-%d-%d", worker, i)
			path := []string{standin.PathPost, standin.PathLookup, standin.PathSession, standin.PathRetained}[i%4]
			call := standin.Call{ID: id, Path: path + "x", Body: "in " + id + "\n"}
			if i%4 >= 2 {
				call.Program, call.Budget, call.MaxTokens = id, 1000, 100
			}
			reply := f.do(f.instances[worker%2], call)
			checkReply(t, id, path, reply, runs(id))
		}
	})
}

// Guards against an engine that fails its turns while it is registered as ready:
// the program's next attempt must not go to its home endpoint again.
func TestTurnIsRetriedElsewhereAfterEngineFailure(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3, 0)
	attempt := func(id string) standin.Reply {
		c := turnCall(id, "p", "", "in\n")
		c.Path = standin.PathSession + "x"
		return f.doUntilAccepted(f.instances[0], c)
	}
	if reply := attempt("first"); !reply.IsComplete || reply.Status != http.StatusOK {
		t.Fatalf("%+v", reply)
	}
	for _, e := range f.engines {
		if len(e.Runs("first")) > 0 {
			e.SetFaults(standin.EndpointFaults{Failed: 1})
		}
	}
	if reply := attempt("fails"); reply.Status != http.StatusInternalServerError || !reply.IsSigned() {
		t.Errorf("the engine's error response was not forwarded: %+v", reply)
	}
	if reply := attempt("again"); !reply.IsComplete || reply.Status != http.StatusOK {
		t.Errorf("next attempt: %+v", reply)
	}
}

// A turn without a home came again 410 ms after its engine responded with an error, when the
// engine was avoided no more, and its hash led there again. Fleets have the real clock, so that
// the test waits for as long.
func TestTurnIsNotPlacedAtTheEngineThatFailedIt(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3, 0)
	for _, e := range f.engines {
		e.SetFaults(standin.EndpointFaults{Failed: 1})
	}
	var placed []string
	for i := range f.engines {
		if i > 0 {
			// An engine is avoided for 250 ms after its first failure.
			<-time.After(400 * time.Millisecond)
		}
		id := fmt.Sprintf("attempt-%d", i)
		f.doUntilAccepted(f.instances[0], turnCall(id, "p", "", "in\n"))
		for _, e := range f.engines {
			if len(e.Runs(id)) > 0 {
				placed = append(placed, e.ID)
			}
		}
	}
	slices.Sort(placed)
	if diff := cmp.Diff([]string{"engine-0", "engine-1", "engine-2"}, placed); diff != "" {
		t.Errorf("the engines that failed the turn: %s", diff)
	}
}

func checkReply(t *testing.T, id, path string, reply standin.Reply, runs int) {
	t.Helper()
	if path != standin.PathLookup && path != standin.PathSession && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if reply.IsNotRun() && runs > 0 && path != standin.PathLookup && path != standin.PathSession {
		t.Errorf("%s was refused with %d as not run, but ran", id, reply.Status)
	}
	if reply.Status == http.StatusOK && reply.IsComplete {
		isStream := path == standin.PathSession || path == standin.PathRetained
		switch {
		case !reply.IsSigned():
			t.Errorf("%s: successful response without a signature", id)
		case isStream && !cmp.Equal([]int{1, 2, 3, 4, 5}, reply.Events()):
			t.Errorf("%s: events %v", id, reply.Events())
		case !isStream && reply.Body != "answer to "+id+"\n":
			t.Errorf("%s: got %q", id, reply.Body)
		}
	}
}

func TestInstanceWithoutStoreUsesPeer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2, 0)
	<-time.After(1200 * time.Millisecond) // The instances have discovered each other.
	f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"entry-0": true}})
	previous := ""
	for i := range 4 {
		id := fmt.Sprintf("turn-%d", i)
		reply := f.do(f.instances[0], turnCall(id, "p", previous, "in\n"))
		if reply.Status != http.StatusOK || !reply.IsComplete {
			t.Fatalf("turn %d: %+v", i, reply)
		}
		previous = id
	}
	if !f.isReady(f.instances[0]) {
		t.Error("the instance is not ready although a peer can reach the store")
	}
}

func TestRequestsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 1)
	first := f.doUntilAccepted(f.instances[0], turnCall("before", "p", "", "in\n"))
	if !first.IsComplete {
		t.Fatalf("%+v", first)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	if reply := f.do(f.instances[0], standin.Call{ID: "safe", Path: standin.PathLookup + "x"}); reply.Status != http.StatusOK {
		t.Errorf("plain request during the outage: %+v", reply)
	}
	// The end of a turn waits up to 1.9 s for its record, which leaves 0.9 s for a
	// loaded host.
	recovery := time.AfterFunc(time.Second, func() { f.rows.SetFaults(fakeplatform.RowFaults{}) })
	defer recovery.Stop()
	// The turn of a running program is served; its end waits for the record.
	start := time.Now()
	reply := f.do(f.instances[0], turnCall("during", "p", "before", "in\n"))
	if reply.Status != http.StatusOK || !reply.IsComplete {
		t.Errorf("turn during the outage: %+v", reply)
	}
	if took := time.Since(start); took < 900*time.Millisecond {
		t.Errorf("the turn ended after %v, before the store was available", took)
	}
}

// A failed read of the transcript is retried while the turn can still be served.
func TestTranscriptReadIsRetriedDuringShortOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 0)
	if first := f.doUntilAccepted(f.instances[0], turnCall("first", "p", "", "in\n")); !first.IsComplete {
		t.Fatalf("%+v", first)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	recovery := time.AfterFunc(600*time.Millisecond, func() { f.rows.SetFaults(fakeplatform.RowFaults{}) })
	defer recovery.Stop()
	// The other instance does not have the transcript in its cache.
	if reply := f.do(f.instances[1], turnCall("second", "p", "first", "in\n")); reply.Status != http.StatusOK || !reply.IsComplete {
		t.Errorf("%+v", reply)
	}
}

func TestNewerConfigurationAppliesAndOlderIsIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1, 1)
	isServed := func(in *instance, path string) bool {
		return f.do(in, standin.Call{ID: fmt.Sprint(time.Now().UnixNano()), Path: path}).Status == http.StatusOK
	}
	if err := standin.WriteConfiguration(f.rows, 5, "/new/"); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for _, in := range f.instances {
		f.await("the new route is served", func() bool { return isServed(in, "/new/x") })
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("configuration applied after %v", took)
	}
	if err := standin.WriteConfiguration(f.rows, 4); err != nil {
		t.Fatal(err)
	}
	<-time.After(1200 * time.Millisecond)
	for _, in := range f.instances {
		if !isServed(in, "/new/x") {
			t.Error("an older configuration was applied")
		}
	}
}

func TestForgedRegistrationsAreIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	for i, forged := range standin.MalformedRegistrations() {
		f.rows.Put(endpointRow(fmt.Sprintf("forged-%d", i)), []byte(forged))
	}
	<-time.After(700 * time.Millisecond)
	for i := range 20 {
		if reply := f.do(f.instances[0], standin.Call{ID: fmt.Sprint("c", i), Path: standin.PathPost + "x"}); reply.Status != http.StatusOK {
			t.Errorf("%+v", reply)
		}
	}
}

func TestPlannedStopCompletesRequests(t *testing.T) {
	t.Parallel()
	f := newFleetWithGrace(t, platformGrace, 2, 2, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-time.After(200 * time.Millisecond)
		f.stop(f.instances[0])
	}()
	runConcurrently(6, func(worker int) {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
			}
			id := fmt.Sprintf("d-%d-%d", worker, i)
			reply := f.do(f.instances[0], turnCall(id, id, "", "in\n"))
			if _, ran := f.executedBody(id); ran && (reply.Status != http.StatusOK || !reply.IsComplete) {
				t.Errorf("%s ran without a complete response: %+v", id, reply)
			}
			if reply.Err != nil && strings.Contains(reply.Err.Error(), "refused") {
				return
			}
		}
	})
}

func TestRefusalStatus(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	for _, tc := range []struct {
		name   string
		call   standin.Call
		status int
	}{
		{"no route", standin.Call{ID: "a", Path: "/nowhere/x"}, http.StatusNotFound},
		{"no ID", standin.Call{Path: standin.PathPost + "x"}, http.StatusBadRequest},
		{"too large", standin.Call{ID: "b", Path: standin.PathPost + "x", Body: strings.Repeat("x", 2<<20)}, http.StatusRequestEntityTooLarge},
		{"no such turn", turnCall("c", "p", "never", "in"), http.StatusNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			reply := f.do(f.instances[0], tc.call)
			if reply.Status != tc.status || reply.IsSigned() {
				t.Errorf("%+v", reply)
			}
		})
	}
}

// halfClosedConn is a caller's connection that is closed for writing after each
// write.
type halfClosedConn struct{ *net.TCPConn }

func (h halfClosedConn) Write(b []byte) (int, error) {
	n, err := h.TCPConn.Write(b)
	return n, errors.Join(err, h.CloseWrite())
}

// A caller that has disconnected must not get an empty successful response.
func TestDisconnectedCallerGetsNoResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	f.engines[0].ServiceTime, f.services[0].ServiceTime = 400*time.Millisecond, 400*time.Millisecond
	f.client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return halfClosedConn{nc.(*net.TCPConn)}, nil
		},
	}}
	calls := []standin.Call{
		{ID: "lookup", Path: standin.PathLookup + "x"},
		{ID: "post", Path: standin.PathPost + "x"},
		turnCall("turn", "p", "", "in"),
	}
	for _, call := range calls {
		if reply := f.do(f.instances[0], call); reply.Err == nil && reply.Status == http.StatusOK {
			t.Errorf("%s: %+v", call.ID, reply)
		}
	}
}

// Guards against refusals in rolling restarts during outages of the store (Binfold
// trouble-2): a started instance refused all requests until the store was
// available again.
func TestInstanceWithoutStoreStartsFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1, 1)
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	late := f.startWithSeeds("entry-9", f.instances[0].settings.PeerAddress, f.instances[1].settings.PeerAddress)
	served := func(id string) bool {
		reply := f.do(late, standin.Call{ID: id, Path: standin.PathPost + "x"})
		return reply.Status == http.StatusOK && reply.IsSigned()
	}
	n := 0
	f.await("a plain request is served", func() bool { n++; return served(fmt.Sprint("p-", n)) })
	// The tables copied from a peer are updated once the store is available again.
	if err := standin.WriteConfiguration(f.rows, 2); err != nil {
		t.Fatal(err)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{})
	f.awaitReady(late)
	f.await("the newer configuration is in force", func() bool {
		lines, _, err := correlator.Read(bytes.NewReader(f.log.bytes()))
		return err == nil && slices.ContainsFunc(lines, func(l correlator.Line) bool {
			return l.Instance == late.name && l.Name == "ConfigurationInForce" &&
				slices.Contains(l.Fields, correlator.Field{Name: "Version", Value: "2"})
		})
	})
}

// An instance that the store refuses reaches it through one of its seeds.
func TestInstanceRefusedByStoreStartsThroughPeer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	f.rows.SetFaults(fakeplatform.RowFaults{Refused: map[string]bool{"entry-9": true}})
	late := f.startWithSeeds("entry-9", f.instances[0].settings.PeerAddress)
	f.awaitReady(late)
	if reply := f.doUntilAccepted(late, turnCall("turn", "p", "", "in\n")); reply.Status != http.StatusOK || !reply.IsComplete {
		t.Errorf("%+v", reply)
	}
}

// A turn that waits for the store without success is refused before its deadline.
// TestStoreWait in relayer checks the exact wait; here the load of the host may add
// to it.
func TestWaitingTurnIsRefusedBeforeItsDeadline(t *testing.T) {
	t.Parallel()
	const minWait, maxWait = time.Second, 4 * time.Second // The deadline is 5 s; a fault refused the turn after 4.5 s.
	f := newFleet(t, 2, 1, 0)
	if first := f.doUntilAccepted(f.instances[0], turnCall("before", "p", "", "in\n")); !first.IsComplete {
		t.Fatalf("%+v", first)
	}
	f.rows.SetFaults(fakeplatform.RowFaults{Outage: true})
	runConcurrently(2, func(i int) {
		call := turnCall("new", "q", "", "in\n")
		if i == 1 {
			call = turnCall("next", "p", "before-elsewhere", "in\n")
		}
		start := time.Now()
		reply := f.do(f.instances[i], call)
		if took := time.Since(start); took >= maxWait || took < minWait || !reply.IsNotRun() || reply.Header.Get("Retry-After") == "" {
			t.Errorf("%s after %v: %+v", call.ID, took, reply)
		}
	})
}

// Guards against refusals at the end of a recovery (deploy/days/14, seed
// 580010063768): a turn with less than 0.5 s left was refused without an attempt.
// On a loaded host the attempt may fail, but the turn must not be refused at once.
func TestTurnWithShortDeadlineIsAttempted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1, 0)
	if first := f.doUntilAccepted(f.instances[0], turnCall("before", "p", "", "in\n")); !first.IsComplete {
		t.Fatalf("%+v", first)
	}
	runConcurrently(2, func(i int) {
		call := turnCall(fmt.Sprint("late-", i), "p", "before", "in\n")
		call.Deadline = 400 * time.Millisecond
		start := time.Now()
		if reply := f.do(f.instances[i], call); reply.IsNotRun() && time.Since(start) < call.Deadline/4 {
			t.Errorf("%s: refused after %v", call.ID, time.Since(start))
		}
	})
}
