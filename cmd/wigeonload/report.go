package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/driver"
)

func newReportCmd(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "print results as a table and plot them",
		ArgsUsage: "FILE...",
		Description: `Each result is named after its file. With --plots, SVG plots of all results
together are written into the directory. With --pair, two results of the same
seed, both made with --samples, are compared turn by turn: what the second
took less what the first took.

Examples:

  wigeonload report run.json
  wigeonload report --plots plots run.json direct.json
  wigeonload report --pair direct.json run.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plots", Usage: "write SVG plots into `DIR`"},
			&cli.BoolFlag{Name: "pair", Usage: "compare two results turn by turn"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return report(c, out) },
	}
}

func report(c *cli.Command, out io.Writer) error {
	var results []driver.Named
	for _, file := range c.Args().Slice() {
		result, err := driver.ReadFile(file)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		results = append(results, driver.Named{Name: name, Result: result})
	}
	if len(results) == 0 {
		return eris.New("name at least one result")
	}
	if err := driver.WriteTable(out, results...); err != nil {
		return err
	}
	if err := pairs(c.Bool("pair"), out, results); err != nil {
		return err
	}
	return plots(c.String("plots"), out, results)
}

// pairs prints the differences of two results, if that is asked for.
func pairs(asked bool, out io.Writer, results []driver.Named) error {
	if !asked {
		return nil
	}
	if len(results) != 2 {
		return eris.New("--pair takes two results")
	}
	differences := driver.Pair(results[0].Result, results[1].Result)
	if len(differences) == 0 {
		return eris.New("--pair: the results have no turn in common; were they made with --samples and one seed?")
	}
	if _, err := fmt.Fprintf(out, "\n%s less %s:\n", results[1].Name, results[0].Name); err != nil {
		return eris.Wrap(err, "print the differences")
	}
	return driver.WritePairs(out, differences)
}

// plots writes the plots into the directory, if one is named.
func plots(dir string, out io.Writer, results []driver.Named) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "--plots")
	}
	paths, err := driver.WritePlots(dir, results...)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "\nplots: %s\n", strings.Join(paths, " "))
	return eris.Wrap(err, "print the plots")
}
