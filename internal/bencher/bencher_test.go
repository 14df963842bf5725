package bencher

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// small returns a short run with few engines.
func small() Config {
	c := DefaultConfig()
	c.Engines, c.Schedulers = 3, 2
	c.Arrivals, c.Warmup = 60*time.Second, 0
	return c
}

// The same seed gives the same figures, whatever the fault.
func TestRunIsDeterministic(t *testing.T) {
	for _, fault := range []Fault{NoFault, Slow, Silent, Leaving} {
		t.Run(string(fault), func(t *testing.T) {
			c := small()
			c.Fault = fault
			c.Patience = true
			c.Features.Admission, c.Features.Window, c.Features.Evict = true, true, true
			if diff := cmp.Diff(Run(c), Run(c)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// All programs end, and no engine is given work after its grace.
func TestRunServesAll(t *testing.T) {
	for _, fault := range []Fault{NoFault, Slow, Silent, Leaving} {
		t.Run(string(fault), func(t *testing.T) {
			c := small()
			c.Load, c.Fault = 0.5, fault
			f := Run(c)
			got := []int{f.Unfinished, f.Abandoned, f.LateDispatches, f.Hangups, f.Refused}
			if diff := cmp.Diff([]int{0, 0, 0, 0, 0}, got); diff != "" {
				t.Error(diff)
			}
			if f.Programs.Count == 0 {
				t.Error("no program was counted")
			}
		})
	}
}

// Another policy fits under the same seam.
func TestRunTakesAnyPolicy(t *testing.T) {
	c := small()
	c.Load = 0.5
	want := Run(c)
	c.NewPolicy = func(c Config, instance int) Policy {
		return newScheduler(c.Features, c.Engines, c.Seed<<8+uint64(instance), epoch)
	}
	if diff := cmp.Diff(want, Run(c)); diff != "" {
		t.Error(diff)
	}
}

// evictions collects what a cache evicts.
type evictions struct {
	Keys []string
	Left []int
}

func (e *evictions) add(key string, tokens int) {
	e.Keys = append(e.Keys, key)
	e.Left = append(e.Left, tokens)
}

func TestCacheEvictsTailsOfLeastRecent(t *testing.T) {
	var got evictions
	c := newCache(100, got.add)
	for _, key := range []string{"a", "b", "c"} {
		h := c.pin(key)
		c.grow(h, 30)
		if key != "b" {
			c.unpin(h, epoch)
		}
	}
	if !c.grow(c.pin("d"), 50) {
		t.Error("there was no room for d")
	}
	if c.grow(c.pin("e"), 21) {
		t.Error("there was room for e beside pinned entries")
	}
	want := evictions{Keys: []string{"a", "c", "c"}, Left: []int{0, 20, 0}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(80, c.used); diff != "" {
		t.Error(diff)
	}
}

func TestEngineServesByPriority(t *testing.T) {
	waiting := []*generation{{priority: 1, number: 3}, {priority: 0, number: 4}, {priority: 1, number: 1}}
	slices.SortFunc(waiting, compareGenerations)
	var got []int
	for _, g := range waiting {
		got = append(got, g.number)
	}
	if diff := cmp.Diff([]int{4, 1, 3}, got); diff != "" {
		t.Error(diff)
	}
}

// Tallies arrive only in the bursts, at the mean rate asked for.
func TestBurstsKeepRate(t *testing.T) {
	g := &gaps{random: rand.New(rand.NewPCG(1, 1)), rate: 10, bursts: true}
	count, since := 0, time.Duration(0)
	for since = g.next(0); since < time.Hour; since = g.next(since) {
		count++
		if since%tallyPeriod > tallyPeriod/4 {
			t.Fatalf("an arrival came %v into the period", since%tallyPeriod)
		}
	}
	if count < 35000 || count > 37000 {
		t.Errorf("%d arrivals came in an hour, want about 36000", count)
	}
}

func TestSummaries(t *testing.T) {
	durations := make([]time.Duration, 100)
	for i := range durations {
		durations[i] = time.Duration(100-i) * time.Second
	}
	want := Latency{Count: 100, Mean: 50.5, P50: 50, P95: 95, P99: 99}
	if diff := cmp.Diff(want, summarize(durations)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]float64{1, 0.5}, []float64{jain([]float64{3, 3}), jain([]float64{1, 0})}); diff != "" {
		t.Error(diff)
	}
}

// A batch with an unknown name or a partial page is refused.
func TestBatchChecksSelection(t *testing.T) {
	for _, b := range []Batch{
		{Seeds: 1, Parallel: 1, Only: []string{"nothing"}},
		{Seeds: 1, Parallel: 1, Only: []string{"faults"}, Out: t.TempDir()},
		{Seeds: 0, Parallel: 1},
	} {
		if err := b.Run(t.Context()); err == nil {
			t.Errorf("batch %+v was run", b)
		}
	}
}

func TestTableShowsSpread(t *testing.T) {
	r := Results{
		Experiment: Experiment{Columns: []Column{columnMean, columnUnended}},
		Outcomes: []Outcome{{
			Case:    Case{Name: "a"},
			Figures: []Figures{{Programs: Latency{Mean: 1}}, {Programs: Latency{Mean: 2}}},
		}},
	}
	var got strings.Builder
	if err := WriteTable(&got, r); err != nil {
		t.Fatal(err)
	}
	want := "| Policy | Mean s | Unfinished |\n|---|--:|--:|\n| a | 1.5 (1.0–2.0) | 0 |\n"
	if diff := cmp.Diff(want, got.String()); diff != "" {
		t.Error(diff)
	}
}
