package bencher

import (
	"fmt"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/router"
)

// The loads of the comparison of policies and of the other experiments.
const (
	targetLoad   = 0.9
	moderateLoad = 0.7
	excessLoad   = 1.2
	hangupLoad   = 1.6

	// usualStarvedEvery is the queue's own setting.
	usualStarvedEvery = 4
)

func comparedLoads() []float64 { return []float64{0.5, moderateLoad, targetLoad, 1.0, excessLoad} }

// policiesName is the experiment that the targets and the plots are read from.
func policiesName(load float64) string { return fmt.Sprintf("policies-%.1f", load) }

// Experiments returns all experiments in the order of the page.
func Experiments() []Experiment {
	var all []Experiment
	for _, load := range comparedLoads() {
		all = append(all, policies(load))
	}
	return append(all, agentsApart(), faults(), overload(), flood(), memory(), starvation(), telemetry())
}

func policies(load float64) Experiment {
	e := Experiment{
		Name:  policiesName(load),
		Title: fmt.Sprintf("Policies at a load of %.1f", load),
		Columns: []Column{
			columnMean, columnP50, columnP95, columnP99, columnFirst, columnHost, columnGap,
			columnAgain, columnWasted, columnMoves, columnBehind, columnJain, columnJainBiz, columnUnended,
		},
	}
	for _, p := range pairs() {
		e.Cases = append(e.Cases, policyCase(p, load))
	}
	return e
}

// agentsApart shows the agent programs' latencies under two policies.
func agentsApart() Experiment {
	e := Experiment{
		Name:  "agents",
		Title: fmt.Sprintf("Agent programs at a load of %.1f", targetLoad),
		Note:  "Mean and p95 of the program latency in seconds. Loop programs run to their bound of turns.",
	}
	for _, a := range agents() {
		e.Columns = append(e.Columns,
			Column{a.Name + " mean", "%.1f", func(f Figures) float64 { return f.Agents[a.Name].Mean }},
			Column{a.Name + " p95", "%.1f", func(f Figures) float64 { return f.Agents[a.Name].P95 }},
		)
	}
	for _, p := range []pair{baseline, {queuer.FirstCome, router.Affinity}, product} {
		e.Cases = append(e.Cases, policyCase(p, targetLoad))
	}
	return e
}

func faults() Experiment {
	e := Experiment{
		Name:  "faults",
		Title: fmt.Sprintf("Faults of one engine at a load of %.1f", moderateLoad),
		Note: "Slow: steps take three times as long for a third of the run. Silent: streams and reports stop for a " +
			"tenth of the run. Leaving: announced, then gone after a twentieth of the run; late dispatches are " +
			"those later than 3 s after the announcement.",
		Columns: []Column{
			columnMean, columnP95, columnP99, columnFirst, columnHost, columnGap, columnAgain, columnFailures,
			columnAbandoned, columnLate, columnCut,
		},
	}
	for _, fault := range []Fault{NoFault, Slow, Silent, Leaving} {
		for _, p := range []pair{baseline, product} {
			c := policyCase(p, moderateLoad)
			c.Name = fmt.Sprint(fault, ", ", p.name())
			c.Config.Fault = fault
			e.Cases = append(e.Cases, c)
		}
	}
	c := policyCase(product, moderateLoad)
	c.Name = fmt.Sprint(Slow, ", ", product.name(), " without gaps")
	c.Config.Fault = Slow
	c.Config.Features.Gaps = false
	e.Cases = append(e.Cases, c)
	return e
}

func overload() Experiment {
	e := Experiment{
		Name:  "overload",
		Title: fmt.Sprintf("Callers that hang up, at a load of %.1f", hangupLoad),
		Note: "A caller hangs up when its turn has not begun within its patience (hosts 10 s, trim chats 30 s, editors " +
			"60 s, tallies 300 s), which ends its program. Admission refuses a turn whose expected wait is longer; a refused " +
			"caller comes back up to three times. The window bounds the generations on an engine by their latency.",
		Columns: []Column{
			columnDone, columnAbandoned, columnHangups, columnRefused, columnMean, columnP95, columnFirst, columnHost,
			columnGap,
		},
	}
	for _, p := range []pair{baseline, product} {
		c := policyCase(p, hangupLoad)
		c.Config.Patience = true
		e.Cases = append(e.Cases, c)
	}
	for _, v := range []struct {
		name              string
		admission, window bool
	}{{"admission", true, false}, {"window", false, true}, {"admission and window", true, true}} {
		c := policyCase(product, hangupLoad)
		c.Name = product.name() + " with " + v.name
		c.Config.Patience = true
		c.Config.Features.Admission, c.Config.Features.Window = v.admission, v.window
		e.Cases = append(e.Cases, c)
	}
	return e
}

func flood() Experiment {
	e := Experiment{
		Name:  "flood",
		Title: "One business floods the other with tallies",
		Note:  "A load of 0.7 plus tallies for another 0.8.",
		Columns: []Column{
			columnCatalogue, columnBuffet, columnHost, columnTally, columnBehind, columnTrim, columnJainBiz, columnUnended,
		},
	}
	for _, p := range []pair{baseline, {queuer.FirstCome, router.Affinity}, product} {
		quiet := policyCase(p, moderateLoad)
		quiet.Name = p.name() + ", no flood"
		flooded := policyCase(p, moderateLoad)
		flooded.Name = p.name() + ", flood"
		flooded.Config.Flood = 0.8
		e.Cases = append(e.Cases, quiet, flooded)
	}
	return e
}

func memory() Experiment {
	e := Experiment{
		Name:  "memory",
		Title: "Caches of ended and of paused programs",
		Note: fmt.Sprintf("At a load of %.1f. Ample caches are %d tokens an engine, tight ones %d.",
			moderateLoad, ampleCache, tightCache),
		Columns: []Column{
			columnMean, columnP95, columnFirst, columnAgain, columnWasted, columnEnded, columnPerEnd, columnMoves,
		},
	}
	for _, v := range []struct {
		name           string
		cache          int
		release, evict bool
	}{
		{"Ample, no release", ampleCache, false, false},
		{"Ample, release", ampleCache, true, false},
		{"Tight, no release", tightCache, false, false},
		{"Tight, release", tightCache, true, false},
		{"Tight, release and drop", tightCache, true, true},
	} {
		c := policyCase(product, moderateLoad)
		c.Name = v.name
		c.Config.CacheTokens = v.cache
		c.Config.Features.Release, c.Config.Features.Evict = v.release, v.evict
		e.Cases = append(e.Cases, c)
	}
	return e
}

func starvation() Experiment {
	e := Experiment{
		Name:    "starvation",
		Title:   fmt.Sprintf("Dispatches kept for starved turns, at a load of %.1f", excessLoad),
		Note:    "Of how many dispatches of a business one goes to its longest waiting turn after the bound of 30 s.",
		Columns: []Column{columnMean, columnP95, columnP99, columnHost, columnTally, columnTrim, columnJain, columnUnended},
	}
	for _, n := range []int{1, 2, usualStarvedEvery, 8, 16} {
		c := policyCase(product, excessLoad)
		c.Name = fmt.Sprint("one in ", n)
		if n != usualStarvedEvery {
			c.Config.Features.StarvedEvery = n
		}
		e.Cases = append(e.Cases, c)
	}
	return e
}

// telemetry shows what the age of the load reports costs.
func telemetry() Experiment {
	e := Experiment{
		Name:    "telemetry",
		Title:   fmt.Sprintf("Period of the load reports, at a load of %.1f", moderateLoad),
		Columns: []Column{columnMean, columnP95, columnFirst, columnHost, columnAgain, columnMoves},
	}
	for _, p := range []pair{{queuer.FirstCome, router.LeastLoaded}, {queuer.FirstCome, router.TwoChoices}, product} {
		for _, period := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			c := policyCase(p, moderateLoad)
			c.Name = fmt.Sprint(period, ", ", p.name())
			c.Config.ReportPeriod = period
			e.Cases = append(e.Cases, c)
		}
	}
	return e
}
