package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/correlator"
)

const storyHelp = `Prints the log lines of one request or program from the logs of several instances,
sorted by time. A turn always precedes the turns that continue it, even if the
instances' clocks differ. Reads JSON logs and skips other lines. No instance is
contacted.

Examples:

   wigeonctl story 1c4c7a2a2457be5a logs/*.log
   wigeonctl story 73c09f8e6b6aeb logs/edge-qld-b-1.log logs/edge-qld-b-18.log`

func newStoryCmd() *cli.Command {
	return &cli.Command{
		Name: "story", Usage: "print the log lines of a request or program",
		ArgsUsage: "ID FILE...", Description: storyHelp,
		Action: func(_ context.Context, cmd *cli.Command) error { return story(cmd) },
	}
}

func story(cmd *cli.Command) error {
	if cmd.Args().Len() < 2 {
		return usageError("story needs the ID of a request or program and at least one log file")
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
		return eris.Errorf("%d log lines read; none refers to %s", len(lines), id)
	}
	return correlator.Write(cmd.Root().Writer, found)
}

func readLog(name string) ([]correlator.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open a log")
	}
	defer func() { _ = file.Close() }() // The file was only read.
	lines, _, err := correlator.Read(file)
	return lines, eris.Wrap(err, name)
}
