package rationer_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/rationer"
)

// staleConnections has one silent connection to each instance.
type staleConnections struct {
	*instance
	used  map[netip.AddrPort]bool
	calls []string
}

func (s *staleConnections) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	s.calls = append(s.calls, address.String())
	if !s.used[address] {
		s.used[address] = true
		<-ctx.Done()
		return messenger.ErrStale
	}
	return s.instance.Call(ctx, address, method, in, out)
}

// An issuer to which one connection had gone silent was not asked for a second, and its substitute
// issued permits at a quarter of the rate.
func TestIssuerIsAskedAgainAfterASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		c := candidate(20, 0)
		issuer := f.instances[0].Ranking(c.Process(), 1)[0]
		for i, in := range f.instances {
			if member(i).Instance == issuer.Instance {
				continue
			}
			connections := &staleConnections{instance: in, used: map[netip.AddrPort]bool{}}
			r := rationer.New(in, connections)
			for range 2 {
				if _, isGranted := r.Permit(t.Context(), c, time.Second); !isGranted {
					t.Errorf("instance %d got no permit", i)
				}
			}
			want := []string{issuer.Address.String(), issuer.Address.String(), issuer.Address.String()}
			if diff := gocmp.Diff(want, connections.calls); diff != "" {
				t.Errorf("instance %d: calls: %s", i, diff)
			}
		}
	})
}
