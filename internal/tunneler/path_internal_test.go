package tunneler

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

// Requests of other instances to relay took the turn of this instance's own attempts to reach the
// endpoint directly, so that it did not try at all while others asked more than once a second.
func TestRequestsToRelayLeaveDirectAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := netip.MustParseAddrPort("10.0.0.1:1")
		tunneler := New(nil, nil, nil, nil)
		tunneler.recordTunnel(endpoint, discoverer.Member{}, time.Now())
		for range 20 {
			time.Sleep(probeInterval / 10)
			if !tunneler.isBlocked(endpoint) {
				t.Fatal("the endpoint counts as reached directly")
			}
		}
		if _, mayProbe := tunneler.begin(endpoint); !mayProbe {
			t.Error("no direct connection is tried")
		}
	})
}
