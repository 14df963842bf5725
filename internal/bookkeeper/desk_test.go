package bookkeeper_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/bookkeeper"
	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// network carries calls between the instances of a fleet.
type network struct {
	mu       sync.Mutex
	handlers map[netip.AddrPort]map[string]messenger.Handler
	silent   map[netip.AddrPort]bool
}

func (n *network) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	n.mu.Lock()
	handler, silent := n.handlers[address][method], n.silent[address]
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if handler == nil {
		return errors.New("connection refused")
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	reply, err := handler(ctx, body)
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(body, out)
}

// site is a data centre of instances, each with a desk and a bookkeeper.
type site struct {
	*fleet
	network *network
	members []*discoverer.Discoverer
	desks   []*bookkeeper.Client
}

func newSite(t *testing.T, f *fleet, n int) *site {
	t.Helper()
	s := &site{fleet: f, network: &network{
		handlers: map[netip.AddrPort]map[string]messenger.Handler{}, silent: map[netip.AddrPort]bool{},
	}}
	for i := range n {
		self := discoverer.Member{
			Instance: fmt.Sprintf("entry-%02d", i), Incarnation: fmt.Sprintf("process-%02d", i), DataCentre: "dc", Cores: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		}
		members := discoverer.New(self, f.rows.For(self.Instance))
		if err := members.WriteHeartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		k := f.start(self.Incarnation)
		s.members = append(s.members, members)
		s.desks = append(s.desks, bookkeeper.NewClient(k, members, s.network, registrar.New()))
		s.network.handlers[self.Address] = k.Handlers(registrar.New())
	}
	s.refresh(t)
	return s
}

func (s *site) refresh(t *testing.T) {
	t.Helper()
	for _, m := range s.members {
		if _, _, err := m.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func (s *site) turn(t *testing.T, desk int, program, turn string, budget, used int64) (bookkeeper.Status, discoverer.Member) {
	t.Helper()
	out, keeper, err := s.desks[desk].Open(t.Context(), bookkeeper.OpenRequest{
		Program: program, Turn: turn, Tokens: turnTokens, Budget: budget, Wait: 3 * time.Second,
	})
	if err != nil {
		t.Error(err)
		return out.Status, keeper
	}
	if out.Status == bookkeeper.OK {
		if _, err := s.desks[desk].Close(t.Context(), keeper, bookkeeper.CloseRequest{Program: program, Turn: turn, Used: used}); err != nil {
			t.Error(err)
		}
	}
	return out.Status, keeper
}

// Replays the grown sites' days on which a bookkeeper died under load: each
// instance then wrote by itself, and 68 writers pressed on one partition.
func TestInstancesTurnToTheSameNextBookkeeper(t *testing.T) {
	play(t, 1, func(t *testing.T, f *fleet) {
		s := newSite(t, f, 17)
		_, keeper := s.turn(t, 0, "p", "first", 5000, 70)
		s.network.mu.Lock()
		s.network.silent[keeper.Address] = true
		s.network.mu.Unlock()
		var (
			mu   sync.Mutex
			work sync.WaitGroup
		)
		next := map[string]int{}
		for i := range s.desks {
			if s.members[i].Self().Instance == keeper.Instance {
				continue
			}
			work.Go(func() {
				status, m := s.turn(t, i, fmt.Sprint("program-", i), "t", 5000, 70)
				mu.Lock()
				defer mu.Unlock()
				if status != bookkeeper.OK {
					t.Errorf("desk %d: status %v", i, status)
				}
				next[m.Instance]++
			})
		}
		work.Wait()
		if len(next) != 1 {
			t.Errorf("the next bookkeepers are %v", next)
		}
	})
}

// A planned stop strands nothing of a budget, not even while the store is away.
func TestRetiredBookkeeperHandsItsBooksOver(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprint("outage ", outage), func(t *testing.T) {
			play(t, 1, func(t *testing.T, f *fleet) { handOver(t, f, outage) })
		})
	}
}

func handOver(t *testing.T, f *fleet, outage bool) {
	t.Helper()
	s := newSite(t, f, 4)
	const budget = 10 * turnTokens
	_, keeper := s.turn(t, 0, "p", "first", budget, 70)
	retiring := -1
	for i, m := range s.members {
		if m.Self().Instance == keeper.Instance {
			retiring = i
		}
	}
	if err := s.members[retiring].Deregister(t.Context()); err != nil {
		t.Fatal(err)
	}
	if outage {
		setOutage(f, true)
	}
	if err := s.desks[retiring].HandOver(t.Context()); err != nil {
		t.Fatal(err)
	}
	asker := (retiring + 1) % len(s.desks)
	turns := 0
	for i := range 4 {
		if status, m := s.turn(t, asker, "p", fmt.Sprint("next-", i), budget, 70); status == bookkeeper.OK && m.Instance != keeper.Instance {
			turns++
		}
	}
	if diff := cmp.Diff(4, turns); diff != "" {
		t.Errorf("turns after the handover: %s", diff)
	}
	setOutage(f, false)
	f.kill(keeper.Incarnation)
	used := int64(5 * 70)
	for i := 0; used+turnTokens <= budget; i++ {
		if status, _ := s.turn(t, asker, "p", fmt.Sprint("rest-", i), budget, turnTokens); status != bookkeeper.OK {
			t.Fatalf("status %v with %d of %d tokens used", status, used, budget)
		}
		used += turnTokens
	}
	if status, _ := s.turn(t, asker, "p", "beyond", budget, turnTokens); status != bookkeeper.Exhausted {
		t.Errorf("status %v beyond the budget", status)
	}
}
