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
		Usage: "run one instance until it is signalled or drained",
		Description: `serve runs until SIGTERM or SIGINT, or until an operator drains the
instance. It then reports that it is not ready, hands its shards over, finishes the
requests in flight and exits. Further signals are ignored.

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
