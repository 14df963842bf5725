package main

import (
	"context"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/driver"
)

func newRunCmd(out, log io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "make load on entry instances",
		Description: `Requests go to the entry instances in turn. Only a refusal that says NotRun
is sent again; with --resend also what was cut, has failed or may have run,
with the same key, as a caller does that wants the outcome.

The exit status is 1 if an answer broke what must always hold.

Examples:

  wigeonload run --entry http://127.0.0.1:8080 --entry http://127.0.0.1:8081 \
    --key laulukaar=K1 --key binfold=K2 --mix songs=5,trims=0.5,fees=2 --duration 60s
  wigeonload run --entry http://127.0.0.1:8080 --key laulukaar=K1 --mix fees=20 \
    --resend --out fees.json`,
		Flags: loadFlags(
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "send to the base `URL`; may be repeated"},
			&cli.StringSliceFlag{Name: "key", Usage: "a business's bearer key, as `BUSINESS=KEY`; may be repeated"},
			&cli.BoolFlag{Name: "resend", Usage: "send again with the same key also what may have run"},
			&cli.IntFlag{Name: "attempts", Value: 8, Usage: "make up to `N` attempts at a request"},
		),
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, out, log) },
	}
}

func run(ctx context.Context, c *cli.Command, out, log io.Writer) error {
	options, err := driverOptions(c, log)
	if err != nil {
		return err
	}
	client, err := newHTTPClient(c)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	targets, err := entryTargets(c, client)
	if err != nil {
		return err
	}
	return finish(c, out, "run", driver.New(targets, options...).Run(ctx))
}

// entryTargets returns a client for each business; one without a key gets an
// empty one and is refused.
func entryTargets(c *cli.Command, client *http.Client) (map[string]driver.Target, error) {
	options := []driver.ClientOption{driver.WithHTTPClient(client), driver.WithAttempts(c.Int("attempts"))}
	if c.Bool("resend") {
		options = append(options, driver.WithResend())
	}
	keys := map[string]string{}
	for _, m := range driver.Mixes() {
		keys[m.Business] = ""
	}
	for _, text := range c.StringSlice("key") {
		business, key, err := pair("key", text)
		if err != nil {
			return nil, err
		}
		keys[business] = key
	}
	targets := map[string]driver.Target{}
	for business, key := range keys {
		targets[business] = driver.NewClient(c.StringSlice("entry"), key, options...)
	}
	return targets, nil
}
