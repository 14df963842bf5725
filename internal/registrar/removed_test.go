package registrar_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// The registration of a process that had ended lapsed before others looked at its address on a
// busy host, so that they did not look, and its end was not known.
func TestEndpointIsFoundByAddressForATimeAfterItsRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		address := netip.MustParseAddrPort("10.0.0.1:1")
		r := registrar.New()
		find := func() string {
			e, _ := r.FindAddress(address)
			return e.ID
		}
		r.Replace([]registrar.Endpoint{{ID: "a", Address: address}})
		r.Replace(nil)
		time.Sleep(4 * time.Second)
		if diff := cmp.Diff("a", find()); diff != "" {
			t.Error(diff)
		}
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff("", find()); diff != "" {
			t.Error(diff)
		}
		// An endpoint that has the address now comes before one that had it.
		r.Replace([]registrar.Endpoint{{ID: "a", Address: address}})
		r.Replace([]registrar.Endpoint{{ID: "b", Address: address}})
		if diff := cmp.Diff("b", find()); diff != "" {
			t.Error(diff)
		}
	})
}
