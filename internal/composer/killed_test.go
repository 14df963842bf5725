package composer_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/platform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// An engine that is killed ends the connections of its streams in order. A stream that has neither
// chunks nor a length ended as if it were complete; that of an engine that drains or is no longer
// registered, too.
func TestStreamOfAnEngineThatEndedIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"retained": standin.PathRetained, "resumable": standin.PathSession} {
		for _, state := range []string{"ready", "draining", "removed"} {
			t.Run(name+"/"+state, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 1, 0, 0)
				e := standin.NewEndpoint("engine", 5, 0, 1)
				server := httptest.NewServer(e)
				t.Cleanup(server.Close)
				registration := standin.Registration{
					ID: e.ID, Service: standin.ServiceEngine, Address: netip.MustParseAddrPort(server.Listener.Addr().String()), DataCentre: "dc-1", Slots: e.Slots,
				}
				e.Script = func(id string, _ int) string {
					switch state {
					case "draining":
						registration.Draining = true
						if err := standin.Register(f.rows, registration); err != nil {
							t.Error(err)
						}
					case "removed":
						f.rows.Remove(storer.RowKey{Table: platform.TableEndpoints, Name: e.ID})
					}
					<-time.After(500 * time.Millisecond) // The instance knows of it.
					_ = server.Listener.Close()          // The engine ends as it closes the connection.
					return brokenStream(id, noChunks, "")
				}
				if err := standin.Register(f.rows, registration); err != nil {
					t.Fatal(err)
				}
				call := sessionCall("turn", "p")
				call.Path = path + "x"
				reply := f.doUntilAccepted(f.instances[0], call)
				if diff := cmp.Diff([]int{1, 2}, reply.Events()); diff != "" || reply.IsComplete {
					t.Errorf("%+v: %s", reply, diff)
				}
			})
		}
	}
}
