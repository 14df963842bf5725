package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/composer"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/starter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/trapper"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
	"github.com/wigeonstand/wigeonstand/platform"
)

const firstStartFlag = "first-start"

func newEntryCmd() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run one instance on the users' platform until it is signalled",
		Description: `entry routes callers' requests to the platform's endpoints. The operators'
configuration and the registrations of endpoints are read from the platform's store,
which also keeps durable state. SIGTERM stops the instance within the grace period.
SIGHUP makes it read the settings file again and log errors in it.

--first-start is not a setting, as the settings file may be read by instances of an earlier
version, too, which reject settings that they don't know.

Example:
  wigeonstand entry -f /etc/wigeonstand/node.yaml`,
		Flags: []cli.Flag{
			settingsFileFlag(),
			&cli.BoolFlag{
				Name: firstStartFlag, Sources: cli.EnvVars("WIGEONSTAND_FIRST_START"),
				Usage: "the whole deployment starts for the first time: no instance ran before",
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			hangups := trapper.Hangups(ctx)
			log := logger.New(c.Root().Writer, logger.WithJSON(), logger.WithMilliseconds())
			err := runEntry(ctx, c, log, hangups)
			if err != nil {
				composer.LogFailure(log, err)
			}
			return err
		},
	}
}

// runEntry runs an entry. It logs to log what precedes the entry's own log.
func runEntry(ctx context.Context, c *cli.Command, log *logger.Logger, hangups <-chan struct{}) error {
	file := c.String("file")
	var settings *configurer.EntrySettings
	err := starter.New(log).Do(ctx, "settings", func() error {
		loaded, replaced, err := configurer.StartEntry(file)
		if err != nil {
			return err
		}
		if err := replaced.Err(); err != nil {
			composer.LogReplacedSettings(log, err)
		}
		settings = loaded
		return nil
	})
	switch {
	case ctx.Err() != nil:
		return nil // It was stopped before it had its settings.
	case err != nil:
		return err
	}
	store := platform.NewStore(settings.StoreAddress, platform.WithResponseMemory(composer.StoreMemory(settings)))
	defer store.Close()
	var options []composer.Option
	if c.Bool(firstStartFlag) {
		options = append(options, composer.WithFirstStart())
	}
	entry, err := composer.New(settings, composer.Platform{
		Rows: store, Dialect: platform.Dialect{}, Source: watcher.Source{
			ConfigurationKey: storer.RowKey{Table: platform.TableConfiguration, Name: platform.KeyConfiguration},
			EndpointTable:    platform.TableEndpoints,
			DecodeTable:      platform.DecodeConfiguration, DecodeEndpoint: platform.DecodeEndpoint,
		},
	}, c.Root().Writer, options...)
	if err != nil {
		return err
	}
	return entry.Run(ctx, hangups, func() error {
		_, err := configurer.LoadEntry(file)
		return err
	})
}
