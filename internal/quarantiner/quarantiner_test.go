package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/extender"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// network connects Quarantiners. The first is the only bookkeeper.
type network struct {
	nodes map[netip.AddrPort]*node
	all   []discoverer.Member
	isCut bool
	// delay is how long each call takes.
	delay time.Duration
}

type node struct {
	*Quarantiner
	*network
	self     discoverer.Member
	state    sync.Mutex
	refusing map[netip.AddrPort]bool
	alive    map[string]bool
	// stalls is the number of checks that get no result in time, and checkTime how long the
	// others take.
	stalls    int
	checkTime time.Duration
}

func (n *node) IsRefusing(ctx context.Context, address netip.AddrPort) bool {
	n.state.Lock()
	defer n.state.Unlock()
	if n.stalls > 0 {
		n.stalls--
		<-ctx.Done()
		return false
	}
	time.Sleep(n.checkTime)
	return n.refusing[address]
}

func (n *node) HasRespondedSince(process string, _ time.Time) bool {
	n.state.Lock()
	defer n.state.Unlock()
	return n.alive[process]
}
func (n *node) Self() discoverer.Member { return n.self }
func (n *node) Others() []discoverer.Member {
	return slices.DeleteFunc(slices.Clone(n.all), func(m discoverer.Member) bool { return m.Instance == n.self.Instance })
}
func (n *node) Bookkeepers(string) []discoverer.Member { return n.all[:1] }

// Call implements Caller.
func (n *node) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	if n.isCut {
		return errors.New("cut")
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(n.delay):
	}
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	reply, err := n.nodes[address].Handlers()[method](ctx, body)
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(body, out)
}

func newNetwork(instances int, options ...Option) []*node {
	w := &network{nodes: map[netip.AddrPort]*node{}}
	var nodes []*node
	for i := range instances {
		self := discoverer.Member{Instance: fmt.Sprint("instance-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
		n := &node{network: w, self: self, refusing: map[netip.AddrPort]bool{}, alive: map[string]bool{}}
		n.Quarantiner = New(n, n, n, n, options...)
		w.nodes[self.Address], w.all = n, append(w.all, self)
		nodes = append(nodes, n)
	}
	return nodes
}

// request returns a request to a target of its own.
func request(k Key) Identity { return Identity{Key: k, Target: Key{1: k[0], 2: k[1], 3: k[2]}} }

func endpoint(i int) registrar.Endpoint {
	return registrar.Endpoint{ID: fmt.Sprint("engine-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1)}
}

// crashUnder breaks the request off at an endpoint, whose process has ended.
func (n *node) crashUnder(k Key, i int) {
	e := endpoint(i)
	n.state.Lock()
	n.refusing[e.Address] = true
	n.state.Unlock()
	n.RecordBreak(request(k), e, time.Now())
	time.Sleep(time.Second)
}

// tell sends the verdicts of one instance to another, as with the calls to bookkeepers.
func tell(from, to *node) { to.MergeVerdicts(from.Verdicts()) }

// Guards against an instance that gets no turns, and therefore no verdicts.
func TestVerdictsReachInstancesWithoutTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(6)
		bad := key("bad")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, n := range nodes {
			running.Go(func() { n.Run(ctx) })
		}
		for i, n := range nodes[1:4] {
			n.crashUnder(bad, i)
		}
		time.Sleep(2 * pullInterval)
		for i, n := range nodes {
			if n.Find(request(bad)).Left == 0 {
				t.Errorf("instance %d would send the request", i)
			}
		}
		cancel()
		running.Wait()
	})
}

// Three instances see one crash each. None of them knew that it was the third.
func TestCrashesOfDifferentInstancesAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(5)
		bad := key("bad")
		for i, n := range nodes[1:4] {
			n.crashUnder(bad, i)
		}
		tell(nodes[0], nodes[3])
		tell(nodes[0], nodes[4])
		for i, want := range []bool{true, false, false, true, true} {
			if got := nodes[i].Find(request(bad)).Left > 0; got != want {
				t.Errorf("instance %d: quarantined %v, want %v", i, got, want)
			}
		}
	})
}

// An instance that reaches no other one learns from its own crashes.
func TestInstanceThatIsCutOffLearnsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2)[1]
		n.isCut = true
		for i := range minCrashes {
			n.crashUnder(key("bad"), i)
		}
		if got := n.Find(request(key("bad"))); got.Left == 0 || got.Crashes != minCrashes {
			t.Errorf("%+v", got)
		}
	})
}

// What was learned is forgotten, also by instances that tell each other all the time.
func TestQuarantineEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(4)
		for i := range minCrashes {
			nodes[1].crashUnder(key("bad"), i)
		}
		for end := time.Now().Add(retention + 2*suspicionMemory); time.Now().Before(end); {
			for i := range nodes {
				from, to := nodes[i], nodes[(i+1)%len(nodes)]
				verdicts := from.Verdicts()
				time.Sleep(20 * time.Millisecond) // in transit
				to.MergeVerdicts(verdicts)
				time.Sleep(20 * time.Millisecond)
			}
		}
		for i, n := range nodes {
			if got := n.Find(request(key("bad"))); got != (Status{}) || n.IsWatching() {
				t.Errorf("instance %d: %+v, watching: %v", i, got, n.IsWatching())
			}
		}
	})
}

// A connection that fails while the process goes on is no crash, nor is one whose process
// responds to another instance afterwards.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1)[0]
		for i := range minCrashes {
			n.RecordBreak(request(key("accepts")), endpoint(i), time.Now())
			time.Sleep(time.Second)
			n.crashUnder(key("alive"), 10+i)
			n.state.Lock()
			n.alive[endpoint(10+i).Process()] = true
			n.state.Unlock()
		}
		time.Sleep(2 * attributionAge)
		for _, name := range []string{"accepts", "alive"} {
			if diff := cmp.Diff(Status{}, n.Find(request(key(name)))); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	})
}

// Processes that were taken for ended respond again: instances that were told of the quarantine
// hear of its end, too.
func TestQuarantineThatWasWrongEndsEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(4)
		for i := range minCrashes {
			nodes[1].crashUnder(key("good"), i)
		}
		tell(nodes[0], nodes[2])
		tell(nodes[2], nodes[3])
		for i, n := range nodes {
			if n.Find(request(key("good"))).Left == 0 {
				t.Errorf("instance %d has no quarantine", i)
			}
		}
		for i := range minCrashes {
			for _, n := range nodes[:2] {
				n.state.Lock()
				n.alive[endpoint(i).Process()] = true
				n.state.Unlock()
			}
		}
		time.Sleep(2 * attributionAge)
		for range 2 { // The second time they would tell each other of the old one.
			tell(nodes[0], nodes[2])
			tell(nodes[2], nodes[3])
			tell(nodes[3], nodes[1])
			tell(nodes[3], nodes[2])
		}
		for i, n := range nodes {
			if got := n.Find(request(key("good"))); got.Left > 0 {
				t.Errorf("instance %d: %+v", i, got)
			}
		}
	})
}

// A request that is sent by all callers was in each crash; that it is served meanwhile is
// known to the instances that saw it broken off, and not to the bookkeeper.
func TestServedRequestIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(3)
		popular := key("popular")
		for i := range 2 * minCrashes {
			n := nodes[1+i%2]
			n.crashUnder(popular, i)
			n.RecordServed(request(popular))
			time.Sleep(time.Second)
		}
		for i, n := range nodes {
			if got := n.Find(request(popular)); got.Left > 0 {
				t.Errorf("instance %d: %+v", i, got)
			}
		}
	})
}

// A target that all callers use was in each crash, under requests that never come again, and
// the instances that serve them saw none of the crashes.
func TestTargetThatOthersServeIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, isCut := range []bool{false, true} {
			nodes := newNetwork(3)
			nodes[0].isCut = isCut // for all
			target := key("popular target")
			for i := range 2 * minCrashes {
				e := endpoint(i)
				nodes[1].state.Lock()
				nodes[1].refusing[e.Address] = true
				nodes[1].state.Unlock()
				nodes[1].RecordBreak(Identity{Key: key(fmt.Sprint("sound ", i)), Target: target}, e, time.Now())
				time.Sleep(time.Second)
				nodes[2].RecordServed(Identity{Key: key(fmt.Sprint("served ", i)), Target: target})
				time.Sleep(time.Second)
			}
			for i, n := range nodes {
				if got := n.Find(Identity{Key: key("next"), Target: target}); got.Left > 0 {
					t.Errorf("instance %d, cut: %v: %+v", i, isCut, got)
				}
			}
		}
	})
}

// On a busy host, not all instances answered in time, and a target that crashes endpoints was not
// quarantined.
func TestDelayedProcessConfirmsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		delay := extender.WithDelay(func() time.Duration { return time.Since(start) * 3 / 4 })
		nodes := newNetwork(3, WithTimeouts(extender.New(delay).WithTimeout))
		nodes[0].delay = time.Second // for all
		target := key("crashing target")
		for i := range 2 * minCrashes {
			e := endpoint(i)
			nodes[1].state.Lock()
			nodes[1].refusing[e.Address] = true
			nodes[1].state.Unlock()
			nodes[1].RecordBreak(Identity{Key: key(fmt.Sprint("form ", i)), Target: target}, e, time.Now())
			time.Sleep(2 * time.Second)
		}
		if got := nodes[1].Find(Identity{Key: key("next"), Target: target}); got.Left == 0 {
			t.Errorf("not quarantined: %+v", got)
		}
	})
}

// Many endpoints end, each with many requests that never come again.
func TestMemoryOfCrashesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1)[0]
		for i := range 2 * maxCrashes {
			n.refusing[endpoint(i).Address] = true
		}
		for i := range 2 * maxCrashes {
			e := endpoint(i)
			for r := range 2 * maxRequests {
				n.RecordBreak(request(key(fmt.Sprint(i, "/", r))), e, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		var verdicts []Verdict
		for i := range 2 * maxReceived {
			verdicts = append(verdicts, Verdict{Key: key(fmt.Sprint("other ", i)), Crashes: 3, Left: time.Minute, Hops: 1})
		}
		n.MergeVerdicts(verdicts)
		sent := len(n.Verdicts())
		n.mu.Lock()
		defer n.mu.Unlock()
		for name, sizes := range map[string][2]int{
			"crashes": {len(n.crashes), maxCrashes}, "suspicions": {len(n.suspicions), 2 * maxCrashes * maxRequests},
			"verdicts": {len(n.verdicts), maxReceived}, "broken": {len(n.broken), 0}, "sent": {sent, maxVerdicts},
		} {
			if sizes[0] > sizes[1] {
				t.Errorf("%s: %d, more than %d", name, sizes[0], sizes[1])
			}
		}
	})
}

// An instance that had started served calls, which ask no bookkeeper, before it heard of any
// quarantine, and crashed all endpoints of a service at once (10 crashes in a fleet test beside
// load, 5 of them within 0.2 s of a restart).
func TestInstanceThatStartsLearnsOfQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(5)
		bad := key("bad")
		for i, n := range nodes[1:4] {
			n.crashUnder(bad, i)
		}
		tell(nodes[0], nodes[1])
		started := nodes[4]
		if started.Find(request(bad)).Left > 0 {
			t.Fatal("the instance has heard of the quarantine")
		}
		started.isCut = true
		start := time.Now()
		started.Learn(t.Context(), started.all[:3])
		if took := time.Since(start); took > askTimeout {
			t.Errorf("waited %v for instances that are not reached", took)
		}
		started.isCut = false
		// The others of the three may not have heard of it either.
		started.Learn(t.Context(), started.all[1:4])
		if started.Find(request(bad)).Left == 0 {
			t.Error("a quarantined request may be sent")
		}
	})
}

// On a host that stood still for seconds, the check of a process took longer than the requests
// that broke off there were kept, or its time was up without a result. No crash was recorded, and
// the request crashed further endpoints.
func TestLateCheckRecordsTheCrash(t *testing.T) {
	for _, tc := range []struct {
		name      string
		stalls    int
		checkTime time.Duration
		want      int
	}{
		{"in time", 0, 0, 1},
		{"late", 0, 6 * time.Second, 1},
		{"no result at first", 2, 0, 1},
		{"no result", maxChecks, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(1)[0]
				n.stalls, n.checkTime = tc.stalls, tc.checkTime
				n.crashUnder(key("bad"), 0)
				time.Sleep(10 * time.Second)
				if diff := cmp.Diff(tc.want, n.Find(request(key("bad"))).Crashes); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
