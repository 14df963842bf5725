package main

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// The platform's usual rates, in requests per second.
const (
	defaultWriteRate = 400
	defaultReadRate  = 2000
)

func newPlatformCmd(w io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a table service, an object store and a list of instances in memory",
		Description: `Rows and objects are kept in memory and are gone when the process ends.
Requests over a rate are answered 429 and are not run. A write whose answer
is lost takes effect and has its connection closed.

The faults are {"Outage","Silent","Delay","LoseAnswers","ListLag"}; times are
in nanoseconds. They can be set even during an outage.

Examples:

  wigeonfakes platform --listen 127.0.0.1:9100 --bearer secret
  wigeonfakes platform --listen 127.0.0.1:9100 --lose-answers 0.01 --delay 5ms
  curl -X PUT -H 'Authorization: Bearer secret' 127.0.0.1:9100/faults \
    -d '{"LoseAnswers":0.2}'
  curl -X POST -H 'Authorization: Bearer secret' 127.0.0.1:9100/instances \
    -d '{"Instance":"i-1","Address":"127.0.0.1:7001","DataCentre":"ee-tln"}'`,
		Flags: serverFlags(
			&cli.StringFlag{Name: "bearer", Usage: "ask callers for this bearer `KEY`"},
			&cli.IntFlag{Name: "write-rate", Value: defaultWriteRate, Usage: "take `N` writes a second"},
			&cli.IntFlag{Name: "read-rate", Value: defaultReadRate, Usage: "take `N` reads a second"},
			&cli.DurationFlag{Name: "delay", Usage: "add `TIME` to every answer"},
			&cli.FloatFlag{Name: "lose-answers", Usage: "lose this `SHARE` of the answers to writes, 0 to 1"},
			&cli.DurationFlag{Name: "lateness", Usage: "let writes with a lost answer take effect after `TIME`"},
			&cli.DurationFlag{Name: "list-lag", Value: 2 * time.Second, Usage: "let the list of instances lag by `TIME`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "draw lost answers with the seed `N`"},
		),
		Action: func(ctx context.Context, c *cli.Command) error { return runPlatform(ctx, c, w) },
	}
}

func runPlatform(ctx context.Context, c *cli.Command, w io.Writer) error {
	server, err := newServer(c)
	if err != nil {
		return err
	}
	log := newLogger(c, w).With("Fake", "platform")
	platform := fakeplatform.New(
		fakeplatform.WithLogger(log),
		fakeplatform.WithSeed(c.Uint64("seed")),
		fakeplatform.WithWriteRate(c.Int("write-rate"), c.Int("write-rate")),
		fakeplatform.WithReadRate(c.Int("read-rate"), c.Int("read-rate")),
		fakeplatform.WithLateness(c.Duration("lateness")),
		fakeplatform.WithFaults(storer.Faults{
			Delay:       c.Duration("delay"),
			LoseAnswers: c.Float("lose-answers"),
			ListLag:     c.Duration("list-lag"),
		}),
	)
	return server.Serve(ctx, log, platform.Handler(c.String("bearer")))
}
