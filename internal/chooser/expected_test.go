package chooser_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// expectedWork is a turn of 100 ms at usual speed, 30 ms of which its home saves.
var expectedWork = chooser.Work{Prefill: 50 * time.Millisecond, Generation: 50 * time.Millisecond, Home: "home", Cached: 30 * time.Millisecond, Turnover: 100 * time.Millisecond}

func TestForWork(t *testing.T) {
	at := func(id string, load float64, change ...func(*registrar.Candidate)) registrar.Candidate {
		c := registrar.Candidate{Endpoint: registrar.Endpoint{ID: id, Slots: 6}, Load: load}
		for _, f := range change {
			f(&c)
		}
		return c
	}
	slow := func(c *registrar.Candidate) { c.Speed = registrar.Speed{PrefillExcess: 1, GenerationExcess: 1} }
	paced := func(pace float64, age time.Duration) func(*registrar.Candidate) {
		return func(c *registrar.Candidate) { c.Pace, c.Age = pace, age }
	}
	avoided := func(c *registrar.Candidate) { c.Avoid = true }
	inviting := func(c *registrar.Candidate) { c.IsInviting = true }
	remote := func(c *registrar.Candidate) { c.DataCentre = "far" }
	for _, tc := range []struct {
		name string
		in   []registrar.Candidate
		want int
	}{
		{"none", nil, -1},
		{"the home is kept if all are idle", []registrar.Candidate{at("home", 0), at("a", 0)}, 0},
		{"the home is kept at a load below its slots", []registrar.Candidate{at("home", 3), at("a", 0)}, 0},
		{"the home is left if the turn would wait there", []registrar.Candidate{at("home", 9), at("a", 3)}, 1},
		{"the home is kept if the turn would wait elsewhere, too", []registrar.Candidate{at("home", 9), at("a", 9)}, 0},
		{"the home is left while a neighbour slows it down", []registrar.Candidate{at("home", 3, paced(2.5, 0)), at("a", 3)}, 1},
		{"an old pace is not used", []registrar.Candidate{at("home", 3, paced(2.5, time.Second)), at("a", 3)}, 0},
		{"a slow endpoint that is idle is behind a usual one", []registrar.Candidate{at("b", 0, slow), at("a", 4)}, 1},
		{"but before a usual one at which the turn waits", []registrar.Candidate{at("b", 0, slow), at("a", 12)}, 0},
		{"an invitation is taken first", []registrar.Candidate{at("a", 0), at("b", 5, inviting)}, 1},
		{"an invitation from afar is taken if the turn would wait here", []registrar.Candidate{at("b", 5, inviting, remote), at("a", 7)}, 0},
		{"and not if it is nearly as good here", []registrar.Candidate{at("b", 2, inviting, remote), at("a", 2)}, 1},
		{"but the home is kept if it is as good", []registrar.Candidate{at("home", 2), at("b", 2, inviting)}, 0},
		{"an avoided endpoint is not invited to", []registrar.Candidate{at("a", 7), at("b", 0, inviting, avoided)}, 0},
		{"avoided ones are the last resort", []registrar.Candidate{at("home", 0, avoided), at("a", 20)}, 1},
		{"the own data centre is preferred at equal loads", []registrar.Candidate{at("a", 2, remote), at("b", 2)}, 1},
		{"an absurdly small pace counts within bounds", []registrar.Candidate{at("a", 12, paced(1e-9, 0)), at("b", 0)}, 1},
		{"a pace of zero is no pace", []registrar.Candidate{at("a", 3, paced(0, 0)), at("b", 2)}, 1},
		{"an endpoint that states no slots", []registrar.Candidate{{Endpoint: registrar.Endpoint{ID: "a"}, Load: 3}, at("b", 2)}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := chooser.ForWork(expectedWork, tc.in); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}

// The first requests of a service, of whose work nothing is known, are spread by load.
func TestUnknownWorkGoesToTheLessLoaded(t *testing.T) {
	candidates := []registrar.Candidate{
		{Endpoint: registrar.Endpoint{ID: "a", Slots: 6}, Load: 5}, {Endpoint: registrar.Endpoint{ID: "b", Slots: 6}, Load: 1},
	}
	if got := chooser.ForWork(chooser.Work{}, candidates); got != 1 {
		t.Errorf("got %d", got)
	}
}

// large returns a registry of n endpoints in some data centres with a load of 5 of 6 but for
// the first one, which is idle.
func large(n, centres int) *registrar.Registry {
	r := registrar.New()
	var endpoints []registrar.Endpoint
	for i := range n {
		endpoints = append(endpoints, registrar.Endpoint{ID: strconv.Itoa(i), Service: "s", DataCentre: strconv.Itoa(i % centres), Slots: 6})
	}
	r.Replace(endpoints)
	for i := range n {
		load := registrar.Load{Running: 5, Slots: 6}
		if i == 0 {
			load = registrar.Load{Slots: 6}
		}
		r.Report(strconv.Itoa(i), load)
	}
	return r
}

// Instances that choose at the same moment by the same reports all chose the endpoint that was
// the least loaded one, and overran it.
func TestInstancesThatChooseAtOnceSpread(t *testing.T) {
	const instances = 61
	work := expectedWork
	work.Home = ""
	counts := map[string]int{}
	for i := range instances {
		candidates := large(48, 3).Draw(nil, "s", "", strconv.Itoa(i%3))
		counts[candidates[chooser.ForWork(work, candidates)].ID]++
	}
	for id, n := range counts {
		// A draw has the idle endpoint with a chance of a sixteenth.
		if n > instances/4 {
			t.Errorf("%d of %d instances chose endpoint %s", n, instances, id)
		}
	}
}

// decide draws and chooses as the relayer does.
func decide(r *registrar.Registry) int {
	var buffer [registrar.MaxDrawn]registrar.Candidate
	return chooser.ForWork(expectedWork, r.Draw(buffer[:0], "s", "17", "3"))
}

// The processor time of an instance is scarce.
func TestDecisionAmong1400EndpointsDoesNotAllocate(t *testing.T) {
	r := large(1400, 18)
	if n := testing.AllocsPerRun(1000, func() { decide(r) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkDecisionAmong1400Endpoints(b *testing.B) {
	r := large(1400, 18)
	b.ReportAllocs()
	for b.Loop() {
		decide(r)
	}
}
