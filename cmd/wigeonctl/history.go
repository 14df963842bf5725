package main

import (
	"context"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const (
	flagBefore = "before"
	flagLimit  = "limit"
)

const defaultHistory = 20

const historyHelp = `Lists the accepted versions, the newest first: who made each, when, and which
sections it changed.

Examples:

   wigeonctl history
   wigeonctl history --before 41 --limit 100`

func newHistoryCmd() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the accepted versions",
		Description: historyHelp,
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagBefore, Usage: "begin below this `VERSION`"},
			&cli.IntFlag{Name: flagLimit, Usage: "`NUMBER` of versions", Value: defaultHistory},
		},
		Action: history,
	}
}

func history(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{
		"Before": {strconv.FormatInt(cmd.Int64(flagBefore), 10)},
		"Limit":  {strconv.Itoa(cmd.Int(flagLimit))},
	}
	var view administrator.HistoryView
	if err := c.get(ctx, administrator.PathHistory, query, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *page) {
		var lines []string
		for _, v := range view.Versions {
			lines = append(lines, row(v.Version, stamp(v.At), v.Operator, v.Kind, listOr(v.Changed, "-"), v.EditID))
		}
		p.table(row("VERSION", "AT", "OPERATOR", "KIND", "CHANGED", "EDIT"), lines)
	})
}
