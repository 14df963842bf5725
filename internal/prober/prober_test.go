package prober_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/prober"
)

var leavingRefusal = &dispatcher.Failure{Reason: dispatcher.Failed, Status: 503, Leaving: true}

func TestLeavingEndpointGetsNoNewWorkInTime(t *testing.T) {
	signals := map[string]func(*fleet, *prober.Prober){
		"Document": func(f *fleet, _ *prober.Prober) {
			f.edit(func(all map[string]*compiler.Endpoint) { all["e1"].Leaving = true })
		},
		"LoadReport": func(f *fleet, _ *prober.Prober) { f.set("e1", generator.LoadReport{Leaving: true}, nil) },
		"Refusal":    func(_ *fleet, p *prober.Prober) { p.RecordResult("e1", 0, fmt.Errorf("call: %w", leavingRefusal)) },
		"Probe":      func(f *fleet, _ *prober.Prober) { f.set("e1", generator.LoadReport{}, leavingRefusal) },
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("e1", "e2")
				p := f.run(t)
				time.Sleep(1700 * time.Millisecond)
				signal(f, p)
				time.Sleep(maxLeavingDelay)
				if diff := cmp.Diff(prober.View{Leaving: true}, view(t, p, "e1"), compareState); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(prober.View{Usable: true}, view(t, p, "e2"), compareState); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

var compareState = cmp.Transformer("State", func(v prober.View) [3]bool { return [3]bool{v.Usable, v.Leaving, v.Ejected} })

func TestOnlyNewerReportClearsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e1", "e2")
		f.set("e1", generator.LoadReport{Age: 5 * time.Second}, nil)
		p := f.run(t)
		p.MarkLeaving("e1")
		time.Sleep(14 * time.Second)
		if view(t, p, "e1").Usable {
			t.Error("the endpoint is usable after a report within the leaving margin")
		}
		time.Sleep(4 * time.Second)
		v := view(t, p, "e1")
		if !v.Usable || v.Ramp >= 1 {
			t.Errorf("not usable with a reduced share after a newer report: %+v", v)
		}
	})
}

func TestEjectedEndpointReturnsWithAGrowingShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(endpointNames(4)...)
		p := f.run(t)
		recordFailures(p, "e0", 2)
		p.RecordSuccess("e0", 0)
		recordFailures(p, "e0", 2)
		if !view(t, p, "e0").Usable {
			t.Error("ejected without 3 consecutive failures")
		}
		f.set("e0", generator.LoadReport{}, errors.New("still down"))
		recordFailures(p, "e0", 1)
		time.Sleep(8 * time.Second)
		if view(t, p, "e0").Usable {
			t.Error("usable before a probe succeeded")
		}
		f.set("e0", generator.LoadReport{}, nil)
		time.Sleep(1100 * time.Millisecond)
		first := view(t, p, "e0")
		time.Sleep(5 * time.Second)
		second := view(t, p, "e0")
		time.Sleep(6 * time.Second)
		if !first.Usable || first.Ramp > 0.3 || second.Ramp <= first.Ramp || second.Ramp >= 1 {
			t.Errorf("ramp was %v, 5 s later %v", first.Ramp, second.Ramp)
		}
		if diff := cmp.Diff(1.0, view(t, p, "e0").Ramp); diff != "" {
			t.Error(diff)
		}
	})
}

func TestNewEndpointStartsWithASmallShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e1")
		p := f.run(t)
		f.edit(func(all map[string]*compiler.Endpoint) { all["e2"] = newEngine("e2", 2) })
		got := []float64{view(t, p, "e1").Ramp, view(t, p, "e2").Ramp}
		if diff := cmp.Diff([]float64{1, 0.1}, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
			t.Error(diff)
		}
		f.edit(func(all map[string]*compiler.Endpoint) { delete(all, "e1") })
		if _, ok := p.View("e1"); ok {
			t.Error("View returned an endpoint that is not in the document")
		}
	})
}

func TestConcurrentSilentConnectionsDoNotEject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(endpointNames(4)...)
		p := f.run(t)
		for range 8 {
			p.RecordFailure("e0", dispatcher.Silent)
		}
		for range 8 {
			p.RecordFailure("e1", dispatcher.Canceled)
		}
		if diff := cmp.Diff(4, countUsable(p)); diff != "" {
			t.Error(diff)
		}
		for range 2 {
			time.Sleep(6 * time.Second)
			p.RecordFailure("e0", dispatcher.Silent)
		}
		if diff := cmp.Diff(3, countUsable(p)); diff != "" {
			t.Errorf("usable endpoints after two more silent connections 6 s apart: %s", diff)
		}
	})
}

func TestEjectionKeepsHalfOfGroupUsable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(r, "size")
		f := newFleet(endpointNames(size)...)
		p := prober.New(f.current, f)
		leaving := map[string]bool{}
		steps := rapid.SliceOfN(rapid.IntRange(0, 3*size-1), 1, 40).Draw(r, "steps")
		for _, step := range steps {
			name := fmt.Sprintf("e%d", step%size)
			if step/size < 2 {
				recordFailures(p, name, 3)
			} else {
				p.MarkLeaving(name)
				leaving[name] = true
				p.Tick()
			}
			staying := size - len(leaving)
			if got := countUsable(p); got < staying-staying/2 {
				r.Fatalf("%d usable of %d endpoints that are not leaving", got, staying)
			}
		}
	})
}

func TestReportTimeSubtractsReportAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e1")
		f.set("e1", generator.LoadReport{Running: 3, Waiting: 2, Slots: 8, Age: 700 * time.Millisecond}, nil)
		p := f.run(t)
		synctest.Wait()
		time.Sleep(50 * time.Millisecond)
		want := prober.View{
			Endpoint: "e1", Usable: true, HasReport: true, Running: 3, Waiting: 2, Slots: 8,
			ReportedAt: time.Now().Add(-750 * time.Millisecond), Age: 750 * time.Millisecond, ReportCount: 1, Ramp: 1, GapRatio: 1,
		}
		if diff := cmp.Diff(want, view(t, p, "e1")); diff != "" {
			t.Error(diff)
		}
	})
}

func TestServiceWithoutReportsIsPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("e1", "e2")
		f.edit(func(all map[string]*compiler.Endpoint) { all["e1"].Service = "fees" })
		f.set("e1", generator.LoadReport{}, &dispatcher.Failure{Reason: dispatcher.Failed, Status: 404})
		p := f.run(t)
		time.Sleep(10 * time.Second)
		v := view(t, p, "e1")
		if !v.Usable || v.HasReport {
			t.Errorf("%+v", v)
		}
	})
}

func TestGapRatioComparesWithTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(endpointNames(4)...)
		p := f.run(t)
		for i, gap := range []time.Duration{20, 20, 60} {
			for range 200 {
				p.RecordTokenGap(fmt.Sprintf("e%d", i), gap*time.Millisecond)
			}
		}
		got := []float64{view(t, p, "e0").GapRatio, view(t, p, "e2").GapRatio, view(t, p, "e3").GapRatio}
		if diff := cmp.Diff([]float64{1, 3, 1}, got, cmpopts.EquateApprox(0, 0.01)); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(1.0, view(t, p, "e2").GapRatio); diff != "" {
			t.Errorf("gap ratio after a minute without gaps: %s", diff)
		}
	})
}
