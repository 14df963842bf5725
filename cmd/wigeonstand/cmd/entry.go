package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/composer"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
	"github.com/wigeonstand/wigeonstand/platform"
)

func newEntryCmd() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run one instance on the users' platform until it is told to stop",
		Description: `entry serves callers in front of the platform's endpoints. The operators'
configuration and the registrations of endpoints come from the platform's store,
and what must last is kept there. SIGTERM stops it within the grace period;
SIGHUP makes it read its settings anew and report faults in them.

Example:
  wigeonstand entry -f /etc/wigeonstand/node.yaml`,
		Flags: []cli.Flag{settingsFileFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			file := c.String("file")
			settings, err := configurer.LoadEntry(file)
			if err != nil {
				return err
			}
			store := platform.NewStore(settings.StoreAddress)
			defer store.Close()
			entry, err := composer.New(settings, composer.Platform{
				Rows: store, Dialect: platform.Dialect{}, Source: watcher.Source{
					ConfigurationKey: storer.RowKey{Table: platform.TableConfiguration, Name: platform.KeyConfiguration},
					EndpointTable:    platform.TableEndpoints,
					DecodeTable:      platform.DecodeConfiguration, DecodeEndpoint: platform.DecodeEndpoint,
				},
			}, c.Root().Writer)
			if err != nil {
				return err
			}
			return entry.Run(ctx, hangupSignals(ctx), func() error {
				_, err := configurer.LoadEntry(file)
				return err
			})
		},
	}
}

// hangupSignals passes on each SIGHUP until ctx ends.
func hangupSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case <-ctx.Done():
				return
			case out <- struct{}{}:
			}
		}
	}()
	return out
}
