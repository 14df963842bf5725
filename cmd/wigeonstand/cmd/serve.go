package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/assembler"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
)

func newServeCmd() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance until it is told to stop",
		Description: `serve runs until SIGTERM or SIGINT. It then reports that it is not
ready, finishes what is in flight, hands its shards over and ends. A second
signal ends it at once and logs what was cut.

Example:
  wigeonstand serve -f ee-tln-1.yaml`,
		Flags: []cli.Flag{settingsFileFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := configurer.Load(c.String("file"))
			if err != nil {
				return err
			}
			return assembler.Run(ctx, settings, c.Root().ErrWriter)
		},
	}
}
