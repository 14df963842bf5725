package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const statusHelp = `Reports whether the newest version of the document is in force on all instances, and
which instances lag.

Examples:

   wigeonctl status
   wigeonctl status --output json`

func newStatusCmd() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "report whether the newest version is in force on all instances",
		Description: statusHelp,
		Action:      status,
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var view administrator.StatusView
	if err := c.get(ctx, administrator.PathStatus, nil, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		p.printf("newest version: %d\nin force everywhere: %s\n", view.Newest, yesNo(view.Everywhere))
		if len(view.Lagging) > 0 {
			p.printf("lagging: %s\n", joinOr(view.Lagging, ""))
		}
	})
}
