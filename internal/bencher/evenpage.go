package bencher

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

const (
	evenHeading  = "# Even load from stale reports\n"
	evenPlotFile = "even-load.svg"
	// plottedEndpoints is the number of endpoints in the plot.
	plottedEndpoints = 100
	milliseconds     = float64(time.Millisecond)
)

// EvenBatch runs the model of even load under all policies and writes the results.
type EvenBatch struct {
	// Seeds is the number of runs of each case, Parallel that of runs at a time.
	Seeds, Parallel int
	// Only selects the tables whose titles contain it; all if it is empty.
	Only string
	// Out is the folder of the page; nothing is written if it is empty.
	Out string
	// Progress gets each table as soon as it is known.
	Progress io.Writer
}

// evenCase is a table: one row for each policy and age.
type evenCase struct {
	title  string
	config EvenConfig
	ages   []time.Duration
}

func evenCases() []evenCase {
	ages := []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}
	uneven := []float64{0.7, 0.7, 1.7}
	var cases []evenCase
	for _, size := range []struct{ endpoints, instances int }{{30, 61}, {100, 88}, {300, 150}, {1400, 360}} {
		cases = append(cases, evenCase{
			fmt.Sprintf("%d endpoints, %d instances", size.endpoints, size.instances),
			EvenConfig{Endpoints: size.endpoints, Instances: size.instances, Turns: 5, Speeds: uneven},
			ages,
		})
	}
	replay := EvenConfig{Endpoints: 48, Instances: 61, Turns: 5}
	for _, r := range []struct {
		title  string
		change func(*EvenConfig)
	}{
		{"Replay: equal speeds, requests outside programs", func(c *EvenConfig) { c.Turns = 1 }},
		{"Replay: equal speeds", func(*EvenConfig) {}},
		{"Replay: bursts of neighbours, speeds 0.7, 0.7, 1.7", func(c *EvenConfig) { c.Bursts, c.Speeds = true, uneven }},
		{"Replay: arrivals that oscillate by 27%, speeds 0.7, 0.7, 1.7", func(c *EvenConfig) { c.Swing, c.Speeds = 0.27, uneven }},
		{"Replay: arrivals that oscillate by 55% with opposite phases in 3 data centres, speeds 0.7, 0.7, 1.7", func(c *EvenConfig) { c.Swing, c.Centres, c.Speeds = 0.55, 3, uneven }},
	} {
		c := evenCase{title: r.title, config: replay, ages: ages[2:3]}
		r.change(&c.config)
		cases = append(cases, c)
	}
	return cases
}

// evenRow is the mean of the figures over the seeds.
type evenRow struct {
	policy         string
	age            time.Duration
	highest, above float64
	p50, p99, mean float64
}

// Run runs the batch.
func (b EvenBatch) Run(ctx context.Context) error {
	if b.Seeds < 1 || b.Parallel < 1 {
		return eris.New("seeds and parallel must be at least 1")
	}
	if b.Out != "" && b.Only != "" {
		return eris.New("the page needs all tables: give either out or a selection")
	}
	var text strings.Builder
	text.WriteString(b.head())
	var plotted []evenRow
	for _, c := range evenCases() {
		if !strings.Contains(c.title, b.Only) {
			continue
		}
		rows, err := b.rows(ctx, c)
		if err != nil {
			return err
		}
		if c.config.Endpoints == plottedEndpoints {
			plotted = rows
		}
		table := evenTable(c, rows)
		text.WriteString(table)
		if _, err := io.WriteString(b.Progress, table); err != nil {
			return eris.Wrap(err, "write table")
		}
	}
	if b.Out == "" {
		return nil
	}
	if err := saveEvenPlot(filepath.Join(b.Out, plotFolder, evenPlotFile), plotted); err != nil {
		return err
	}
	path := filepath.Join(b.Out, pageName)
	page, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	before, _, _ := strings.Cut(string(page), evenHeading)
	return eris.Wrap(os.WriteFile(path, []byte(before+evenHeading+text.String()), 0o644), "write page")
}

// head returns the description of the model.
func (b EvenBatch) head() string {
	return fmt.Sprintf(evenHead, b.Seeds, b.Seeds, evenUsed*100, evenSlots, evenTurnover, evenCached*100, evenPause,
		evenTransit, evenDistance, perBookkeeper, evenWarmup, evenPlotFile)
}

// keptSection returns the part of the page that the other command writes.
func keptSection(path string) string {
	page, err := os.ReadFile(path)
	if err != nil {
		return "" // There is no page yet.
	}
	_, section, isFound := strings.Cut(string(page), evenHeading)
	if !isFound {
		return ""
	}
	return evenHeading + section
}

// rows runs a case under all policies.
func (b EvenBatch) rows(ctx context.Context, c evenCase) ([]evenRow, error) {
	policies := evenPolicies()
	rows := make([]evenRow, len(policies)*len(c.ages))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(b.Parallel)
	for i := range rows {
		group.Go(func() error {
			row := evenRow{policy: policies[i%len(policies)].Name, age: c.ages[i/len(policies)]}
			for seed := range b.Seeds {
				if err := ctx.Err(); err != nil {
					return err
				}
				config := c.config
				config.Policy, config.Age, config.Seed = policies[i%len(policies)], row.age, uint64(seed+1)
				row.add(RunEven(config), float64(b.Seeds))
			}
			rows[i] = row
			return nil
		})
	}
	return rows, group.Wait()
}

func (r *evenRow) add(f EvenFigures, n float64) {
	r.highest += f.Highest / n
	r.above += f.Above / n
	r.p50 += float64(f.P50) / milliseconds / n
	r.p99 += float64(f.P99) / milliseconds / n
	r.mean += float64(f.Mean) / milliseconds / n
}

func evenTable(c evenCase, rows []evenRow) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n| Age | Policy | Highest by mean | Above %% | Wait p50 ms | Wait p99 ms | Time ms |\n|--:|---|--:|--:|--:|--:|--:|\n", c.title)
	for _, r := range rows {
		fmt.Fprintf(&b, "| %v | %s | %.2f | %.1f | %.0f | %.0f | %.0f |\n", r.age, r.policy, r.highest, r.above, r.p50, r.p99, r.mean)
	}
	return b.String()
}

func saveEvenPlot(path string, rows []evenRow) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Wait p99 over the age of the reports, %d endpoints", plottedEndpoints)
	p.X.Label.Text, p.Y.Label.Text = "ms of age", "ms of wait + 1"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, policy := range evenPolicies() {
		var points plotter.XYs
		for _, r := range rows {
			if r.policy == policy.Name {
				points = append(points, plotter.XY{X: float64(r.age) / milliseconds, Y: r.p99 + 1})
			}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return eris.Wrap(err, "plot of even load")
		}
		line.Color, marks.Color, marks.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(policy.Name, line, marks)
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "save plot of even load")
}

const evenHead = `
This part of the page is written by

    wigeonbench load --seeds %d --out docs/

The model is one of its own: endpoints with slots, instances that choose, and loads that all
instances know as they were a given time ago. The same programs arrive under each policy. Each
figure is the mean over the seeds, of which there are %d. Nothing here measures the network, the platform
or real endpoints. One table alone is printed by ` + "`wigeonbench load --case TITLE`" + `.

Requests need %.0f%% of what the endpoints can do. An endpoint runs %d at a time and keeps the
others in order of arrival. The work of a request is exponential with a mean of %v at usual
speed. A program has five turns; the endpoint of its last turn saves %.0f%% of the work, and %v
pass on average between two turns. The speeds are 0.7, 0.7 and 1.7 in rotation and are known. A request needs
%v to its endpoint, and %v more to another data centre. There is a bookkeeper for each %d instances, and each turn calls one of
them. The first %v are not counted.

Policies: TwoByHash and Soonest are the values of the setting Placement.Policy; their functions
are the product's. "Own sends" are the instance's own requests that began or ended after the
report, "told sends" those that instances told the bookkeeper that the turn calls. "Soonest of
n" takes the lowest expected time, the wait weighted, of n endpoints drawn at random.
Invitations take the endpoint at which a request of the same instance ended last, if it stated
no waiting requests and is in the own data centre. Otherwise, and in one of eight cases, they
draw three endpoints, two of them in the own data centre.

"Highest by mean" is the mean over time of the highest load by the mean load; fast endpoints
should have more. "Above" is the part of the time that an endpoint has more requests than slots
while another has a free slot. "Time" is that from sending to the end.

![Wait p99 over the age of the reports](plots/%s)
`
