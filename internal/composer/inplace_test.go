package composer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// An engine ends, breaks its stream off and starts again under its ID and at its address with another
// version of its software, before its registration states that. The stream goes on there.
func TestStreamDoesNotGoOnAtAnEngineThatRestartedWithAnotherVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 0, 0)
	old, young := standin.NewEndpoint("engine", 6, 10*time.Millisecond, 1), standin.NewEndpoint("engine", 6, 10*time.Millisecond, 1)
	old.Version, young.Version = "v1", "v2"
	young.Started = time.Now().Truncate(time.Millisecond)
	old.Started = young.Started.Add(-time.Minute)
	old.SetFaults(standin.EndpointFaults{BrokenBetween: 1})
	var hasEnded atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		process := old
		if hasEnded.Swap(true) {
			process = young
		}
		process.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	if err := standin.Register(f.rows, standin.Registration{
		ID: old.ID, Service: standin.ServiceEngine, Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		DataCentre: "dc-1", Slots: old.Slots, Version: old.Version, Started: old.Started,
	}); err != nil {
		t.Fatal(err)
	}
	reply := f.doUntilAccepted(f.instances[0], sessionCall("turn", "p"))
	if diff := cmp.Diff([]string{"v1"}, reply.Versions()); diff != "" {
		t.Errorf("%+v: %s", reply, diff)
	}
}

// An engine has restarted under its ID and at its address with another version of its software. Streams
// that begin there before its registration states that break off, and go on at engines of the registered
// version (ORDER, play "version" of review/).
func TestStreamThatBeginsAtARestartedEngineIsOfItsVersion(t *testing.T) {
	t.Parallel()
	const streams = 16
	f := newFleet(t, 2, 0, 0)
	restarted, other := standin.NewEndpoint("engine-0", 8, 10*time.Millisecond, 1), standin.NewEndpoint("engine-1", 8, 10*time.Millisecond, 2)
	restarted.Version, other.Version = "v2", "v1"
	restarted.Started = time.Now().Truncate(time.Millisecond)
	other.Started = restarted.Started.Add(-time.Minute)
	restarted.SetFaults(standin.EndpointFaults{BrokenBetween: 1})
	for _, e := range []*standin.Endpoint{restarted, other} {
		f.registerHandler(e, standin.Registration{ID: e.ID, Service: standin.ServiceEngine, Slots: e.Slots, Version: "v1", Started: other.Started})
	}
	begun := map[string]int{}
	for i := range streams {
		call := sessionCall(fmt.Sprint("turn-", i), fmt.Sprint("p-", i))
		reply := f.doUntilAccepted(f.instances[0], call)
		versions := reply.Versions()
		if len(versions) != 1 {
			t.Errorf("%s has events of %v", call.ID, versions)
			continue
		}
		begun[versions[0]]++
		if versions[0] == "v1" {
			continue
		}
		// The caller takes the stream up at another instance.
		call.Resumes, call.ID = call.ID, call.ID+"-again"
		events := reply.StreamEvents()
		call.LastEventID = events[len(events)-1].ID
		if again := f.do(f.instances[1], call); len(again.Versions()) > 0 && !slices.Equal(again.Versions(), versions) {
			t.Errorf("%s began at %v and goes on with events of %v", call.Resumes, versions, again.Versions())
		}
	}
	if begun["v1"] == 0 || begun["v2"] == 0 {
		t.Errorf("begun: %v; too few to tell", begun)
	}
}
