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
		Description: `Every call must have been executed at most once, an acknowledged one once,
and one refused as not run never. Name all replicas of each service that the
run has called. The exit status is 1 if a call was not.

Examples:

  wigeonload verify --service fees=http://127.0.0.1:9300 \
    --service fees=http://127.0.0.1:9301 run.json`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "service", Required: true, Usage: "a replica's base URL, as `NAME=URL`; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return verify(ctx, c, out) },
	}
}

func verify(ctx context.Context, c *cli.Command, out io.Writer) error {
	result, err := driver.ReadFile(c.Args().First())
	if err != nil {
		return err
	}
	var counts []driver.ServiceCounts
	for _, text := range c.StringSlice("service") {
		name, base, err := pair("service", text)
		if err != nil {
			return err
		}
		page, err := driver.FetchCounts(ctx, http.DefaultClient, base)
		if err != nil {
			return err
		}
		counts = append(counts, driver.ServiceCounts{Service: name, Page: page})
	}
	return printVerification(out, driver.Verify(result, counts))
}

// printVerification prints the comparison; it is an error if there are faults.
func printVerification(out io.Writer, v driver.Verification) error {
	_, err := fmt.Fprintf(out, "%d calls, %d acknowledged, %d executed once, %d unsettled, %d faults\n",
		v.Calls, v.Acknowledged, v.Executed, v.Unsettled, len(v.Faults))
	for _, fault := range v.Faults {
		_, _ = fmt.Fprintln(out, " ", fault)
	}
	if len(v.Faults) > 0 {
		return eris.Errorf("%d calls broke their promise", len(v.Faults))
	}
	return eris.Wrap(err, "print the comparison")
}
