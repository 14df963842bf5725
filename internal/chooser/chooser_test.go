package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

func candidates(loads ...float64) []registrar.Candidate {
	var out []registrar.Candidate
	for i, load := range loads {
		out = append(out, registrar.Candidate{
			Endpoint: registrar.Endpoint{ID: fmt.Sprintf("e-%d", i), Slots: 8, DataCentre: fmt.Sprintf("dc-%d", i%3)}, Load: load,
		})
	}
	return out
}

func homeOf(t *testing.T, program string, all []registrar.Candidate) string {
	t.Helper()
	return nextOf(t, program, "", all)
}

// nextOf returns the endpoint of a turn of a program with the given home.
func nextOf(t *testing.T, program, home string, all []registrar.Candidate) string {
	t.Helper()
	i := chooser.ForTurn(chooser.Turn{Key: program, Home: home}, all, 2)
	if i < 0 {
		t.Fatal("no endpoint chosen")
	}
	return all[i].ID
}

func TestProgramsAreSpreadAndKeepTheirHome(t *testing.T) {
	all := candidates(make([]float64, 9)...)
	counts, moved := map[string]int{}, 0
	for i := range 3000 {
		program := fmt.Sprint("program-", i)
		home := homeOf(t, program, all)
		counts[home]++
		if home != "e-8" && (homeOf(t, program, all[:8]) != home || nextOf(t, program, home, all[:8]) != home) {
			moved++
		}
	}
	for id, n := range counts {
		if n < 250 || n > 420 {
			t.Errorf("%s is the home of %d of 3000 programs", id, n)
		}
	}
	if moved > 0 {
		t.Errorf("%d programs changed their home although it is still a candidate", moved)
	}
}

// Under sustained overload all endpoints are full to different degrees. Programs
// must keep their home because only its cache has their prompts.
func TestOverloadedProgramsKeepTheirHome(t *testing.T) {
	even := candidates(make([]float64, 9)...)
	full := candidates(14, 20, 9, 16, 22, 11, 18, 13, 24)
	for i := range 500 {
		program := fmt.Sprint("program-", i)
		home := homeOf(t, program, even)
		if diff := cmp.Diff(home, nextOf(t, program, home, full)); diff != "" {
			t.Fatalf("%s changed its home: %s", program, diff)
		}
	}
}

func TestProgramLeavesAnOverloadedHome(t *testing.T) {
	all := candidates(make([]float64, 9)...)
	home := homeOf(t, "p", all)
	for i := range all {
		if all[i].ID == home {
			all[i].Load = 17
		}
	}
	if homeOf(t, "p", all) == home || nextOf(t, "p", home, all) == home {
		t.Error("home chosen although it has 17 requests more than the others")
	}
}

func TestFailingEndpointIsAvoided(t *testing.T) {
	all := candidates(make([]float64, 9)...)
	home := homeOf(t, "p", all)
	for i := range all {
		all[i].Avoid = all[i].ID == home
	}
	if homeOf(t, "p", all) == home || nextOf(t, "p", home, all) == home {
		t.Error("home chosen although it is to be avoided")
	}
	for i := range all {
		all[i].Avoid = true
	}
	homeOf(t, "p", all) // An endpoint is chosen even if all are to be avoided.
}

func TestLeastLoaded(t *testing.T) {
	for _, tc := range []struct {
		name string
		all  []registrar.Candidate
		want int
	}{
		{"none", nil, -1},
		{"least", candidates(3, 1, 2), 1},
		{"own data centre first among equal loads", candidates(2, 2, 2), 0},
		{"other data centre before full endpoints", candidates(9, 1, 9), 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, chooser.LeastLoaded("r", "dc-0", tc.all)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Instances that see the same loads must not all choose the same endpoint.
func TestEqualLoadsSpreadRequests(t *testing.T) {
	all := candidates(make([]float64, 6)...)
	counts := map[int]int{}
	for i := range 600 {
		counts[chooser.LeastLoaded(fmt.Sprint("request-", i), "elsewhere", all)]++
	}
	for i, n := range counts {
		if n < 60 || n > 150 {
			t.Errorf("endpoint %d was chosen %d times of 600", i, n)
		}
	}
}

// engine is a model of an engine: it runs requests in its slots in order, and a prompt
// that another engine read last takes longer.
type engine struct {
	busyUntil []time.Duration
}

// serve returns the time at which a request that arrives now ends.
func (e *engine) serve(now, takes time.Duration) time.Duration {
	slot := 0
	for i, until := range e.busyUntil {
		if until < e.busyUntil[slot] {
			slot = i
		}
	}
	e.busyUntil[slot] = max(e.busyUntil[slot], now) + takes
	return e.busyUntil[slot]
}

func (e *engine) load(now time.Duration) float64 {
	n := 0.0
	for _, until := range e.busyUntil {
		n += max((until-now).Seconds()/turnTime.Seconds(), 0)
	}
	return n
}

const (
	// turnTime is the time of a turn at an engine that has its prompt.
	turnTime = 160 * time.Millisecond
	// readTime is the additional time at another one.
	readTime = 40 * time.Millisecond
)

// replay plays programs of ten turns on 32 engines of 8 slots. Loads are known to the
// chooser with a delay of 200 ms. It returns the 95th percentile of the time from the
// arrival of a turn to its end, and the share of turns whose prompt was read again.
func replay(perSecond float64, choose func(program, home string, all []registrar.Candidate) int) (p95 time.Duration, readAgain float64) {
	const engines, slots, turns, seconds = 32, 8, 10, 12
	random := rand.New(rand.NewPCG(1, 2))
	all, fleet := candidates(make([]float64, engines)...), make([]engine, engines)
	for i := range fleet {
		fleet[i].busyUntil = make([]time.Duration, slots)
	}
	type arrival struct {
		at      time.Duration
		program int
	}
	var pending []arrival
	for at, program := time.Duration(0), 0; at < seconds*time.Second; program++ {
		pending = append(pending, arrival{at, program})
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
	}
	homes, served := map[int]string{}, map[int]int{}
	var latencies []time.Duration
	again, nextReport := 0, time.Duration(0)
	for len(pending) > 0 {
		next := 0
		for i, a := range pending {
			if a.at < pending[next].at {
				next = i
			}
		}
		now, program := pending[next].at, pending[next].program
		pending = slices.Delete(pending, next, next+1)
		if now >= nextReport {
			nextReport = now + 200*time.Millisecond
			for i := range fleet {
				all[i].Load = fleet[i].load(now)
			}
		}
		i := choose(fmt.Sprint("program-", program), homes[program], all)
		takes := turnTime
		if homes[program] != all[i].ID {
			takes += readTime
			if homes[program] != "" {
				again++
			}
		}
		homes[program] = all[i].ID
		end := fleet[i].serve(now, takes)
		latencies = append(latencies, end-now)
		if served[program]++; served[program] < turns {
			pending = append(pending, arrival{end + 20*time.Millisecond, program})
		}
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*95/100], float64(again) / float64(len(latencies))
}

// At nine tenths of the capacity of a fleet of small engines, homes by hash alone give
// some engines twice the programs of others: turns wait there while others have free
// slots. Callers of the large fleet allow 1.5 times the time of idle engines.
func TestRememberedHomesBalanceAFleetOfSmallEngines(t *testing.T) {
	const perSecond, margin, limit = 140, 1.5, (turnTime + readTime) * 3 / 2
	byHash, _ := replay(perSecond, func(program, _ string, all []registrar.Candidate) int {
		even := candidates(make([]float64, len(all))...)
		return chooser.ForTurn(chooser.Turn{Key: program}, even, margin)
	})
	if byHash <= limit {
		t.Errorf("p95 of a turn %v with homes by hash alone: the load is too low for this test", byHash)
	}
	remembered, readAgain := replay(perSecond, func(program, home string, all []registrar.Candidate) int {
		return chooser.ForTurn(chooser.Turn{Key: program, Home: home}, all, margin)
	})
	if remembered > limit || readAgain > 0.05 {
		t.Errorf("p95 of a turn %v, limit %v; %.0f%% of the prompts were read again", remembered, limit, 100*readAgain)
	}
}

// A shared part is read by few engines, unless these are loaded and others are not.
func TestSharedPartsStayTogether(t *testing.T) {
	const programs, margin = 400, 1.5
	countEngines := func(tokens int64, all []registrar.Candidate) int {
		used := map[int]bool{}
		for p := range programs {
			used[chooser.ForTurn(chooser.Turn{Key: fmt.Sprint(p), SharedPart: "5c1e07a2", SharedTokens: tokens}, all, margin)] = true
		}
		return len(used)
	}
	all := candidates(make([]float64, 44)...)
	if n := countEngines(12600, all); n > 11 {
		t.Errorf("%d of 44 engines read a long shared part", n)
	}
	loaded := candidates(make([]float64, 44)...)
	for i := range loaded {
		turn := chooser.Turn{Key: "p", SharedPart: "5c1e07a2", SharedTokens: 12600}
		if j := chooser.ForTurn(turn, loaded, margin); i < 11 {
			loaded[j].Load = 16
		}
	}
	if n := countEngines(12600, loaded); n <= 11 {
		t.Errorf("only %d engines are used although those that have the part are loaded", n)
	}
}

// New programs prefer engines of the own data centre while loads are about equal.
func TestNewProgramsStayInTheDataCentre(t *testing.T) {
	all := candidates(make([]float64, 9)...)
	local := 0
	for p := range 300 {
		i := chooser.ForTurn(chooser.Turn{Key: fmt.Sprint(p), DataCentre: "dc-1"}, all, 1.5)
		if all[i].DataCentre == "dc-1" {
			local++
		}
	}
	if diff := cmp.Diff(300, local); diff != "" {
		t.Error(diff)
	}
	for i := range all {
		if all[i].DataCentre == "dc-1" {
			all[i].Load = 8
		}
	}
	i := chooser.ForTurn(chooser.Turn{Key: "p", DataCentre: "dc-1"}, all, 1.5)
	if all[i].DataCentre == "dc-1" {
		t.Error("a loaded engine of the own data centre was chosen before idle ones")
	}
}

// plainFleet replays the plain requests of a large fleet: 195 instances in five data
// centres before 30 endpoints of six slots, 1,700 requests of 40 ms a second, idle
// connections that last 8 s. An instance knows the load that an endpoint reported with a
// response within the last two seconds. Half of the instances are lost after 17 of 34
// seconds. It returns the connections opened and the requests of each endpoint after
// the loss.
func plainFleet(choose func(key string, fleet chooser.Fleet, all []registrar.Candidate) int) (opened int, afterLoss []int) {
	const (
		instances, endpoints, dataCentres = 195, 30, 5
		perSecond, seconds, loss          = 1700, 34, 17
		takes, idle, known                = 40 * time.Millisecond, 8 * time.Second, 2 * time.Second
	)
	type pair struct{ instance, endpoint int }
	type report struct {
		load float64
		at   time.Duration
	}
	random := rand.New(rand.NewPCG(3, 4))
	all := candidates(make([]float64, endpoints)...)
	for i := range all {
		all[i].Slots, all[i].DataCentre = 6, fmt.Sprintf("dc-%d", i%dataCentres)
	}
	afterLoss = make([]int, endpoints)
	running := make([][]time.Duration, endpoints) // The ends of requests in the order of arrival.
	reports := map[pair]report{}
	free := map[pair][]time.Duration{}
	for now, n := time.Duration(0), 0; now < seconds*time.Second; n++ {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		isAfterLoss := now > loss*time.Second
		instance := random.IntN(instances)
		if isAfterLoss {
			instance -= instance % 2
		}
		for e := range all {
			all[e].Load, all[e].Age = 0, -1
			if r, found := reports[pair{instance, e}]; found && now-r.at <= known {
				all[e].Load, all[e].Age = r.load, now-r.at
			}
		}
		e := choose(fmt.Sprint(n), chooser.Fleet{
			Instance: fmt.Sprintf("instance-%d", instance), DataCentre: fmt.Sprintf("dc-%d", instance%dataCentres), Instances: instances,
		}, all)
		if isAfterLoss {
			afterLoss[e]++
		}
		p := pair{instance, e}
		conns := slices.DeleteFunc(free[p], func(since time.Duration) bool { return since <= now-idle })
		if len(conns) > 0 && conns[0] <= now {
			conns = conns[1:]
		} else {
			opened++
		}
		end := now + takes
		free[p] = append(conns, end)
		running[e] = append(slices.DeleteFunc(running[e], func(end time.Duration) bool { return end <= now }), end)
		reports[p] = report{float64(len(running[e])), now}
	}
	return opened, afterLoss
}

// The instances and endpoints make 5,850 pairs, more than the requests keep warm. Each
// instance keeps connections to few endpoints, and each endpoint is used by enough
// instances, also after half of them are lost.
func TestInstancesOfALargeFleetKeepFewConnections(t *testing.T) {
	before, _ := plainFleet(func(key string, fleet chooser.Fleet, all []registrar.Candidate) int {
		return chooser.LeastLoaded(key, fleet.DataCentre, all)
	})
	after, requests := plainFleet(chooser.ForCall)
	if after > before/3 {
		t.Errorf("%d connections were opened, %d without subsets", after, before)
	}
	total := 0
	for _, n := range requests {
		total += n
	}
	for e, n := range requests {
		if mean := total / len(requests); n < mean/2 || n > 2*mean {
			t.Errorf("endpoint %d got %d requests after the loss, mean %d", e, n, mean)
		}
	}
}

// A subset whose endpoints are all loaded or failing is left.
func TestCallsLeaveALoadedSubset(t *testing.T) {
	fleet := chooser.Fleet{Instance: "i", DataCentre: "dc-0", Instances: 195}
	for name, spoil := range map[string]func(c *registrar.Candidate){
		"loaded":  func(c *registrar.Candidate) { c.Load = 6 },
		"failing": func(c *registrar.Candidate) { c.Avoid = true },
	} {
		all := candidates(make([]float64, 30)...)
		subset := map[int]bool{}
		for i := range 300 {
			subset[chooser.ForCall(fmt.Sprint(i), fleet, all)] = true
		}
		if len(subset) > 6 {
			t.Errorf("%d endpoints are used", len(subset))
		}
		for i := range subset {
			spoil(&all[i])
		}
		for i := range 300 {
			if got := chooser.ForCall(fmt.Sprint(i), fleet, all); subset[got] {
				t.Fatalf("%s: endpoint %d of the subset is used", name, got)
			}
		}
		fleet.Instances = 12
		used := map[int]bool{}
		for i := range 300 {
			used[chooser.ForCall(fmt.Sprint(i), fleet, candidates(make([]float64, 11)...))] = true
		}
		if len(used) < 4 { // All of the own data centre.
			t.Errorf("a small fleet uses %d endpoints", len(used))
		}
		fleet.Instances = 195
	}
}

// An endpoint whose load is not known does not count as idle.
func TestUnknownLoadIsNoReasonToMove(t *testing.T) {
	all := candidates(10, 0, 10, 9, 10, 11, 10, 9)
	all[1].Age = -1
	for i := range 200 {
		chosen := chooser.ForTurn(chooser.Turn{Key: fmt.Sprint(i), Home: "e-0"}, all, 1)
		if diff := cmp.Diff("e-0", all[chosen].ID); diff != "" {
			t.Fatal(diff)
		}
	}
}

// Load: two thirds of the engines take few requests and are idle, the others have all the
// turns. Turns keep their homes at loaded engines, as the idle ones can't take them, and
// those with a home at a limited engine return there; new programs begin elsewhere, and
// anywhere once the limits were not stated for a while.
func TestLimitedEnginesAttractNoTurnsFromOthers(t *testing.T) {
	limited := func(age time.Duration) []registrar.Candidate {
		all := candidates(0, 14, 0, 0, 14, 0, 0, 3, 0)
		for i := range all {
			if all[i].Load == 0 {
				all[i].Limit, all[i].LimitAge = registrar.Limit{IsSet: true, Rate: 6}, age
			}
		}
		return all
	}
	stated := limited(100 * time.Millisecond)
	if diff := cmp.Diff([]string{"e-1", "e-0"}, []string{nextOf(t, "p", "e-1", stated), nextOf(t, "p", "e-0", stated)}); diff != "" {
		t.Error(diff)
	}
	begun := func(all []registrar.Candidate) (atLimited int) {
		for i := range 300 {
			j := chooser.ForTurn(chooser.Turn{Key: fmt.Sprint("program-", i), DataCentre: "dc-1"}, all, 1.5)
			if all[j].Limit.IsSet {
				atLimited++
			}
		}
		return atLimited
	}
	if fresh, old := begun(stated), begun(limited(5*time.Second)); fresh >= old || old < 200 {
		t.Errorf("of 300 new programs %d begin at limited engines, %d when the limits are old", fresh, old)
	}
	calls := candidates(0, 2)
	calls[0].Limit, calls[0].LimitAge = registrar.Limit{IsSet: true, Rate: 6}, time.Millisecond
	if i := chooser.LeastLoaded("call", "dc-1", calls); i != 1 {
		t.Error("a call goes to the limited endpoint before the other one has work")
	}
}
