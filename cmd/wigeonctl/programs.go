package main

import (
	"context"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const flagBusiness = "business"

const programsHelp = `Lists the programs that all instances own, or those of one business.

Examples:

   wigeonctl programs
   wigeonctl programs --business laulukaar`

func newProgramsCmd() *cli.Command {
	return &cli.Command{
		Name: "programs", Usage: "list the programs",
		Description: programsHelp,
		Flags:       []cli.Flag{&cli.StringFlag{Name: flagBusiness, Usage: "`BUSINESS` whose programs are listed"}},
		Action:      programs,
	}
}

func programs(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{}
	if business := cmd.String(flagBusiness); business != "" {
		query.Set("Business", business)
	}
	var view administrator.ProgramsView
	if err := c.get(ctx, administrator.PathPrograms, query, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		var lines []string
		for _, e := range view.Programs {
			lines = append(lines, row(e.Program, e.Business, e.Agent, e.State, e.Turns, e.Spent, e.Budget))
		}
		p.table(row("PROGRAM", "BUSINESS", "AGENT", "STATE", "TURNS", "SPENT", "BUDGET"), lines)
		p.missing(view.Missing)
	})
}
