package main

import (
	"context"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const drainHelp = `Begins a planned stop of an instance: it takes no new work, finishes what is in
flight, hands its programs over and exits. Needs the right Instances.

Example:

   wigeonctl drain entry-3`

func newDrainCmd() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "begin a planned stop of an instance", ArgsUsage: "INSTANCE",
		Description: drainHelp,
		Flags:       []cli.Flag{newEditIDFlag()},
		Action:      drain,
	}
}

func drain(ctx context.Context, cmd *cli.Command) error {
	given, err := arguments(cmd, "INSTANCE")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	body := administrator.DrainRequest{EditID: newEditID(cmd)}
	path := administrator.PathInstances + "/" + url.PathEscape(given[0]) + "/" + administrator.VerbDrain
	var done administrator.EmptyView
	if err := c.do(ctx, request{method: http.MethodPost, path: path, body: body, editID: body.EditID}, &done); err != nil {
		return err
	}
	return print(cmd, done, func(p *page) { p.printf("instance %s is stopping\n", given[0]) })
}
