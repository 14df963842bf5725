package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/configurer"
)

func newCheckCmd() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate a settings file",
		Description: `check reports all errors in the file, each with its line and column.

Example:
  wigeonstand check -f ee-tln-1.yaml`,
		Flags: []cli.Flag{settingsFileFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			settings, err := configurer.Load(c.String("file"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "%s: settings of instance %s are valid\n", c.String("file"), settings.Instance)
			return err
		},
	}
}
