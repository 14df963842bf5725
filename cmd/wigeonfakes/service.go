package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
)

func newServiceCmd(w io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a plain service that counts executions",
		Description: `Any request but those below is executed, counted and echoed. Requests are
told apart by key, method, path and body; the key is the Idempotency-Key
header, else the Wigeonstand-Key header, else the Key field of a JSON body.

It serves GET /counts, GET /status?Key=K, which answers {"State":"Done"} with
the recorded answer, or 404 and {"State":"Absent"}, PUT /leaving, after which
requests are refused, and GET and PUT /faults. The faults are {"Refuse","Fail",
"CloseBefore","CloseAfter","HangBefore","HangAfter","Delay","Times"}.

Examples:

  wigeonfakes service --listen 127.0.0.1:9300 --name fees
  wigeonfakes service --listen 127.0.0.1:9301 --name dockets --honour-key
  curl -X POST 127.0.0.1:9300/postings -d '{"Key":"p-1","Cents":250}'
  curl -X PUT 127.0.0.1:9300/faults -d '{"CloseAfter":true,"Times":1}'
  curl 127.0.0.1:9300/counts`,
		Flags: serverFlags(
			&cli.StringFlag{Name: "name", Value: "service", Usage: "log as `NAME`"},
			&cli.DurationFlag{Name: "delay", Usage: "take `TIME` for an execution"},
			&cli.BoolFlag{Name: "honour-key", Usage: "execute a repeated key once"},
		),
		Action: func(ctx context.Context, c *cli.Command) error { return runService(ctx, c, w) },
	}
}

func runService(ctx context.Context, c *cli.Command, w io.Writer) error {
	server, err := newServer(c)
	if err != nil {
		return err
	}
	log := newLogger(c, w).With("Fake", c.String("name"))
	options := []fakeservice.Option{
		fakeservice.WithLogger(log),
		fakeservice.WithFaults(fakeservice.Faults{Delay: c.Duration("delay")}),
	}
	if c.Bool("honour-key") {
		options = append(options, fakeservice.WithDeduplication())
	}
	service := fakeservice.New(c.String("name"), options...)
	server.Stopping = func() { service.SetLeaving(true) }
	return server.Serve(ctx, log, service.Handler())
}
