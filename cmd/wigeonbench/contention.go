package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/bencher"
)

func contentionCommand() *cli.Command {
	return &cli.Command{
		Name:   "contention",
		Usage:  "compare policies of admission and order when capacity is insufficient",
		Action: contention,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "runs of each case, with seeds from 1; the figures are their means"},
		},
	}
}

func contention(_ context.Context, c *cli.Command) error {
	seeds := max(c.Int("seeds"), 1)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	var text strings.Builder
	fmt.Fprintln(&text, "Load\tAdmission\tOrder\tPrograms\tIn time\tLate\tRefused\tFailed\tValue\tUrgent kind\tWorst account\tWorst window\tTokens twice")
	for _, load := range []string{"Kinds", "Account", "Memory"} {
		for _, admission := range []string{"None", "MeanLoad", "MeanLoadTight", "Need", "Shares"} {
			for _, hasOrder := range []bool{false, true} {
				order := "Arrival"
				if hasOrder {
					order = "Slack"
				}
				var sum [10]float64
				for seed := range seeds {
					f := bencher.RunContention(bencher.ContentionCase{Admission: admission, HasOrder: hasOrder, Load: load, Seed: uint64(seed + 1)})
					for i, value := range []float64{float64(f.Programs), f.InTime, f.Late, f.Refused, f.Failed, f.Value, f.Urgent, f.WorstAccount, f.WorstWindow, f.TokensTwice} {
						sum[i] += value / float64(seeds)
					}
				}
				fmt.Fprintf(&text, "%s\t%s\t%s\t%.0f", load, admission, order, sum[0])
				for _, value := range sum[1:] {
					fmt.Fprintf(&text, "\t%.3f", value)
				}
				fmt.Fprintln(&text)
			}
		}
	}
	if _, err := io.WriteString(out, text.String()); err != nil {
		return err
	}
	return out.Flush()
}
