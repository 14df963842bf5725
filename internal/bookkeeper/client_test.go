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
	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// network carries calls between the instances of a fleet. Calls to silent
// addresses are not answered.
type network struct {
	mu       sync.Mutex
	handlers map[netip.AddrPort]map[string]messenger.Handler
	silent   map[netip.AddrPort]bool
	// stale is the number of silent connections to an address. Each of the next calls uses one.
	stale map[netip.AddrPort]int
	// delay is how long each call takes.
	delay time.Duration
}

func (n *network) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	n.mu.Lock()
	handler, silent, delay := n.handlers[address][method], n.silent[address], n.delay
	isStale := n.stale[address] > 0
	if isStale {
		n.stale[address]--
	}
	n.mu.Unlock()
	if isStale {
		<-ctx.Done()
		if errors.Is(context.Cause(ctx), context.Canceled) {
			return ctx.Err()
		}
		return messenger.ErrStale
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
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

// dataCentre is a set of instances, each with a client and a bookkeeper.
type dataCentre struct {
	*fleet
	network *network
	members []*discoverer.Discoverer
	clients []*bookkeeper.Client
}

func newDataCentre(t *testing.T, f *fleet, n int, options ...bookkeeper.ClientOption) *dataCentre {
	t.Helper()
	s := &dataCentre{fleet: f, network: &network{
		handlers: map[netip.AddrPort]map[string]messenger.Handler{}, silent: map[netip.AddrPort]bool{},
	}}
	for range n {
		s.add(t, options...)
	}
	s.refresh(t)
	return s
}

// add starts one more instance, which others know once they refresh their members.
func (s *dataCentre) add(t *testing.T, options ...bookkeeper.ClientOption) {
	t.Helper()
	i := len(s.members)
	self := discoverer.Member{
		Instance: fmt.Sprintf("entry-%02d", i), Incarnation: fmt.Sprintf("process-%02d", i), DataCentre: "dc", Cores: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
	}
	members := discoverer.New(self, s.rows.For(self.Instance))
	if err := members.WriteHeartbeat(t.Context()); err != nil {
		t.Fatal(err)
	}
	k := s.start(self.Incarnation)
	s.members = append(s.members, members)
	s.clients = append(s.clients, bookkeeper.NewClient(k, members, s.network, registrar.New(), options...))
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.handlers[self.Address] = k.Handlers(registrar.New())
}

func (s *dataCentre) refresh(t *testing.T) {
	t.Helper()
	for _, m := range s.members {
		if _, _, err := m.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func (s *dataCentre) runTurn(t *testing.T, client int, program, turn string, budget, used int64) (bookkeeper.Status, discoverer.Member) {
	t.Helper()
	out, member, err := s.clients[client].Open(t.Context(), bookkeeper.OpenRequest{
		Program: program, Turn: turn, Tokens: turnTokens, Budget: budget, Wait: 3 * time.Second,
	})
	if err != nil {
		t.Error(err)
		return out.Status, member
	}
	if out.Status == bookkeeper.OK {
		if err := s.clients[client].Close(t.Context(), member, bookkeeper.CloseRequest{Program: program, Turn: turn, Used: used}); err != nil {
			t.Error(err)
		}
	}
	return out.Status, member
}

// On a busy host, the answers of a bookkeeper were later than the timeout of a ping, and each
// instance went to another bookkeeper.
func TestDelayedProcessKeepsItsBookkeeper(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		start := time.Now()
		delay := extender.WithDelay(func() time.Duration { return time.Since(start) * 3 / 4 })
		s := newDataCentre(t, f, 5, bookkeeper.WithTimeouts(extender.New(delay).WithTimeout))
		_, keeper := s.runTurn(t, 0, "p", "first", 5000, 70)
		s.network.delay = 500 * time.Millisecond
		for i := range s.clients {
			if status, m := s.runTurn(t, i, "p", fmt.Sprint("turn ", i), 5000, 70); status != bookkeeper.OK || m.Instance != keeper.Instance {
				t.Errorf("client %d: status %v at %s, want that of %s", i, status, m.Instance, keeper.Instance)
			}
		}
	})
}

// A bookkeeper to which connections had gone silent counted as ended, and the instance went to another
// one.
func TestBookkeeperIsKeptAfterSilentConnections(t *testing.T) {
	for _, connections := range []int{1, 2} {
		runFleet(t, 1, func(t *testing.T, f *fleet) {
			s := newDataCentre(t, f, 5)
			_, keeper := s.runTurn(t, 0, "p", "first", 5000, 70)
			for i, m := range s.members {
				if m.Self().Instance == keeper.Instance {
					continue
				}
				s.network.stale = map[netip.AddrPort]int{keeper.Address: connections}
				status, m := s.runTurn(t, i, "p", fmt.Sprint("turn ", i), 5000, 70)
				if status != bookkeeper.OK || m.Instance != keeper.Instance {
					t.Errorf("%d silent connections, client %d: status %v at %s, want that of %s", connections, i, status, m.Instance, keeper.Instance)
				}
			}
		})
	}
}

// countingGossiper counts the calls of bookkeepers, which each begin with its observations. It cancels
// the one that makes more than most of them: time does not pass in a bubble in which a loop does not wait.
type countingGossiper struct {
	bookkeeper.Gossiper
	calls, most int
	cancel      context.CancelFunc
}

func (g *countingGossiper) ObservationsFor(instance string) []registrar.Observation {
	if g.calls++; g.calls > g.most {
		g.cancel()
	}
	return g.Gossiper.ObservationsFor(instance)
}

// An instance that stopped before it knew another one asked its own retired bookkeeper some thousand times
// a second for each turn, and did little else.
func TestRetiredBookkeeperIsAskedWithPauses(t *testing.T) {
	const wait, interval = 1820 * time.Millisecond, 50 * time.Millisecond
	for name, tc := range map[string]struct {
		// knownAfter is when another instance becomes known; zero for none.
		knownAfter time.Duration
		status     bookkeeper.Status
		within     time.Duration
	}{
		"NoOtherIsKnown":          {status: bookkeeper.Unavailable, within: wait},
		"AnotherIsKnownMeanwhile": {knownAfter: 410 * time.Millisecond, status: bookkeeper.OK, within: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				s := newDataCentre(t, f, 1)
				members := s.members[0]
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				gossiper := &countingGossiper{Gossiper: registrar.New(), most: int(tc.within/interval) + 1, cancel: cancel}
				client := bookkeeper.NewClient(f.bookkeeper(members.Self().Incarnation), members, s.network, gossiper)
				if err := errors.Join(members.Deregister(ctx), client.HandOver(ctx)); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				var opening sync.WaitGroup
				opening.Go(func() {
					out, _, err := client.Open(ctx, bookkeeper.OpenRequest{Program: "p", Turn: "t", Tokens: turnTokens, Budget: 5000, Wait: wait})
					if took := time.Since(start); err != nil || out.Status != tc.status || took > tc.within {
						t.Errorf("status %v, %v after %v, want %v within %v", out.Status, err, took, tc.status, tc.within)
					}
				})
				if tc.knownAfter > 0 {
					time.Sleep(tc.knownAfter)
					s.add(t)
					s.refresh(t)
				}
				opening.Wait()
				if gossiper.calls > gossiper.most {
					t.Errorf("more than %d calls", gossiper.most)
				}
			})
		})
	}
}

// When a bookkeeper dies under load, the instances must fall back to the same next
// one. When each instance wrote by itself, 68 writers overloaded one partition of
// the store.
func TestInstancesAgreeOnTheNextBookkeeper(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		s := newDataCentre(t, f, 17)
		_, failed := s.runTurn(t, 0, "p", "first", 5000, 70)
		s.network.mu.Lock()
		s.network.silent[failed.Address] = true
		s.network.mu.Unlock()
		var (
			mu   sync.Mutex
			work sync.WaitGroup
		)
		next := map[string]int{}
		for i := range s.clients {
			if s.members[i].Self().Instance == failed.Instance {
				continue
			}
			work.Go(func() {
				status, m := s.runTurn(t, i, fmt.Sprint("program-", i), "t", 5000, 70)
				mu.Lock()
				defer mu.Unlock()
				if status != bookkeeper.OK {
					t.Errorf("client %d: status %v", i, status)
				}
				next[m.Instance]++
			})
		}
		work.Wait()
		if len(next) != 1 {
			t.Errorf("turns by next bookkeeper: %v, want a single one", next)
		}
	})
}

// A graceful shutdown must lose no part of a budget, even during an outage of the
// store.
func TestRetiredBookkeeperHandsOverItsLedgers(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprint("outage ", outage), func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) { handOver(t, f, outage) })
		})
	}
}

func handOver(t *testing.T, f *fleet, outage bool) {
	t.Helper()
	s := newDataCentre(t, f, 4)
	const budget = 10 * turnTokens
	_, retired := s.runTurn(t, 0, "p", "first", budget, 70)
	retiring := -1
	for i, m := range s.members {
		if m.Self().Instance == retired.Instance {
			retiring = i
		}
	}
	if err := s.members[retiring].Deregister(t.Context()); err != nil {
		t.Fatal(err)
	}
	if outage {
		setOutage(f, true)
	}
	if err := s.clients[retiring].HandOver(t.Context()); err != nil {
		t.Fatal(err)
	}
	client := (retiring + 1) % len(s.clients)
	turns := 0
	for i := range 4 {
		if status, m := s.runTurn(t, client, "p", fmt.Sprint("next-", i), budget, 70); status == bookkeeper.OK && m.Instance != retired.Instance {
			turns++
		}
	}
	if diff := cmp.Diff(4, turns); diff != "" {
		t.Errorf("turns after the handover: %s", diff)
	}
	setOutage(f, false)
	f.kill(retired.Incarnation)
	used := int64(5 * 70)
	for i := 0; used+turnTokens <= budget; i++ {
		if status, _ := s.runTurn(t, client, "p", fmt.Sprint("rest-", i), budget, turnTokens); status != bookkeeper.OK {
			t.Fatalf("status %v with %d of %d tokens used", status, used, budget)
		}
		used += turnTokens
	}
	if status, _ := s.runTurn(t, client, "p", "beyond", budget, turnTokens); status != bookkeeper.Exhausted {
		t.Errorf("status %v beyond the budget", status)
	}
}
