package bencher

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// Batch runs experiments and writes their results.
type Batch struct {
	// Seeds is the number of runs of each case, Parallel that of runs at a time.
	Seeds    int
	Parallel int
	// Only names the experiments to run; all if it is empty.
	Only []string
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
	for _, e := range selected {
		r, err := RunExperiment(ctx, e, b.Seeds, b.Parallel)
		if err != nil {
			return eris.Wrapf(err, "experiment %s", e.Name)
		}
		all = append(all, r)
		fmt.Fprintf(b.Progress, "%s (%s)\n\n", e.Title, e.Name)
		if err := WriteTable(b.Progress, r); err != nil {
			return eris.Wrap(err, "write table")
		}
		fmt.Fprintln(b.Progress)
	}
	if b.Out == "" {
		return nil
	}
	return writePages(b, all)
}

func (b Batch) selected() ([]Experiment, error) {
	all := Experiments()
	if len(b.Only) == 0 {
		return all, nil
	}
	if b.Out != "" {
		return nil, eris.New("pages need all experiments: give either out or experiment")
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
