package relayer

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

// loadDialect decodes a load from each response.
type loadDialect struct{ Dialect }

func (loadDialect) DecodeResponseHead(status int, _ http.Header) ResponseHead {
	return ResponseHead{Load: &registrar.Load{Running: 3, Slots: 8}, IsNotRun: status == http.StatusMisdirectedRequest}
}

// An address is used by another endpoint, which responds with 421. Its load was taken for that
// of the endpoint that has ended, which then seemed to be alive.
func TestLoadOfAnotherEndpointIsNotTaken(t *testing.T) {
	registry := registrar.New()
	e := registrar.Endpoint{ID: "e", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 8}
	registry.Replace([]registrar.Endpoint{e})
	x := &exchange{Relayer: New(Config{Endpoints: registry, Dialect: loadDialect{}, Log: logger.Discard()})}
	start := time.Now()
	for _, tc := range []struct {
		status int
		want   bool
	}{{http.StatusMisdirectedRequest, false}, {http.StatusOK, true}} {
		x.decodeHead(registrar.Candidate{Endpoint: e}, start, &sender.Response{Status: tc.status})
		if diff := cmp.Diff(tc.want, registry.HasRespondedSince(e.Process(), start)); diff != "" {
			t.Errorf("after status %d: %s", tc.status, diff)
		}
	}
}
