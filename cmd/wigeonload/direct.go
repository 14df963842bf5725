package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/driver"
)

func newDirectCmd(out, log io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "direct",
		Usage: "make the same load on engines and services without a scheduler",
		Description: `With the same --seed, --mix and --duration as a run, the same programs
arrive at the same times, so that the difference is what the scheduler adds or
saves. Each program stays on one engine. Nothing is sent again.

Examples:

  wigeonload direct --engine http://127.0.0.1:9200 --engine http://127.0.0.1:9201 \
    --model songbird --mix songs=5 --out direct.json
  wigeonload direct --engine http://127.0.0.1:9200 --model songbird \
    --service fees=http://127.0.0.1:9300 --mix songs=1,fees=2`,
		Flags: loadFlags(
			&cli.StringSliceFlag{Name: "engine", Required: true, Usage: "generate at the base `URL`; may be repeated"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "generate with the model `NAME`"},
			&cli.StringFlag{Name: "instructions", Usage: "begin every prompt with `TEXT`"},
			&cli.StringSliceFlag{Name: "service", Usage: "a service's base URL, as `NAME=URL`; may be repeated"},
		),
		Action: func(ctx context.Context, c *cli.Command) error { return runDirect(ctx, c, out, log) },
	}
}

func runDirect(ctx context.Context, c *cli.Command, out, log io.Writer) error {
	options, err := driverOptions(c, log)
	if err != nil {
		return err
	}
	client, err := newHTTPClient(c)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	direct := []driver.DirectOption{
		driver.WithDirectHTTPClient(client),
		driver.WithInstructions(c.String("instructions")),
	}
	for _, text := range c.StringSlice("service") {
		name, base, err := pair("service", text)
		if err != nil {
			return err
		}
		direct = append(direct, driver.WithService(name, base))
	}
	target := driver.NewDirect(c.StringSlice("engine"), c.String("model"), direct...)
	targets := map[string]driver.Target{}
	for _, m := range driver.Mixes() {
		targets[m.Business] = target
	}
	return finish(c, out, "direct", driver.New(targets, options...).Run(ctx))
}
