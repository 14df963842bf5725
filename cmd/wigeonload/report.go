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
together are written into the directory.

Examples:

  wigeonload report run.json
  wigeonload report --plots plots run.json direct.json`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: "plots", Usage: "write SVG plots into `DIR`"}},
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
	return plots(c.String("plots"), out, results)
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
