package bencher

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/router"
)

// Case is one row of an experiment: a run that is repeated for each seed.
type Case struct {
	Name   string
	Config Config
}

// Experiment is a set of cases that are compared.
type Experiment struct {
	// Name selects the experiment on the command line.
	Name    string
	Title   string
	Note    string
	Cases   []Case
	Columns []Column
}

// Column is one figure of a table.
type Column struct {
	Title  string
	Format string
	Get    func(f Figures) float64
}

// Outcome holds the figures of a case, one for each seed.
type Outcome struct {
	Case    Case
	Figures []Figures
}

// Results holds the outcomes of an experiment in the order of its cases.
type Results struct {
	Experiment Experiment
	Outcomes   []Outcome
}

// memo keeps the figures of runs that several experiments share.
type memo struct {
	mu      sync.Mutex
	figures map[string]Figures
}

// run returns the figures of the run, which is made if it is not known.
func (m *memo) run(c Config) Figures {
	key := fmt.Sprintf("%+v", c)
	m.mu.Lock()
	known, ok := m.figures[key]
	m.mu.Unlock()
	if ok {
		return known
	}
	figures := Run(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.figures[key] = figures
	return figures
}

// runExperiment runs all cases for seeds 1 to seeds, several at a time.
func runExperiment(ctx context.Context, e Experiment, seeds, parallel int, known *memo) (Results, error) {
	r := Results{Experiment: e}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for _, c := range e.Cases {
		figures := make([]Figures, seeds)
		r.Outcomes = append(r.Outcomes, Outcome{Case: c, Figures: figures})
		for i := range seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				config := c.Config
				config.Seed = uint64(i + 1)
				figures[i] = known.run(config)
				return nil
			})
		}
	}
	return r, group.Wait()
}

// The columns that several experiments share.
var (
	columnMean = Column{"Mean s", "%.1f", func(f Figures) float64 { return f.Programs.Mean }}
	columnP50  = Column{"p50 s", "%.1f", func(f Figures) float64 { return f.Programs.P50 }}
	columnP95  = Column{"p95 s", "%.1f", func(f Figures) float64 { return f.Programs.P95 }}
	columnP99  = Column{"p99 s", "%.1f", func(f Figures) float64 { return f.Programs.P99 }}

	columnFirst = Column{"First token p95 s", "%.2f", func(f Figures) float64 { return f.FirstToken.P95 }}
	columnHost  = Column{"Host first token p95 s", "%.2f", func(f Figures) float64 { return f.HostFirst.P95 }}
	columnGap   = Column{"Gap p95 ms", "%.0f", func(f Figures) float64 { return 1000 * f.Gap.P95 }}

	columnCatalogue = Column{"Catalogue mean s", "%.1f", func(f Figures) float64 { return f.Business[businessCatalogue].Mean }}
	columnBuffet    = Column{"Buffet mean s", "%.1f", func(f Figures) float64 { return f.Business[businessBuffet].Mean }}
	columnTally     = Column{"Tally p99 s", "%.1f", func(f Figures) float64 { return f.Agents[agentTally].P99 }}

	columnWasted  = Column{"Wasted prefill %", "%.1f", func(f Figures) float64 { return 100 * f.WastedShare }}
	columnAgain   = Column{"Prefix again %", "%.1f", func(f Figures) float64 { return 100 * f.AgainShare }}
	columnEnded   = Column{"Held for ended %", "%.2f", func(f Figures) float64 { return 100 * f.HeldEndedShare }}
	columnPerEnd  = Column{"KV token-s held a program", "%.0f", func(f Figures) float64 { return f.HeldEnded }}
	columnJain    = Column{"Jain programs", "%.2f", func(f Figures) float64 { return f.Fairness }}
	columnJainBiz = Column{"Jain businesses", "%.3f", func(f Figures) float64 { return f.BusinessFairness }}
	columnBehind  = Column{"Host behind tally %", "%.2f", func(f Figures) float64 { return 100 * f.HostBehindTally }}
	columnTrim    = Column{"Trim behind tally %", "%.2f", func(f Figures) float64 { return 100 * f.TrimBehindTally }}
	columnMoves   = Column{"Moves %", "%.1f", func(f Figures) float64 { return 100 * f.MoveShare }}

	columnDone      = Column{"Finished", "%.0f", func(f Figures) float64 { return float64(f.Programs.Count) }}
	columnRefused   = Column{"Refusals", "%.0f", func(f Figures) float64 { return float64(f.Refused) }}
	columnHangups   = Column{"Hang-ups", "%.0f", func(f Figures) float64 { return float64(f.Hangups) }}
	columnFailures  = Column{"Broken attempts", "%.0f", func(f Figures) float64 { return float64(f.Failures) }}
	columnAbandoned = Column{"Programs lost", "%.0f", func(f Figures) float64 { return float64(f.Abandoned) }}
	columnLate      = Column{"Late dispatches", "%.0f", func(f Figures) float64 { return float64(f.LateDispatches) }}
	columnCut       = Column{"Cut in flight", "%.0f", func(f Figures) float64 { return float64(f.Cut) }}
	columnUnended   = Column{"Unfinished", "%.0f", func(f Figures) float64 { return float64(f.Unfinished) }}
)

// pair is a queue policy and a routing policy that are measured together.
type pair struct{ queue, routing string }

func (p pair) name() string { return p.queue + "+" + p.routing }

// baseline is what the policy's latency is held against.
var baseline = pair{queuer.FirstCome, router.Random}

// product is the policy that an empty document gives.
var product = pair{queuer.LeastAttained, router.Affinity}

// pairs lists the policies that are compared at each load.
func pairs() []pair {
	return []pair{
		baseline,
		{queuer.FirstCome, router.RoundRobin},
		{queuer.FirstCome, router.LeastLoaded},
		{queuer.FirstCome, router.TwoChoices},
		{queuer.FirstCome, router.Affinity},
		{queuer.ShortestCall, router.Affinity},
		{queuer.LeastAttained, router.TwoChoices},
		product,
	}
}

// productFeatures returns what the product switches on.
func productFeatures(p pair) Features {
	return Features{Queue: p.queue, Routing: p.routing, Release: true, Gaps: true}
}

func policyCase(p pair, load float64) Case {
	c := DefaultConfig()
	c.Load = load
	c.Features = productFeatures(p)
	return Case{Name: p.name(), Config: c}
}
