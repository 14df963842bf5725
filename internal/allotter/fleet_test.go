package allotter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

var testLimits = Limits{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}

// fleet is a number of instances with a store, on a fake clock.
type fleet struct {
	rows *fakeplatform.Rows
	// random draws the delays and losses of messages.
	random   *rand.Rand
	lossRate float64

	mu    sync.Mutex
	nodes []*node
	// cuts are the links without traffic, by the indices of sender and receiver.
	cuts  map[[2]int]bool
	runs  []run
	calls int
	bytes int
}

// run is a request of an instance that an endpoint ran.
type run struct {
	instance      int
	sentAt, ranAt time.Time
}

// node is one process of an instance.
type node struct {
	*fleet
	index  int
	ctx    context.Context
	cancel context.CancelFunc
	*discoverer.Discoverer
	allotter    *Allotter
	frozenUntil time.Time
}

func newFleet(size int, seed uint64, lossRate float64) *fleet {
	f := &fleet{rows: fakeplatform.NewRows(seed), random: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]int]bool{}, nodes: make([]*node, size), lossRate: lossRate}
	for i := range size {
		f.restart(i)
	}
	return f
}

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// index returns the index of the instance with the address.
func index(address netip.AddrPort) int {
	bytes := address.Addr().As4()
	return int(bytes[2])<<8 + int(bytes[3])
}

// restart ends the instance's process and starts another one.
func (f *fleet) restart(i int) {
	name := fmt.Sprintf("i-%d", i)
	f.launch(i, discoverer.Member{
		Instance: name, Incarnation: fmt.Sprintf("%s-%d", name, f.draw(1<<30)), Address: nodeAddress(i), DataCentre: "dc", Cores: 0.2 + float64(i%4)/5,
	}, f.rows.For(name))
}

// launch starts a process in place of the instance's one, with the store.
func (f *fleet) launch(i int, m discoverer.Member, rows storer.Rows) {
	n := &node{fleet: f, index: i}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.Discoverer = discoverer.New(m, rows)
	n.allotter = New(n.Discoverer, n, testLimits)
	// Restarts of one instance may coincide.
	f.mu.Lock()
	if f.nodes[i] != nil {
		f.nodes[i].cancel()
	}
	f.nodes[i] = n
	f.mu.Unlock()
	go n.keepMembership()
	go n.loop(observeInterval, func() {
		n.allotter.maintain(n.ctx)
	})
}

func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[i] != nil {
		f.nodes[i].cancel()
	}
}

func (f *fleet) stop() {
	for i := range f.nodes {
		f.kill(i)
	}
}

func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) node(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i]
}

// keepMembership does what composer's maintainMembership does.
func (n *node) keepMembership() {
	hasJoined := false
	n.loop(time.Second, func() {
		ctx, cancel := context.WithTimeout(n.ctx, time.Second)
		defer cancel()
		if !hasJoined {
			hasJoined = true
			_, _ = n.Join(ctx) // It is written and read again.
			return
		}
		if n.IsHeartbeatDue() {
			_ = n.WriteHeartbeat(ctx) // It is written again.
		}
		if _, _, err := n.Refresh(ctx); err == nil {
			_ = n.DeleteLapsed(ctx) // It is tried again.
		}
	})
}

func (n *node) loop(interval time.Duration, step func()) {
	for n.ctx.Err() == nil {
		n.waitWhileFrozen()
		step()
		timer := time.NewTimer(interval)
		select {
		case <-n.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil = time.Now().Add(d)
}

func (n *node) waitWhileFrozen() {
	n.mu.Lock()
	until := n.frozenUntil
	n.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (f *fleet) setCut(from, to int, isCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]int{from, to}] = isCut
}

// travel waits while a message travels. It reports whether the message arrives; some arrive
// after the caller has given up.
func (f *fleet) travel(from, to int) bool {
	f.mu.Lock()
	delay := time.Duration(500+f.random.IntN(2500)) * time.Microsecond
	isLost := f.random.Float64() < f.lossRate
	if f.random.Float64() < f.lossRate {
		delay = time.Duration(f.random.IntN(3000)) * time.Millisecond
	}
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	return !isLost && !f.cuts[[2]int{from, to}]
}

var errNoAnswer = errors.New("no answer")

// Call implements Caller.
func (n *node) Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error {
	to := index(address)
	request, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	response := make(chan []byte, 1)
	go func() {
		if !n.travel(n.index, to) {
			return
		}
		receiver := n.node(to)
		receiver.waitWhileFrozen()
		if receiver.ctx.Err() != nil {
			return
		}
		reply, err := receiver.allotter.Handlers()[method](context.Background(), request)
		if err != nil {
			return
		}
		receiver.waitWhileFrozen()
		encoded, err := cbor.Marshal(reply)
		if err != nil || !n.travel(to, n.index) {
			return
		}
		n.mu.Lock()
		n.calls++
		n.bytes += len(request) + len(encoded)
		n.mu.Unlock()
		response <- encoded
	}()
	select {
	case <-ctx.Done():
		return errNoAnswer
	case encoded := <-response:
		return cbor.Unmarshal(encoded, out)
	}
}

// request asks for a permit at the instance, for a request that the caller sends now, and runs
// the request after a delay if the permit was granted.
func (f *fleet) request(i int, in Request, delay time.Duration) Decision {
	n, sentAt := f.node(i), time.Now()
	n.waitWhileFrozen()
	if n.ctx.Err() != nil {
		return Decision{Result: Unreachable}
	}
	d, err := n.allotter.Permit(n.ctx, in)
	if err != nil {
		return Decision{Result: Unreachable}
	}
	n.waitWhileFrozen()
	time.Sleep(delay)
	if d.Result == Granted {
		f.mu.Lock()
		f.runs = append(f.runs, run{i, sentAt, time.Now()})
		f.mu.Unlock()
	}
	return d
}

// mostInWindow returns the largest number of requests that were sent and run in one window.
func (f *fleet) mostInWindow(since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := slices.Clone(f.runs)
	slices.SortFunc(runs, func(a, b run) int { return a.ranAt.Compare(b.ranAt) })
	most := 0
	for last := range runs {
		end := runs[last].ranAt
		if end.Sub(since) < testLimits.Window {
			continue
		}
		count := 0
		for k := last; k >= 0 && end.Sub(runs[k].ranAt) <= testLimits.Window; k-- {
			if end.Sub(runs[k].sentAt) <= testLimits.Window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
