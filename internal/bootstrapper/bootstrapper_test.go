package bootstrapper_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/bootstrapper"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// members are the addresses of instances, by the port.
type members []uint16

func (m members) Relays() []discoverer.Member {
	var out []discoverer.Member
	for _, port := range m {
		out = append(out, discoverer.Member{Instance: "x", Address: netip.AddrPortFrom(netip.IPv4Unspecified(), port)})
	}
	return out
}

func (members) Suspect(string) {}

// network calls the instances' handlers. Those without any are silent.
type network map[uint16]messenger.Handler

func (n network) Call(ctx context.Context, address netip.AddrPort, _ string, in, out any) error {
	handle := n[address.Port()]
	if handle == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	reply, err := handle(ctx, body)
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(body, out)
}

// Guards against an instance that starts while the store is away with an old copy, in which
// revoked keys are valid, although a newer one could be had.
func TestNewestCopyIsUsed(t *testing.T) {
	table := bootstrapper.Table{Name: "configuration"}
	for name, tc := range map[string]struct {
		asked members
		want  int64
	}{
		"old first":  {members{1, 2, 3}, 9},
		"new first":  {members{2, 1, 3}, 9},
		"one silent": {members{4, 1, 2}, 9},
		"only old":   {members{4, 3, 1}, 7},
	} {
		synctest.Test(t, func(t *testing.T) {
			all := network{}
			for port, version := range map[uint16]int64{1: 7, 2: 9, 3: 0} {
				b := bootstrapper.New(nil, nil, logger.Discard())
				b.Register(table, func() (storer.Page, bool) { return storer.Page{Version: version}, version > 0 })
				for _, handler := range b.Handlers() {
					all[port] = handler
				}
			}
			page, err := bootstrapper.New(tc.asked, all, logger.Discard()).Fetch(t.Context(), table)
			if err != nil {
				t.Error(name, err)
			}
			if diff := cmp.Diff(tc.want, page.Version); diff != "" {
				t.Error(name, diff)
			}
		})
	}
}
