package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const explainHelp = `Prints the state of a program, the reason why it waits, and how it has spent its
time and budget.

Example:

   wigeonctl explain --business laulukaar 01JD8K5ZQ7V2W3X4Y5Z6A7B8C9`

func newBusinessFlag() cli.Flag {
	return &cli.StringFlag{Name: flagBusiness, Usage: "`BUSINESS` that the program or call belongs to", Required: true}
}

func newExplainCmd() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the state of a program and why it waits", ArgsUsage: "PROGRAM",
		Description: explainHelp,
		Flags:       []cli.Flag{newBusinessFlag()},
		Action:      explain,
	}
}

func programPath(program, verb string) string {
	return administrator.PathPrograms + "/" + url.PathEscape(program) + "/" + verb
}

func explain(ctx context.Context, cmd *cli.Command) error {
	given, err := arguments(cmd, "PROGRAM")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{"Business": {cmd.String(flagBusiness)}}
	var view requester.Explanation
	if err := c.get(ctx, programPath(given[0], administrator.VerbExplain), query, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		p.table(row("PROGRAM", view.Program), []string{
			row("agent", view.Business+"/"+view.Agent),
			row("state", view.State),
			row("reason", view.Reason),
			row("place in the queue", view.Position),
			row("endpoint", view.Endpoint),
			row("turns", view.Turns),
			row("tokens", fmt.Sprintf("%d spent, %d reserved, of %d", view.Spent, view.Reserved, view.Budget)),
			row("time", fmt.Sprintf("%s queued, %s running, %s waiting", view.Queued, view.Running, view.Waiting)),
		})
	})
}
