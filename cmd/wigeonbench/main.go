// Command wigeonbench measures the scheduling policy and the placement on a virtual clock and
// writes the figures and plots into the documentation.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/bencher"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wigeonbench:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "wigeonbench",
		Usage: "measure the scheduling policy",
		Commands: []*cli.Command{{
			Name:   "load",
			Usage:  "compare placements under loads that are known late",
			Action: load,
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "seeds", Value: 1, Usage: "runs of each case, with seeds from 1"},
				&cli.IntFlag{Name: "parallel", Value: 3, Usage: "runs at a time"},
				&cli.StringFlag{Name: "case", Usage: "part of the titles of the tables to print; all if it is empty"},
				&cli.StringFlag{Name: "out", Usage: "folder of MEASUREMENTS.md and plots; empty prints the tables only"},
			},
		}, {
			Name:   "policy",
			Usage:  "run the policy experiments",
			Action: policy,
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "seeds", Value: 5, Usage: "runs of each case, with seeds from 1"},
				&cli.IntFlag{Name: "parallel", Value: 3, Usage: "runs at a time"},
				&cli.StringFlag{Name: "out", Usage: "folder for MEASUREMENTS.md and plots; empty prints the tables only"},
				&cli.StringSliceFlag{Name: "experiment", Usage: "names of the experiments to run; all if none is given"},
				&cli.StringSliceFlag{Name: "case", Usage: "ends of the names of the cases to run; all if none is given"},
			},
		}, contentionCommand()},
	}
}

func policy(ctx context.Context, c *cli.Command) error {
	b := bencher.Batch{
		Seeds:    c.Int("seeds"),
		Parallel: c.Int("parallel"),
		Only:     c.StringSlice("experiment"),
		Cases:    c.StringSlice("case"),
		Out:      c.String("out"),
		Progress: os.Stdout,
	}
	return b.Run(ctx)
}

func load(ctx context.Context, c *cli.Command) error {
	b := bencher.EvenBatch{Seeds: c.Int("seeds"), Parallel: c.Int("parallel"), Only: c.String("case"), Out: c.String("out"), Progress: os.Stdout}
	return b.Run(ctx)
}
