package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

func newEventsCmd() *cli.Command {
	return &cli.Command{
		Name:  "events",
		Usage: "print the catalogue of log events",
		Description: `events prints all numbered log events as a table in Markdown. docs/EVENTS.md
is generated from it.

Example:
  wigeonstand events`,
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprint(c.Root().Writer, logger.Catalogue())
			return err
		},
	}
}
