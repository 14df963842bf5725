package main

import (
	"context"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const drainHelp = `Starts a planned stop of an instance: it accepts no new work, finishes the requests
in flight, hands over its programs and exits. Requires the right Instances.

Example:

   wigeonctl drain entry-3`

func newDrainCmd() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "start a planned stop of an instance", ArgsUsage: "INSTANCE",
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
	return print(cmd, done, func(p *textWriter) { p.printf("instance %s is stopping\n", given[0]) })
}
