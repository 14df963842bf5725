package main

import (
	"io"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const defaultGrace = 30 * time.Second

// newRootCmd returns the command line; stand-ins log to w.
func newRootCmd(w io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "wigeonfakes",
		Usage: "run stand-ins for the platform, model engines and plain services",
		Description: `Each subcommand runs one stand-in as one process until it gets SIGTERM or
SIGINT, then lets the requests in flight finish. Every stand-in serves
GET and PUT /faults to read and set its faults, and POST /silence, which
makes all connections open at that moment silent for good while new ones work.

Examples:

  wigeonfakes platform --listen 127.0.0.1:9100
  wigeonfakes engine --listen 127.0.0.1:9200 --name engine-1 --model songbird
  wigeonfakes service --listen 127.0.0.1:9300 --name fees
  curl -X PUT 127.0.0.1:9100/faults -d '{"Outage":true}'
  curl -X POST 127.0.0.1:9200/silence`,
		Commands: []*cli.Command{newPlatformCmd(w), newEngineCmd(w), newServiceCmd(w)},
	}
}

// serverFlags returns the flags that every stand-in takes, and those given.
func serverFlags(own ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "listen", Required: true, Usage: "serve at `ADDRESS`, an IP number and port"},
		&cli.StringFlag{Name: "cert", Usage: "serve TLS with the certificate in `FILE`"},
		&cli.StringFlag{Name: "key", Usage: "the certificate's private key is in `FILE`"},
		&cli.DurationFlag{Name: "linger", Usage: "still take new requests for `TIME` after SIGTERM"},
		&cli.DurationFlag{Name: "grace", Value: defaultGrace, Usage: "then wait up to `TIME` for requests in flight"},
		&cli.BoolFlag{Name: "log-json", Usage: "log JSON in place of text"},
	}
	return append(flags, own...)
}

// newServer returns the server that the flags describe.
func newServer(c *cli.Command) (faker.Server, error) {
	address, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return faker.Server{}, eris.Wrap(err, "--listen")
	}
	return faker.Server{
		Address:     address,
		Certificate: c.String("cert"),
		Key:         c.String("key"),
		Linger:      c.Duration("linger"),
		Grace:       c.Duration("grace"),
	}, nil
}

// newLogger returns the logger that the flags describe.
func newLogger(c *cli.Command, w io.Writer) *logger.Logger {
	if c.Bool("log-json") {
		return logger.New(w, logger.WithJSON())
	}
	return logger.New(w)
}
