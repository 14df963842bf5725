package main

import (
	"context"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const diffHelp = `Prints the change from one version to another, or to the newest one, as a unified
diff.

Examples:

   wigeonctl diff 40 41
   wigeonctl diff 40`

func newDiffCmd() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show the change between two versions", ArgsUsage: "FROM [TO]",
		Description: diffHelp,
		Action:      diff,
	}
}

func diff(ctx context.Context, cmd *cli.Command) error {
	if n := cmd.Args().Len(); n < 1 || n > 2 {
		return usageError("diff needs one or two versions, not %d", n)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{"From": {cmd.Args().Get(0)}, "To": {cmd.Args().Get(1)}}
	var view administrator.DiffView
	if err := c.get(ctx, administrator.PathDiff, query, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) { p.printf("%s", view.Diff) })
}
