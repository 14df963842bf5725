package prober_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/prober"
)

// The size of the target deployment.
const (
	targetInstances   = 360
	targetEndpoints   = 1400
	targetModels      = 10
	targetDataCentres = 18
	// samplePeriod is the time that an instance needs to probe its whole sample
	// at the default rate.
	samplePeriod = 4 * time.Second
)

func targetFleet() *fleet {
	f := newFleet(endpointNames(targetEndpoints)...)
	for i := range targetEndpoints {
		endpoint := f.version.Endpoints[fmt.Sprintf("e%d", i)]
		endpoint.Models = []string{fmt.Sprintf("m%d", i%targetModels)}
		endpoint.DataCentre = fmt.Sprintf("d%d", i/targetModels%targetDataCentres)
	}
	return f
}

// TestProbesAreSharedAmongInstances runs each instance for the time in which it
// probes its whole sample.
func TestProbesAreSharedAmongInstances(t *testing.T) {
	f := targetFleet()
	maxProbes := 0
	for i := range targetInstances {
		synctest.Test(t, func(t *testing.T) {
			before := f.totalProbes()
			ctx, cancel := context.WithTimeout(t.Context(), samplePeriod)
			defer cancel()
			p := prober.New(f.current, f, prober.WithInstance(fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%targetDataCentres)))
			if err := p.Run(ctx); err != nil {
				t.Error(err)
			}
			maxProbes = max(maxProbes, f.totalProbes()-before)
		})
	}
	if maxProbes > 4*32+4 {
		t.Errorf("an instance sent %d probes in 4 s", maxProbes)
	}
	if diff := cmp.Diff(targetEndpoints, len(f.probes)); diff != "" {
		t.Errorf("number of endpoints probed by any instance: %s", diff)
	}
	fewest, most := f.totalProbes(), 0
	for _, n := range f.probes {
		fewest, most = min(fewest, n), max(most, n)
	}
	t.Logf("in 4 s an instance sent at most %d probes; an endpoint got %d to %d, %.1f per second on average",
		maxProbes, fewest, most, float64(f.totalProbes())/samplePeriod.Seconds()/targetEndpoints)
}

func (f *fleet) totalProbes() int {
	n := 0
	for _, probes := range f.probes {
		n += probes
	}
	return n
}

// TestLeavingIsSeenInTimeWithSmallGroups uses three data centres and four groups
// of 10, 10, 10 and 7 endpoints, none of them in use.
func TestLeavingIsSeenInTimeWithSmallGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(endpointNames(37)...)
		f.edit(func(all map[string]*compiler.Endpoint) {
			for i, name := range endpointNames(37) {
				all[name].DataCentre = string("abc"[i%3])
				all[name].Models = []string{[]string{"m0", "m1", "m2", "m3"}[min(i/10, 3)]}
			}
		})
		p := f.run(t)
		time.Sleep(4300 * time.Millisecond)
		for _, name := range endpointNames(37) {
			f.set(name, generator.LoadReport{Leaving: true}, nil)
		}
		time.Sleep(maxLeavingDelay)
		if diff := cmp.Diff(0, countUsable(p)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestFailingEndpointsDoNotStarveOtherProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(endpointNames(100)...)
		p := f.run(t, prober.WithSample(100, 0))
		for range 200 {
			for _, name := range endpointNames(50) {
				p.RecordFailure(name, dispatcher.Failed)
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		for _, name := range endpointNames(100) {
			if f.probes[name] < 4 {
				t.Errorf("%s was probed %d times in 20 s", name, f.probes[name])
			}
		}
	})
}

func TestEndpointInUseIsProbedOutsideTheSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e1", "e2")
		p := f.run(t, prober.WithSample(0, 0))
		p.RecordSuccess("e1", time.Millisecond)
		time.Sleep(4500 * time.Millisecond)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if diff := cmp.Diff(map[string]int{"e1": 5}, f.probes); diff != "" {
			t.Error(diff)
		}
	})
}

func TestGapInCacheEventsCausesFullList(t *testing.T) {
	stored := func(number int64, program string) generator.CacheEvent {
		return generator.CacheEvent{Number: number, Program: program, Change: "Stored", Tokens: 16}
	}
	evicted := func(number int64, program string) generator.CacheEvent {
		return generator.CacheEvent{Number: number, Program: program, Change: "Evicted", Tokens: 16}
	}
	tests := map[string]struct {
		page    generator.CacheEventPage
		lists   int
		after   int64
		evicted []string
		held    [2]int
	}{
		"None":    {generator.CacheEventPage{Next: 9}, 1, 9, nil, [2]int{32, 0}},
		"Next":    {generator.CacheEventPage{Events: []generator.CacheEvent{stored(10, "p"), stored(11, "q")}, Next: 11}, 1, 11, nil, [2]int{48, 16}},
		"Evicted": {generator.CacheEventPage{Events: []generator.CacheEvent{evicted(10, "p"), evicted(11, "p")}, Next: 11}, 1, 11, []string{"e1 p"}, [2]int{0, 0}},
		"Gap":     {generator.CacheEventPage{Events: []generator.CacheEvent{stored(10, "p"), stored(12, "q")}, Next: 12}, 2, 12, nil, [2]int{32, 0}},
		"LateGap": {generator.CacheEventPage{Events: []generator.CacheEvent{stored(10, "p")}, Next: 13}, 2, 13, nil, [2]int{32, 0}},
		"Restart": {generator.CacheEventPage{Events: []generator.CacheEvent{stored(1, "p")}, Next: 1}, 2, 1, nil, [2]int{32, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("e1")
				f.holdings = []generator.Holding{{Program: "p", Tokens: 32}}
				f.pages = []generator.CacheEventPage{
					{Events: []generator.CacheEvent{stored(3, "old")}, Next: 9},
					{Next: 9},
					test.page,
				}
				p := f.run(t)
				p.RecordSuccess("e1", 0)
				time.Sleep(2500 * time.Millisecond)
				held := [2]int{p.CachedTokens("e1", "p"), p.CachedTokens("e1", "q")}
				f.mutex.Lock()
				defer f.mutex.Unlock()
				if diff := cmp.Diff([2]int{test.lists, test.lists}, [2]int{f.listCount, f.listNotifications}); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff([]int64{0, 9, 9, test.after}, f.eventsAfter); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(test.evicted, f.evicted); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(test.held, held); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestHoldingsAreListedAgainAfterResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e1")
		p := f.run(t, prober.WithResync(10*time.Second))
		for range 7 {
			p.RecordSuccess("e1", 0)
			time.Sleep(5 * time.Second)
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if diff := cmp.Diff(4, f.listCount); diff != "" {
			t.Error(diff)
		}
	})
}

func TestEndpointWithNewAddressStartsWithNoHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(endpointNames(4)...)
		p := f.run(t)
		recordFailures(p, "e0", 3)
		f.edit(func(all map[string]*compiler.Endpoint) { all["e0"].Address = newEngine("e0", 9).Address })
		v := view(t, p, "e0")
		if !v.Usable || v.Ramp >= 1 {
			t.Errorf("%+v", v)
		}
	})
}

func TestCacheReadsStayWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(endpointNames(50)...)
		f.defaultPageEvents = 20
		p := f.run(t, prober.WithCacheReadRate(4<<10))
		for range 60 {
			for i := range 50 {
				p.RecordSuccess(fmt.Sprintf("e%d", i), 0)
			}
			time.Sleep(time.Second)
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		const pageBytes = 350 + 20*95
		read := len(f.eventsAfter)*pageBytes + f.listCount*350
		// Up to five concurrent cache reads may exceed the limit, at the start by
		// four pages and a list each.
		limit := 61*4<<10 + 5*(4*pageBytes+350)
		if read > limit || read < 60*4<<10/2 {
			t.Errorf("cache reads used %d bytes", read)
		}
		t.Logf("cache reads used %d bytes in 60 s", read)
	})
}
