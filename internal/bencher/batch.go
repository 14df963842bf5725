package bencher

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Batch runs experiments and writes their results.
type Batch struct {
	// Seeds is the number of runs of each case, Parallel that of runs at a time.
	Seeds    int
	Parallel int
	// Only names the experiments to run; all if it is empty.
	Only []string
	// Cases keeps the cases whose name ends with one of these; all if it is empty.
	Cases []string
	// Out is the folder of the pages; nothing is written if it is empty.
	Out string
	// Progress gets each table as soon as it is known.
	Progress io.Writer
}

// Run runs the batch. Pages are written only for a batch of all experiments.
func (b Batch) Run(ctx context.Context) error {
	if b.Seeds < 1 || b.Parallel < 1 {
		return eris.New("seeds and parallel must be at least 1")
	}
	selected, err := b.selected()
	if err != nil {
		return err
	}
	var all []Results
	known := &memo{figures: make(map[string]Figures)}
	for _, e := range selected {
		r, err := runExperiment(ctx, e, b.Seeds, b.Parallel, known)
		if err != nil {
			return eris.Wrapf(err, "experiment %s", e.Name)
		}
		all = append(all, r)
		if err := b.print(r); err != nil {
			return eris.Wrap(err, "write table")
		}
	}
	if b.Out == "" {
		return nil
	}
	return writePages(b, all)
}

// print writes one experiment's table to Progress.
func (b Batch) print(r Results) error {
	if _, err := fmt.Fprintf(b.Progress, "%s (%s)\n\n", r.Experiment.Title, r.Experiment.Name); err != nil {
		return err
	}
	if err := WriteTable(b.Progress, r); err != nil {
		return err
	}
	_, err := fmt.Fprintln(b.Progress)
	return err
}

func (b Batch) selected() ([]Experiment, error) {
	all := Experiments()
	if b.Out != "" && len(b.Only)+len(b.Cases) > 0 {
		return nil, eris.New("pages need all experiments: give either out or a selection")
	}
	for i := range all {
		all[i].Cases = slices.DeleteFunc(all[i].Cases, func(c Case) bool { return !b.keeps(c) })
	}
	if len(b.Only) == 0 {
		return all, nil
	}
	var selected []Experiment
	for _, name := range b.Only {
		i := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
		if i < 0 {
			return nil, eris.Errorf("unknown experiment %q", name)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

func (b Batch) keeps(c Case) bool {
	if len(b.Cases) == 0 {
		return true
	}
	return slices.ContainsFunc(b.Cases, func(end string) bool { return strings.HasSuffix(c.Name, end) })
}
