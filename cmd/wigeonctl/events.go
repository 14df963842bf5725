package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const eventsHelp = `Prints the catalogue of log events: the number and name that identify the event in
the log, its level, its meaning and what to do about it.

Example:

   wigeonctl events`

func newEventsCmd() *cli.Command {
	return &cli.Command{
		Name: "events", Usage: "print the catalogue of log events",
		Description: eventsHelp,
		Action:      func(_ context.Context, cmd *cli.Command) error { return events(cmd) },
	}
}

func events(cmd *cli.Command) error {
	all := logger.Events()
	return print(cmd, all, func(p *textWriter) {
		var lines []string
		for _, e := range all {
			lines = append(lines, row(e.Number, e.Name, e.Level, e.Message, e.Action))
		}
		p.table(row("NUMBER", "NAME", "LEVEL", "TEXT", "ACTION"), lines)
	})
}
