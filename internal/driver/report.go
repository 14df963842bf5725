package driver

import (
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Named is a result with the name that a report gives it.
type Named struct {
	Name   string
	Result Result
}

// WriteTable writes the results as text.
func WriteTable(w io.Writer, results ...Named) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeRequests(t, results)
	writeLatencies(t, results)
	writeKinds(t, results)
	if err := t.Flush(); err != nil {
		return eris.Wrap(err, "write the table")
	}
	return writeViolations(w, results)
}

// row writes the cells of one line; errors show when the writer is flushed.
func row(w io.Writer, cells ...any) {
	for _, cell := range cells {
		_, _ = fmt.Fprintf(w, "%v\t", cell)
	}
	_, _ = fmt.Fprintln(w)
}

func writeRequests(w io.Writer, results []Named) {
	row(w, "Run", "Mix", "Programs", "Finished", "Sent", "Whole", "NotRun", "Failed", "Cut", "Unknown", "Prompt", "Cached", "Reprefilled", "Generated")
	for _, n := range results {
		for _, m := range n.Result.Mixes {
			r := m.Requests
			row(w, n.Name, m.Mix, m.Programs, m.Finished, r.Sent, r.Whole, r.NotRun, r.Failed, r.Cut, r.Unknown, m.Prompt, m.Cached, m.Reprefilled, m.Generated)
		}
	}
	row(w)
}

func writeLatencies(w io.Writer, results []Named) {
	row(w, "Run", "Mix", "Latency", "Count", "Mean", "P50", "P90", "P95", "P99", "Max")
	for _, n := range results {
		for _, m := range n.Result.Mixes {
			for _, l := range m.Latencies {
				row(w, n.Name, m.Mix, l.Measure, l.Count, short(l.Mean), short(l.at(0.5)), short(l.at(0.9)),
					short(l.at(0.95)), short(l.at(0.99)), short(l.Max))
			}
		}
	}
	row(w)
}

// short rounds a time for reading.
func short(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func writeKinds(w io.Writer, results []Named) {
	row(w, "Run", "Mix", "Refusal", "Count")
	for _, n := range results {
		for _, m := range n.Result.Mixes {
			for _, k := range m.Kinds {
				row(w, n.Name, m.Mix, k.Kind, k.Count)
			}
		}
	}
}

func writeViolations(w io.Writer, results []Named) error {
	for _, n := range results {
		if _, err := fmt.Fprintf(w, "\n%s: %d violations\n", n.Name, n.Result.ViolationCount); err != nil {
			return eris.Wrap(err, "write the violations")
		}
		for _, v := range n.Result.Violations {
			if _, err := fmt.Fprintf(w, "  %s %s %s: %s\n", v.Mix, v.Name, v.Program, v.Text); err != nil {
				return eris.Wrap(err, "write the violations")
			}
		}
	}
	return nil
}

// WritePlots writes SVG files into the directory and returns their paths: the
// distributions of each latency, and the requests and the turns' latency of
// each second.
func WritePlots(dir string, results ...Named) ([]string, error) {
	var paths []string
	for _, measure := range []string{measureProgram, measureTurn, measureFirstToken, measureLastToken, measureTokenGap, measureCall} {
		p, err := plotLatency(measure, results)
		if err != nil {
			return paths, err
		}
		if p == nil {
			continue
		}
		path := filepath.Join(dir, measure+".svg")
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
			return paths, eris.Wrap(err, "save a plot")
		}
		paths = append(paths, path)
	}
	for _, n := range results {
		path := filepath.Join(dir, "Seconds-"+n.Name+".svg")
		if err := plotSeconds(n, path); err != nil {
			return paths, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// plotLatency returns the distributions of a measure, or nil if there is none.
func plotLatency(measure string, results []Named) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = measure
	p.X.Label.Text = "share of the values"
	p.Y.Label.Text = "milliseconds"
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, n := range results {
		for _, m := range n.Result.Mixes {
			for _, l := range m.Latencies {
				if l.Measure == measure {
					lines = append(lines, n.Name+" "+m.Mix, l.points())
				}
			}
		}
	}
	if len(lines) == 0 {
		return nil, nil
	}
	return p, eris.Wrap(plotutil.AddLines(p, lines...), "add lines")
}

// points returns the distribution in milliseconds.
func (l Latency) points() plotter.XYs {
	points := make(plotter.XYs, len(l.Quantiles))
	for i, q := range l.Quantiles {
		points[i] = plotter.XY{X: q.Share, Y: milliseconds(q.Value)}
	}
	return points
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// plotSeconds plots what became of the requests of each second.
func plotSeconds(n Named, path string) error {
	p := plot.New()
	p.Title.Text = n.Name
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests; 95th percentile of turns in 10 ms"
	p.Legend.Top = true
	curves := []struct {
		name  string
		value func(Second) float64
	}{
		{"whole", func(s Second) float64 { return float64(s.Requests.Whole) }},
		{"not run", func(s Second) float64 { return float64(s.Requests.NotRun) }},
		{"failed", func(s Second) float64 { return float64(s.Requests.Failed) }},
		{"cut or unknown", func(s Second) float64 { return float64(s.Requests.Cut + s.Requests.Unknown) }},
		{"turn P95", func(s Second) float64 { return milliseconds(s.TurnP95) / 10 }},
	}
	var lines []any
	for _, curve := range curves {
		points := make(plotter.XYs, len(n.Result.Seconds))
		for i, s := range n.Result.Seconds {
			points[i] = plotter.XY{X: float64(s.Second), Y: curve.value(s)}
		}
		lines = append(lines, curve.name, points)
	}
	if len(n.Result.Seconds) == 0 {
		lines = nil
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "add lines")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "save a plot")
}
