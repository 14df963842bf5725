package rationer_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	gocmp "github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/rationer"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// The rule for endpoints with a limit: in ruleWindow at most ruleFactor times what the
// limit allows, and ruleSlack more.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
)

// network connects rationers in one process.
type network struct {
	handlers map[netip.AddrPort]map[string]messenger.Handler
	mu       sync.Mutex
	calls    int
	// isCut reports whether calls between two instances get no answer.
	isCut func(from, to int) bool
}

func (n *network) cut(isCut func(from, to int) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = isCut
}

// instance is the view that one rationer has of the others.
type instance struct {
	*network
	index int
	// members are those of this instance's list, by index.
	members []int
	// ordered is the result of Issuers, which all tests call with one key; nil if members
	// have changed.
	ordered   []discoverer.Member
	isDropped bool
}

func member(i int) discoverer.Member {
	return discoverer.Member{
		Instance: fmt.Sprintf("i-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
	}
}

func (in *instance) Self() discoverer.Member { return member(in.index) }

func (in *instance) IsCurrent() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.isDropped
}

func (in *instance) Count() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.members)
}

func (in *instance) Ranking(key string, n int) []discoverer.Member {
	hash := func(m discoverer.Member) uint64 { return xxhash.Sum64String(key + m.Instance) }
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ordered == nil {
		for _, i := range in.members {
			in.ordered = append(in.ordered, member(i))
		}
		slices.SortFunc(in.ordered, func(a, b discoverer.Member) int { return cmp.Compare(hash(b), hash(a)) })
	}
	return in.ordered[:min(n, len(in.ordered))]
}

func (in *instance) Call(ctx context.Context, address netip.AddrPort, method string, request, out any) error {
	in.mu.Lock()
	in.calls++
	to := int(address.Addr().As4()[2])<<8 + int(address.Addr().As4()[3])
	isCut := in.isCut(in.index, to)
	in.mu.Unlock()
	if isCut {
		<-ctx.Done()
		return errors.New("no answer")
	}
	const oneWay = time.Millisecond
	time.Sleep(oneWay)
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	reply, err := in.handlers[address][method](ctx, body)
	if err != nil {
		return err
	}
	time.Sleep(oneWay)
	if body, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(body, out)
}

// fleet is a number of instances that use permits for one endpoint.
type fleet struct {
	*network
	instances []*instance
	rationers []*rationer.Rationer
	uses      []time.Time
}

func newFleet(size int) *fleet {
	f := &fleet{network: &network{handlers: map[netip.AddrPort]map[string]messenger.Handler{}, isCut: noCut}}
	all := make([]int, size)
	for i := range all {
		all[i] = i
	}
	for i := range size {
		in := &instance{network: f.network, index: i, members: all}
		r := rationer.New(in, in)
		f.handlers[member(i).Address] = r.Handlers()
		f.instances, f.rationers = append(f.instances, in), append(f.rationers, r)
	}
	return f
}

func noCut(int, int) bool { return false }

func candidate(rate float64, age time.Duration) registrar.Candidate {
	return registrar.Candidate{
		Endpoint: registrar.Endpoint{ID: "e", Address: netip.MustParseAddrPort("10.9.0.1:80")},
		Limit:    registrar.Limit{IsSet: true, Rate: rate}, LimitAge: age,
	}
}

// issuer returns the index of the instance that issues the endpoint's permits.
func (f *fleet) issuer() int {
	first := f.instances[0].Ranking(candidate(1, 0).Process(), 1)[0]
	return slices.IndexFunc(f.instances, func(in *instance) bool { return in.Self().Instance == first.Instance })
}

// demand lets each instance ask for permits, perInstance times a second, for the length,
// and waits until it has ended.
func (f *fleet) demand(c func(i int) registrar.Candidate, perInstance float64, length, maxWait time.Duration) {
	var work sync.WaitGroup
	end := time.Now().Add(length)
	for i, r := range f.rationers {
		work.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(float64(time.Second) / perInstance))
				work.Go(func() {
					wait, isGranted := r.Permit(context.Background(), c(i), maxWait)
					if !isGranted {
						return
					}
					if wait > maxWait {
						panic("the wait exceeds its bound")
					}
					time.Sleep(wait)
					f.mu.Lock()
					f.uses = append(f.uses, time.Now())
					f.mu.Unlock()
				})
			}
		})
	}
	work.Wait()
}

// mostInWindow returns the largest number of uses in a window of the rule.
func (f *fleet) mostInWindow() int {
	slices.SortFunc(f.uses, time.Time.Compare)
	most := 0
	for i, first := range f.uses {
		n := sort.Search(len(f.uses)-i, func(k int) bool { return f.uses[i+k].Sub(first) >= ruleWindow })
		most = max(most, n)
	}
	return most
}

// Whatever the instances can reach and believe of each other, an endpoint gets no more
// than the rule allows; while they agree, it gets most of what it takes.
func TestPermitsOfAllInstancesKeepTheLimit(t *testing.T) {
	const length = 20 * time.Second
	for _, test := range []struct {
		name      string
		instances int
		rate      float64
		maxWait   time.Duration
		// disturb runs beside the demand.
		disturb func(f *fleet)
		// wantUsed is the least share of the limit that is used.
		wantUsed float64
	}{
		{"calm", 10, 6, 0, nil, 0.8},
		{"calm with waits", 10, 6, time.Second, nil, 0.9},
		{"many instances", 195, 5, 0, nil, 0.8},
		{"a limit below one", 10, 0.4, 0, nil, 0.5},
		{"a limit of zero", 10, 0, 0, nil, 0},
		{"the issuer freezes", 10, 6, 0, func(f *fleet) {
			frozen := f.issuer()
			time.Sleep(5 * time.Second)
			f.cut(func(from, to int) bool { return from == frozen || to == frozen })
			time.Sleep(4 * time.Second)
			f.cut(noCut)
		}, 0.5},
		{"half of the instances don't reach the issuer", 10, 6, 0, func(f *fleet) {
			issuer := f.issuer()
			f.cut(func(from, to int) bool { return to == issuer && from%2 == 0 })
		}, 0.6},
		{"no instance reaches another", 10, 6, 0, func(f *fleet) { f.cut(func(int, int) bool { return true }) }, 0},
		{"the issuer is cut off and dropped from the others' lists", 10, 6, 0, func(f *fleet) {
			issuer := f.issuer()
			f.cut(func(from, to int) bool { return from == issuer || to == issuer })
			time.Sleep(5 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.instances[issuer].isDropped = true
			for i, in := range f.instances {
				if i != issuer {
					in.members = slices.DeleteFunc(slices.Clone(in.members), func(m int) bool { return m == issuer })
					in.ordered = nil
				}
			}
		}, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(test.instances)
				var work sync.WaitGroup
				if test.disturb != nil {
					work.Go(func() { test.disturb(f) })
				}
				f.demand(func(int) registrar.Candidate { return candidate(test.rate, 0) }, 5, length, test.maxWait)
				work.Wait()
				if n, allowed := f.mostInWindow(), int(ruleFactor*test.rate*ruleWindow.Seconds())+ruleSlack; n > allowed {
					t.Errorf("%d requests in %v, allowed %d", n, ruleWindow, allowed)
				}
				if used := float64(len(f.uses)) / length.Seconds(); used < test.wantUsed*test.rate {
					t.Errorf("%.1f of %g a second used", used, test.rate)
				}
			})
		})
	}
}

// Instances that were denied a permit don't ask for each request.
func TestDeniedInstancesAskSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(195)
		const length, perInstance, bound = 4, 20, 10
		f.demand(func(int) registrar.Candidate { return candidate(5, 0) }, perInstance, length*time.Second, 0)
		if perSecond := f.calls / length / len(f.instances); perSecond > bound {
			t.Errorf("%d calls a second and instance", perSecond)
		}
	})
}

// The issuer follows the last statement, although some instances ask with an older one.
func TestIssuerFollowsTheLastStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10)
		stated := time.Now()
		f.demand(func(i int) registrar.Candidate {
			if i%2 == 0 {
				return candidate(20, time.Since(stated)+time.Minute)
			}
			return candidate(2, time.Since(stated))
		}, 5, 20*time.Second, 0)
		allowed := int(ruleFactor*2*ruleWindow.Seconds()) + ruleSlack
		if n := f.mostInWindow(); n > allowed {
			t.Errorf("%d requests in %v, allowed %d", n, ruleWindow, allowed)
		}
	})
}

// Requests that can wait get the permits in the order in which they asked, and those that
// would wait too long are told at once for how long.
func TestPermitsAreReservedAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		type result struct {
			Wait      time.Duration
			IsGranted bool
		}
		var got []result
		for range 5 {
			wait, isGranted := f.rationers[0].Permit(t.Context(), candidate(2, 0), time.Second)
			got = append(got, result{wait, isGranted})
		}
		want := []result{{0, true}, {500 * time.Millisecond, true}, {time.Second, true}, {1500 * time.Millisecond, false}, {1500 * time.Millisecond, false}}
		if diff := gocmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}
