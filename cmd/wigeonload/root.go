package main

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/driver"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const (
	// idleConnections is kept per host, so that an open loop seldom dials.
	idleConnections = 4096
	dialTimeout     = 5 * time.Second
	// idleTimeout is shorter than a stopping instance leaves idle connections open.
	idleTimeout = 3 * time.Second
)

// newRootCmd returns the command line; results go to out, logs to log.
func newRootCmd(out, log io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "wigeonload",
		Usage: "make load on the scheduler, check the answers and measure",
		Description: `Programs arrive in an open loop: their times do not depend on answers, and
latencies count from when a request was due. Every answer is checked: that it
is whole, that it belongs to its request, that histories are what was received.

Mixes: songs, editors, trays, trims (with sub-agents), fees (service calls).
The agents are named as the mixes and belong to laulukaar (songs, editors) and
binfold (trays, trims); the services are "fees" and "dockets".

Examples:

  wigeonload run --entry http://127.0.0.1:8080 --key laulukaar=K1 --mix songs=5 --out run.json
  wigeonload direct --engine http://127.0.0.1:9200 --model songbird --mix songs=5 --out direct.json
  wigeonload report --plots plots run.json direct.json
  wigeonload verify --service fees=http://127.0.0.1:9300 --engine http://127.0.0.1:9200 run.json`,
		Commands: []*cli.Command{newRunCmd(out, log), newDirectCmd(out, log), newReportCmd(out), newVerifyCmd(out)},
	}
}

// loadFlags returns the flags of the commands that make load, and those given.
func loadFlags(own ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "mix", Value: "songs=1", Usage: "programs per second by mix, as `NAME=RATE,...`"},
		&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "let programs arrive for `TIME`"},
		&cli.DurationFlag{Name: "drain", Value: 2 * time.Minute, Usage: "then wait up to `TIME` for programs under way"},
		&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "wait up to `TIME` for an answer, retries included"},
		&cli.FloatFlag{Name: "pauses", Value: 1, Usage: "multiply the pauses between turns by `FACTOR`"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "draw arrivals and programs with the seed `N`"},
		&cli.StringFlag{Name: "run", Usage: "begin all keys with `NAME`; a new one by default"},
		&cli.IntFlag{Name: "programs", Usage: "let at most `N` programs of each mix arrive; 0 for no bound"},
		&cli.BoolFlag{Name: "samples", Usage: "keep the latency of every turn, for report --pair"},
		&cli.BoolFlag{Name: "no-echo", Usage: "drop the checks that need the stand-in engine"},
		&cli.StringFlag{Name: "ca", Usage: "trust the certificates in `FILE`"},
		&cli.StringFlag{Name: "out", Usage: "write the result to `FILE` as JSON"},
		&cli.BoolFlag{Name: "json", Usage: "print the result as JSON in place of a table"},
	}
	return append(flags, own...)
}

// driverOptions returns the options that the flags describe.
func driverOptions(c *cli.Command, log io.Writer) ([]driver.Option, error) {
	mixes, err := driver.ParseMixes(c.String("mix"))
	if err != nil {
		return nil, err
	}
	for i := range mixes {
		mixes[i].Limit = c.Int("programs")
	}
	options := []driver.Option{
		driver.WithMixes(mixes...),
		driver.WithDuration(c.Duration("duration")),
		driver.WithDrain(c.Duration("drain")),
		driver.WithTimeout(c.Duration("timeout")),
		driver.WithPauses(c.Float("pauses")),
		driver.WithSeed(c.Uint64("seed")),
		driver.WithLogger(logger.New(log)),
	}
	if c.String("run") != "" {
		options = append(options, driver.WithRun(c.String("run")))
	}
	if c.Bool("samples") {
		options = append(options, driver.WithSamples())
	}
	if c.Bool("no-echo") {
		options = append(options, driver.WithoutEcho())
	}
	return options, nil
}

// newHTTPClient returns a client for many requests at once.
func newHTTPClient(c *cli.Command) (*http.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = idleConnections
	transport.TLSHandshakeTimeout = dialTimeout
	transport.IdleConnTimeout = idleTimeout
	if file := c.String("ca"); file != "" {
		pool := x509.NewCertPool()
		pem, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "--ca")
		}
		if !pool.AppendCertsFromPEM(pem) {
			return nil, eris.Errorf("--ca: %s holds no certificate", file)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &http.Client{Transport: transport}, nil
}

// finish keeps and prints the result; it is an error if there are violations.
func finish(c *cli.Command, out io.Writer, name string, result driver.Result) error {
	if file := c.String("out"); file != "" {
		if err := result.WriteFile(file); err != nil {
			return err
		}
	}
	if err := printResult(c, out, name, result); err != nil {
		return err
	}
	if result.ViolationCount > 0 {
		return eris.Errorf("%d violations", result.ViolationCount)
	}
	return nil
}

func printResult(c *cli.Command, out io.Writer, name string, result driver.Result) error {
	if c.Bool("json") {
		return result.Write(out)
	}
	return driver.WriteTable(out, driver.Named{Name: name, Result: result})
}

// pair splits NAME=VALUE.
func pair(flag, text string) (name, value string, err error) {
	name, value, ok := strings.Cut(text, "=")
	if !ok || name == "" || value == "" {
		return "", "", eris.Errorf("--%s: %q is not NAME=VALUE", flag, text)
	}
	return name, value, nil
}
