package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const instancesHelp = `Lists the instances with their data centre, the document version in force on each
and the number of programs that each owns.

Example:

   wigeonctl instances`

func newInstancesCmd() *cli.Command {
	return &cli.Command{
		Name: "instances", Usage: "list the instances",
		Description: instancesHelp,
		Action:      instances,
	}
}

func instances(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var view administrator.InstancesView
	if err := c.get(ctx, administrator.PathInstances, nil, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		var lines []string
		for _, i := range view.Instances {
			lines = append(lines, row(i.Name, i.Address, i.DataCentre, i.Version, yesNo(i.Reachable), yesNo(i.Leaving), i.Programs))
		}
		p.table(row("INSTANCE", "ADDRESS", "DATA CENTRE", "VERSION", "REACHABLE", "LEAVING", "PROGRAMS"), lines)
	})
}
