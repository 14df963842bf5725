package allotter

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
)

// fault is a fault of a fleet, after the pause.
type fault struct {
	pause  time.Duration
	kind   string
	i, j   int
	length time.Duration
	// away are the instances that stay away after the loss of all, by their bits.
	away int
}

func drawFault(t *rapid.T, size int) fault {
	return fault{
		pause:  time.Duration(rapid.IntRange(0, 12_000).Draw(t, "pause")) * time.Millisecond,
		kind:   rapid.SampledFrom([]string{"kill", "restart", "freeze", "cut", "isolate", "storeCut", "outage", "lostWrites", "leave", "loss", "partition"}).Draw(t, "kind"),
		i:      rapid.IntRange(0, size-1).Draw(t, "i"),
		j:      rapid.IntRange(0, size-1).Draw(t, "j"),
		length: time.Duration(rapid.IntRange(100, 60_000).Draw(t, "length")) * time.Millisecond,
		away:   rapid.IntRange(0, 1<<size-1).Draw(t, "away"),
	}
}

// apply brings the fault about; it ends after its length.
func (f *fleet) apply(x fault, faults *storeFaults) {
	switch x.kind {
	case "kill":
		f.kill(x.i)
		time.AfterFunc(x.length, func() { f.restart(x.i) })
	case "restart":
		f.restart(x.i)
	case "freeze":
		f.node(x.i).freeze(x.length)
	case "cut":
		f.setCut(x.i, x.j, true)
		time.AfterFunc(x.length, func() { f.setCut(x.i, x.j, false) })
	case "isolate":
		for k := range f.nodes {
			f.setCut(x.i, k, true)
			time.AfterFunc(x.length, func() { f.setCut(x.i, k, false) })
		}
	case "partition":
		// The instances on one side reach neither the store nor the others.
		faults.partition(x, 1)
		time.AfterFunc(x.length, func() { faults.partition(x, -1) })
		for i := range f.nodes {
			for k := range f.nodes {
				if x.away>>i&1 != x.away>>k&1 {
					f.setCut(i, k, true)
					time.AfterFunc(x.length, func() { f.setCut(i, k, false) })
				}
			}
		}
	case "loss":
		for k := range f.nodes {
			f.kill(k)
			if x.away&(1<<k) == 0 {
				time.AfterFunc(x.length/10+time.Duration(f.draw(1000))*time.Millisecond, func() { f.restart(k) })
			}
		}
	case "leave":
		n := f.node(x.i)
		go func() { _ = n.Deregister(n.ctx) }() // It may fail.
		time.AfterFunc(x.length, func() { f.restart(x.i) })
	default:
		faults.change(x, 1)
		time.AfterFunc(x.length, func() { faults.change(x, -1) })
	}
}

// storeFaults are the faults of the store, which may overlap.
type storeFaults struct {
	mu              sync.Mutex
	rows            *fakeplatform.Rows
	outages, losses int
	refused         map[string]int
}

// partition changes whether the store refuses the instances that are away.
func (s *storeFaults) partition(x fault, by int) {
	for i := range 64 {
		if x.away>>i&1 != 0 {
			s.change(fault{kind: "storeCut", i: i}, by)
		}
	}
}

func (s *storeFaults) change(x fault, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch x.kind {
	case "outage":
		s.outages += by
	case "lostWrites":
		s.losses += by
	default:
		s.refused[fmt.Sprintf("i-%d", x.i)] += by
	}
	faults := fakeplatform.RowFaults{Outage: s.outages > 0, Refused: map[string]bool{}}
	if s.losses > 0 {
		faults.LoseAnswers, faults.LandLate = 0.5, 2*time.Second
	}
	for name, count := range s.refused {
		faults.Refused[name] = count > 0
	}
	s.rows.SetFaults(faults)
}

// Guards against two issuers that each take the whole bound for theirs, whatever the instances
// can reach and believe of each other: in no sliding window are more requests both sent and run
// than the bound allows. The demand is a multiple of the quota.
func TestRequestsOfAllInstancesKeepTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(rt, "size")
		account := fmt.Sprint("account-", rapid.IntRange(0, 20).Draw(rt, "account"))
		quota := rapid.SampledFrom([]float64{0.4, 5, 20}).Draw(rt, "rate")
		seed := rapid.Uint64().Draw(rt, "seed")
		lossRate := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "lossRate")
		var faults []fault
		for range rapid.IntRange(0, 12).Draw(rt, "faults") {
			faults = append(faults, drawFault(rt, size))
		}
		checkBound(rt, t, size, seed, lossRate, account, quota, faults)
	})
}

// Guards against an issuer that begins although one that it cannot reach goes on by an older table:
// instances leave or are lost, others are cut off, and the former return.
func TestInstancesThatReturnBesideAPartitionKeepTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(3, 6).Draw(rt, "size")
		account := fmt.Sprint("account-", rapid.IntRange(0, 20).Draw(rt, "account"))
		returning := rapid.IntRange(1, 1<<size-2).Draw(rt, "returning")
		kind := rapid.SampledFrom([]string{"leave", "kill"}).Draw(rt, "kind")
		length := time.Duration(rapid.IntRange(1, 50_000).Draw(rt, "length")) * time.Millisecond
		var faults []fault
		for i := range size {
			if returning>>i&1 != 0 {
				faults = append(faults, fault{kind: kind, i: i, length: length})
			}
		}
		partition := fault{
			pause:  time.Duration(rapid.IntRange(0, 50_000).Draw(rt, "pause")) * time.Millisecond,
			kind:   "partition",
			away:   rapid.IntRange(1, 1<<size-2).Draw(rt, "away"),
			length: time.Duration(rapid.IntRange(1, 60_000).Draw(rt, "cut")) * time.Millisecond,
		}
		faults = append(faults, partition)
		checkBound(rt, t, size, rapid.Uint64().Draw(rt, "seed"), 0, account, 20, faults)
	})
}

// checkBound lets the faults come about one after the other, and checks the bound.
func checkBound(rt *rapid.T, t *testing.T, size int, seed uint64, lossRate float64, account string, quota float64, faults []fault) {
	var most int
	synctest.Test(t, func(*testing.T) {
		f := newFleet(size, seed, lossRate)
		start := time.Now()
		store := &storeFaults{rows: f.rows, refused: map[string]int{}}
		done := make(chan struct{})
		var work sync.WaitGroup
		for k := range 12 {
			work.Go(func() { f.demand(k, account, quota, done) })
		}
		time.Sleep(10 * time.Second)
		for _, x := range faults {
			time.Sleep(x.pause)
			f.apply(x, store)
		}
		time.Sleep(30 * time.Second)
		close(done)
		time.Sleep(time.Minute) // All faults end.
		work.Wait()
		f.stop()
		time.Sleep(10 * time.Second)
		most = f.mostInWindow(start)
	})
	if bound := int(testLimits.bound(quota * testLimits.Window.Seconds())); most > bound {
		rt.Fatalf("%d requests in a window, %d allowed", most, bound)
	}
}

// demand sends a twelfth of a demand of four times the tolerated rate until done.
func (f *fleet) demand(k int, account string, rate float64, done <-chan struct{}) {
	bound := testLimits.bound(rate * testLimits.Window.Seconds())
	interval := time.Duration(12 * float64(testLimits.Window) / (4 * bound))
	for id := 0; ; id++ {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		in := Request{Account: account, Version: 1, Rate: rate, Route: "r", ID: fmt.Sprint(k, "-", id), IsUnderWay: id%4 != 0}
		if id%8 != 0 {
			in.Program = fmt.Sprint("p-", k, "-", id/4)
		}
		delay := time.Duration(f.draw(40)) * time.Millisecond
		if id%16 == 0 {
			delay = time.Duration(f.draw(8000)) * time.Millisecond
		}
		go f.request(f.draw(len(f.nodes)), in, delay)
	}
}
