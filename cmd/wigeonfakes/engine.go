package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
)

func newEngineCmd(w io.Writer) *cli.Command {
	defaults := fakeengine.DefaultSettings()
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine that generates words",
		Description: `The engine batches continuously over a prefix cache in bounded memory. Its
tokens are words, and its output follows from the request's Seed: the first
word names the last message, the second the one before it.

It reports itself as leaving from SIGTERM on. With --ignore-fence it carries
out orders with an old fencing number. Beside the protocol it serves
GET /counts, GET and PUT /faults and PUT /leaving. The faults are {"Slow",
"Silent","Refuse","Drop","Cross","CutAfter","StallAfter","DropReports",
"LoseReleases","LoseOrders","Times"}.

Examples:

  wigeonfakes engine --listen 127.0.0.1:9200 --name engine-1 --model songbird
  wigeonfakes engine --listen 127.0.0.1:9201 --name engine-2 --model songbird \
    --slots 4 --token-time 45ms --cache-tokens 8192 --linger 10s
  curl -X PUT 127.0.0.1:9200/faults -d '{"CutAfter":5,"Times":1}'
  curl -X PUT 127.0.0.1:9200/leaving -d '{"Leaving":true}'`,
		Flags: serverFlags(
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "report itself as `NAME`"},
			&cli.StringSliceFlag{Name: "model", Usage: "have the model `NAME` loaded; may be repeated"},
			&cli.StringSliceFlag{Name: "adapter", Usage: "have the adapter `NAME` loaded; may be repeated"},
			&cli.BoolFlag{Name: "ignore-fence", Usage: "carry out orders with old fencing numbers"},
			&cli.IntFlag{Name: "slots", Value: defaults.Slots, Usage: "batch `N` generations"},
			&cli.DurationFlag{Name: "token-time", Value: defaults.TokenTime, Usage: "take `TIME` for a step of one generation"},
			&cli.DurationFlag{Name: "peer-time", Value: defaults.PeerTime, Usage: "add `TIME` to a step per further generation"},
			&cli.DurationFlag{Name: "prefill-time", Value: defaults.PrefillTime, Usage: "take `TIME` per token that is not cached"},
			&cli.IntFlag{Name: "prefill-chunk", Value: defaults.PrefillChunk, Usage: "prefill up to `N` tokens in a step"},
			&cli.IntFlag{Name: "block-tokens", Value: defaults.BlockTokens, Usage: "cache in blocks of `N` tokens"},
			&cli.IntFlag{Name: "cache-tokens", Value: defaults.CacheTokens, Usage: "cache up to `N` tokens"},
			&cli.IntFlag{Name: "output-tokens", Usage: "generate `N` tokens on average; 0 always generates the most allowed"},
			&cli.IntFlag{Name: "cancel-overshoot", Usage: "generate `N` tokens after a cancel"},
			&cli.DurationFlag{Name: "load-lag", Value: defaults.LoadLag, Usage: "let load reports lag by `TIME`"},
			&cli.DurationFlag{Name: "event-delay", Value: defaults.EventDelay, Usage: "let cache events be late by `TIME`"},
			&cli.FloatFlag{Name: "event-loss", Value: defaults.EventLoss, Usage: "lose this `SHARE` of cache events, 0 to 1"},
			&cli.DurationFlag{Name: "order-time", Value: defaults.OrderTime, Usage: "take `TIME` for an order"},
			&cli.DurationFlag{Name: "transfer-time", Value: defaults.TransferTime, Usage: "take `TIME` per exported or imported token"},
			&cli.DurationFlag{Name: "leaving-grace", Usage: "refuse generations from `TIME` after it is leaving; 0 never does"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "draw lost cache events with the seed `N`"},
		),
		Action: func(ctx context.Context, c *cli.Command) error { return runEngine(ctx, c, w) },
	}
}

func runEngine(ctx context.Context, c *cli.Command, w io.Writer) error {
	server, err := newServer(c)
	if err != nil {
		return err
	}
	log := newLogger(c, w).With("Fake", c.String("name"))
	options := []fakeengine.Option{
		fakeengine.WithLogger(log),
		fakeengine.WithSeed(c.Uint64("seed")),
		fakeengine.WithModels(c.StringSlice("model")...),
		fakeengine.WithAdapters(c.StringSlice("adapter")...),
		fakeengine.WithSettings(engineSettings(c)),
	}
	if c.Bool("ignore-fence") {
		options = append(options, fakeengine.WithoutFenceCheck())
	}
	engine := fakeengine.New(c.String("name"), options...)
	server.Stopping = func() { engine.SetLeaving(true) }
	// The engine outlives the signal, so that generations in flight finish.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		engine.Run(running)
	}()
	err = server.Serve(ctx, log, engine.Handler())
	stop()
	<-done
	return err
}

// engineSettings returns the settings that the flags describe.
func engineSettings(c *cli.Command) fakeengine.Settings {
	return fakeengine.Settings{
		Slots:           c.Int("slots"),
		TokenTime:       c.Duration("token-time"),
		PeerTime:        c.Duration("peer-time"),
		PrefillTime:     c.Duration("prefill-time"),
		PrefillChunk:    c.Int("prefill-chunk"),
		BlockTokens:     c.Int("block-tokens"),
		CacheTokens:     c.Int("cache-tokens"),
		OutputTokens:    c.Int("output-tokens"),
		CancelOvershoot: c.Int("cancel-overshoot"),
		LoadLag:         c.Duration("load-lag"),
		EventDelay:      c.Duration("event-delay"),
		EventLoss:       c.Float("event-loss"),
		OrderTime:       c.Duration("order-time"),
		TransferTime:    c.Duration("transfer-time"),
		LeavingGrace:    c.Duration("leaving-grace"),
	}
}
