package bencher

import (
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// figure is one plot of a column over the load.
type figure struct {
	file   string
	title  string
	label  string
	column Column
	// logarithmic sets the scale of the column's axis.
	logarithmic bool
}

func plots() []figure {
	return []figure{
		{"latency-mean.svg", "Mean program latency over load", "seconds", columnMean, true},
		{"latency-p95.svg", "Program latency p95 over load", "seconds", columnP95, true},
		{"host-first-token.svg", "Host's first token p95 over load", "seconds", columnHost, true},
		{"prefix-again.svg", "Prefix prefilled again over load", "percent", columnAgain, false},
	}
}

// save writes the plot into the folder, with the range over the seeds as bars.
func (f figure) save(folder string, all []Results) error {
	p := plot.New()
	p.Title.Text = f.title
	p.X.Label.Text = "load"
	p.Y.Label.Text = f.label
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	if f.logarithmic {
		p.Y.Scale = plot.LogScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for i, pair := range pairs() {
		if err := f.addLine(p, pair.name(), i, all); err != nil {
			return eris.Wrapf(err, "plot %s", f.file)
		}
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, filepath.Join(folder, f.file)), "save %s", f.file)
}

func (f figure) addLine(p *plot.Plot, name string, index int, all []Results) error {
	line, points, err := plotter.NewLinePoints(f.series(name, all))
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	points.Color = plotutil.Color(index)
	points.Shape = plotutil.Shape(index)
	bars, err := plotter.NewYErrorBars(spreads{f.series(name, all), f.errors(name, all)})
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(index)
	p.Add(line, points, bars)
	p.Legend.Add(name, line, points)
	return nil
}

// spreads joins points with their errors.
type spreads struct {
	plotter.XYs
	plotter.YErrors
}

func (f figure) series(name string, all []Results) plotter.XYs {
	var points plotter.XYs
	for _, load := range comparedLoads() {
		o := find(all, policiesName(load)).outcome(name)
		points = append(points, plotter.XY{X: load, Y: o.mean(f.column)})
	}
	return points
}

func (f figure) errors(name string, all []Results) plotter.YErrors {
	var bounds plotter.YErrors
	for _, load := range comparedLoads() {
		o := find(all, policiesName(load)).outcome(name)
		mean, low, high := o.mean(f.column), o.mean(f.column), o.mean(f.column)
		for _, figures := range o.Figures {
			low, high = min(low, f.column.Get(figures)), max(high, f.column.Get(figures))
		}
		bounds = append(bounds, struct{ Low, High float64 }{mean - low, high - mean})
	}
	return bounds
}
