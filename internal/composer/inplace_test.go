package composer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
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
