package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	flagLanded    = "landed"
	flagNotLanded = "not-landed"
	flagNote      = "note"
)

const outcomesHelp = `The outcome of a call is unknown if the answer was lost, the call may not be
repeated and the service does not report its status. Check the records of the
service and resolve the outcome.

Examples:

   wigeonctl outcomes list
   wigeonctl outcomes resolve --business binfold --landed --note "docket 881" levy-2026-11
   wigeonctl outcomes resolve --business binfold --not-landed levy-2026-12`

func newOutcomesCmd() *cli.Command {
	return &cli.Command{
		Name: "outcomes", Usage: "list and resolve unknown outcomes",
		Description: outcomesHelp,
		Commands:    []*cli.Command{newOutcomesListCmd(), newOutcomesResolveCmd()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usageError("outcomes needs list or resolve, not %q", cmd.Args().First())
		},
	}
}

func newOutcomesListCmd() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list calls with an unknown outcome", Description: outcomesHelp, Action: listOutcomes,
	}
}

func newOutcomesResolveCmd() *cli.Command {
	return &cli.Command{
		Name: "resolve", Usage: "record whether a call took effect", ArgsUsage: "KEY", Description: outcomesHelp,
		Flags: []cli.Flag{
			newBusinessFlag(), newEditIDFlag(),
			&cli.BoolFlag{Name: flagLanded, Usage: "the call took effect"},
			&cli.BoolFlag{Name: flagNotLanded, Usage: "the call did not take effect"},
			&cli.StringFlag{Name: flagNote, Usage: "`NOTE` that is recorded"},
		},
		Action: resolveOutcome,
	}
}

func listOutcomes(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var view administrator.OutcomesView
	if err := c.get(ctx, administrator.PathOutcomes, nil, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		var lines []string
		for _, o := range view.Outcomes {
			lines = append(lines, row(o.Key, o.Service, o.State, o.Instance, o.Note))
		}
		p.table(row("KEY", "SERVICE", "STATE", "OWNER", "NOTE"), lines)
		p.missing(view.Missing)
	})
}

func resolveOutcome(ctx context.Context, cmd *cli.Command) error {
	given, err := arguments(cmd, "KEY")
	if err != nil {
		return err
	}
	if cmd.Bool(flagLanded) == cmd.Bool(flagNotLanded) {
		return usageError("give either --%s or --%s", flagLanded, flagNotLanded)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	body := administrator.ResolveRequest{
		EditID: newEditID(cmd), Business: cmd.String(flagBusiness), Key: given[0],
		Landed: cmd.Bool(flagLanded), Note: cmd.String(flagNote),
	}
	r := request{method: http.MethodPost, path: administrator.PathResolve, body: body, editID: body.EditID}
	var view requester.OutcomeView
	if err := c.do(ctx, r, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) { p.printf("call %s is now %s\n", view.Key, view.State) })
}
