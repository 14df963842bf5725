// Command wigeonsoak runs the fault soak on real processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/soaker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCmd().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newRootCmd() *cli.Command {
	return &cli.Command{
		Name:  "wigeonsoak",
		Usage: "run real entries before stand-ins, inject faults and check the promises",
		Description: `Each seed draws its own schedule of faults. The logs of a run stay in its folder.
Exits with 1 if a promise was broken.

Examples:
  wigeonsoak --seed 1
  wigeonsoak --seed 100 --seeds 50 --length 10s`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "bin/wigeonstand", Usage: "the program to run"},
			&cli.StringFlag{Name: "other-binary", Usage: "the program of every second instance, such as an earlier build"},
			&cli.StringFlag{Name: "folder", Value: "run/soak", Usage: "where logs and settings are written"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds"},
			&cli.DurationFlag{Name: "length", Value: 15 * time.Second, Usage: "how long callers and faults go on in each run"},
			&cli.IntFlag{Name: "instances", Value: 4},
			&cli.IntFlag{Name: "engines", Value: 3},
			&cli.IntFlag{Name: "services", Value: 3},
			&cli.IntFlag{Name: "callers", Value: 12},
			&cli.BoolFlag{Name: "calm", Usage: "inject no faults"},
			&cli.BoolFlag{Name: "planned-only", Usage: "inject planned stops, configurations and releases alone"},
			&cli.BoolFlag{Name: "losses", Usage: "play losses of all instances, of which some stay away, with accounts that have quotas; the day has its own length, and up to --instances"},
			&cli.BoolFlag{Name: "http10", Value: true, Usage: "let some callers speak HTTP/1.0"},
			&cli.BoolFlag{Name: "version-mix", Value: true, Usage: "run endpoints of several software versions"},
			&cli.BoolFlag{Name: "event-numbering", Value: true, Usage: "draw how events are numbered, in place of 1, 2, 3"},
			&cli.StringFlag{Name: "profile", Usage: "the numbers and times of a deployment: laulukaar-stand"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	failed := 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		config := soaker.Config{
			Binary: c.String("binary"), OtherBinary: c.String("other-binary"), Folder: filepath.Join(c.String("folder"), fmt.Sprint(seed)), Seed: seed,
			Length: c.Duration("length"), Instances: c.Int("instances"), Engines: c.Int("engines"),
			Services: c.Int("services"), Callers: c.Int("callers"), Calm: c.Bool("calm"),
			PlannedOnly: c.Bool("planned-only"), Losses: c.Bool("losses"), NoHTTP10: !c.Bool("http10"), SingleVersion: !c.Bool("version-mix"),
			CountsFromOne: !c.Bool("event-numbering"),
		}
		if name := c.String("profile"); name != "" {
			if err := config.Apply(name); err != nil {
				return err
			}
		}
		report, err := soaker.Run(ctx, config)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		show(report)
		if len(report.Violations) > 0 {
			failed++
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	fmt.Printf("%d seeds, %d failed\n", c.Int("seeds"), failed)
	if failed > 0 {
		return cli.Exit("", 1)
	}
	return nil
}

func show(r soaker.Report) {
	fmt.Printf("seed %d: %d violations\n", r.Seed, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	for _, part := range []struct {
		name   string
		counts map[string]int
	}{{"faults", r.Faults}, {"answers", r.Answers}, {"checks", r.Checks}} {
		names := make([]string, 0, len(part.counts))
		for name := range part.counts {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Printf("   %s:", part.name)
		for _, name := range names {
			fmt.Printf(" %s %d;", name, part.counts[name])
		}
		fmt.Println()
	}
}
