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

const defaultHistoryLimit = 20

const historyHelp = `Lists the accepted versions, the newest first, with the time, the operator and the
changed sections of each.

Examples:

   wigeonctl history
   wigeonctl history --before 41 --limit 100`

func newHistoryCmd() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the accepted versions",
		Description: historyHelp,
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagBefore, Usage: "list versions older than this `VERSION`"},
			&cli.IntFlag{Name: flagLimit, Usage: "`NUMBER` of versions", Value: defaultHistoryLimit},
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
	return print(cmd, view, func(p *textWriter) {
		var lines []string
		for _, v := range view.Versions {
			lines = append(lines, row(v.Version, formatTime(v.At), v.Operator, v.Kind, joinOr(v.Changed, "-"), v.EditID))
		}
		p.table(row("VERSION", "AT", "OPERATOR", "KIND", "CHANGED", "EDIT"), lines)
	})
}
