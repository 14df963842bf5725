package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const flagReason = "reason"

const endHelp = `Ends a program and its sub-agents and releases their engine memory. Requires the
right Programs.

Example:

   wigeonctl end --business binfold --reason "loops" 01JD8K5ZQ7V2W3X4Y5Z6A7B8C9`

func newEndCmd() *cli.Command {
	return &cli.Command{
		Name: "end", Usage: "end a program", ArgsUsage: "PROGRAM",
		Description: endHelp,
		Flags: []cli.Flag{
			newBusinessFlag(), newEditIDFlag(),
			&cli.StringFlag{Name: flagReason, Usage: "`REASON` that is recorded", Value: "ended by an operator"},
		},
		Action: end,
	}
}

func end(ctx context.Context, cmd *cli.Command) error {
	given, err := arguments(cmd, "PROGRAM")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	body := administrator.EndRequest{
		EditID: newEditID(cmd), Business: cmd.String(flagBusiness), Reason: cmd.String(flagReason),
	}
	path := programPath(given[0], administrator.VerbEnd)
	var ended requester.EndReply
	if err := c.do(ctx, request{method: http.MethodPost, path: path, body: body, editID: body.EditID}, &ended); err != nil {
		return err
	}
	return print(cmd, ended, func(p *textWriter) {
		p.printf("program %s has ended (%s); it spent %d tokens\n", ended.Program, ended.Reason, ended.Spent)
	})
}
