package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/correlator"
)

const storyHelp = `Prints what the logs of several instances say of one request or program, in order.
A turn stands before those that continue it, whatever the instances' clocks say.
Reads JSON logs; lines that are none are passed over. No instance is called.

Examples:

   wigeonctl story 1c4c7a2a2457be5a logs/*.log
   wigeonctl story 73c09f8e6b6aeb logs/edge-qld-b-1.log logs/edge-qld-b-18.log`

func newStoryCmd() *cli.Command {
	return &cli.Command{
		Name: "story", Usage: "print the story of a request or program from log files",
		ArgsUsage: "ID FILE...", Description: storyHelp,
		Action: func(_ context.Context, cmd *cli.Command) error { return story(cmd) },
	}
}

func story(cmd *cli.Command) error {
	if cmd.Args().Len() < 2 {
		return usage("story needs the ID of a request or program and one log file at least")
	}
	id := cmd.Args().First()
	var lines []correlator.Line
	for _, name := range cmd.Args().Tail() {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	found := correlator.Correlate(lines, id)
	if len(found) == 0 {
		return eris.Errorf("%d lines were read; none is about %s", len(lines), id)
	}
	return correlator.Write(cmd.Root().Writer, found)
}

func readLog(name string) ([]correlator.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open a log")
	}
	defer func() { _ = file.Close() }() // It was only read.
	lines, _, err := correlator.Read(file)
	return lines, eris.Wrap(err, name)
}
