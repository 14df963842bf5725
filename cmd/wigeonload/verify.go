package main

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/driver"
)

func newVerifyCmd(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "verify",
		Usage:     "compare a run's service calls with what the services have executed",
		ArgsUsage: "FILE",
		Description: `Programs that have ended must hold nothing of the engines' caches; give the
system the time to sweep before. Every call must have been executed at most once, an acknowledged one once,
and one refused as not run never. Name all replicas of each service that the
run has called. The exit status is 1 if a call was not.

Examples:

  wigeonload verify --service fees=http://127.0.0.1:9300 \
    --service fees=http://127.0.0.1:9301 --engine http://127.0.0.1:9200 run.json`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "service", Usage: "a replica's base URL, as `NAME=URL`; may be repeated"},
			&cli.StringSliceFlag{Name: "engine", Usage: "an engine's base `URL`; may be repeated"},
			&cli.StringFlag{Name: "ca", Usage: "trust the certificates in `FILE`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return verify(ctx, c, out) },
	}
}

func verify(ctx context.Context, c *cli.Command, out io.Writer) error {
	result, err := driver.ReadFile(c.Args().First())
	if err != nil {
		return err
	}
	client, err := newHTTPClient(c)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	counts, err := fetchCounts(ctx, c, client)
	if err != nil {
		return err
	}
	holdings, err := fetchHoldings(ctx, c, client)
	if err != nil {
		return err
	}
	var verification driver.Verification
	if len(counts) > 0 {
		verification = driver.Verify(result, counts)
	}
	return printVerification(out, verification, driver.VerifyHoldings(result, holdings))
}

// fetchCounts reads the counts of the services named.
func fetchCounts(ctx context.Context, c *cli.Command, client *http.Client) ([]driver.ServiceCounts, error) {
	var counts []driver.ServiceCounts
	for _, text := range c.StringSlice("service") {
		name, base, err := pair("service", text)
		if err != nil {
			return nil, err
		}
		page, err := driver.FetchCounts(ctx, client, base)
		if err != nil {
			return nil, err
		}
		counts = append(counts, driver.ServiceCounts{Service: name, Page: page})
	}
	return counts, nil
}

// fetchHoldings reads the holdings of the engines named.
func fetchHoldings(ctx context.Context, c *cli.Command, client *http.Client) ([]driver.EngineHoldings, error) {
	var holdings []driver.EngineHoldings
	for _, base := range c.StringSlice("engine") {
		report, err := driver.FetchHoldings(ctx, client, base)
		if err != nil {
			return nil, err
		}
		holdings = append(holdings, driver.EngineHoldings{Engine: base, Report: report})
	}
	return holdings, nil
}

// printVerification prints the comparison; it is an error if there are faults.
func printVerification(out io.Writer, v driver.Verification, held []string) error {
	_, err := fmt.Fprintf(out, "%d calls, %d acknowledged, %d executed once, %d unsettled, %d faults; %d holdings of ended programs\n",
		v.Calls, v.Acknowledged, v.Executed, v.Unsettled, len(v.Faults), len(held))
	for _, fault := range append(v.Faults, held...) {
		_, _ = fmt.Fprintln(out, " ", fault)
	}
	if n := len(v.Faults) + len(held); n > 0 {
		return eris.Errorf("%d faults", n)
	}
	return eris.Wrap(err, "print the comparison")
}
