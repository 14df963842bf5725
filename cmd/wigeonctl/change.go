package main

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
)

// The flags of commands that change the document.
const (
	flagEditID = "edit-id"
	flagDryRun = "dry-run"
	flagWait   = "wait"
)

// waitInterval is the time between two status requests.
const waitInterval = 500 * time.Millisecond

func newEditIDFlag() cli.Flag {
	return &cli.StringFlag{Name: flagEditID, Usage: "`ID` of an earlier command whose outcome is not known"}
}

func newChangeFlags() []cli.Flag {
	return []cli.Flag{
		newEditIDFlag(),
		&cli.BoolFlag{Name: flagDryRun, Usage: "check the change without accepting it"},
		&cli.DurationFlag{Name: flagWait, Usage: "wait this long for the version to be in force everywhere"},
	}
}

// change sends a change of the document, prints the result and, with --wait, waits
// until the version is in force.
func change(ctx context.Context, cmd *cli.Command, c *client, r request) error {
	var result publisher.Result
	if err := c.do(ctx, r, &result); err != nil {
		return err
	}
	if err := print(cmd, result, func(p *textWriter) { printResult(p, result) }); err != nil {
		return err
	}
	if cmd.Duration(flagWait) <= 0 || result.DryRun {
		return nil
	}
	return waitUntilInForce(ctx, cmd, c, result.Version)
}

func printResult(p *textWriter, result publisher.Result) {
	p.printf("%s", result.Diff)
	switch {
	case result.DryRun:
		p.printf("valid; would change %s\n", joinOr(result.Changed, "nothing"))
	case len(result.Changed) == 0:
		p.printf("nothing to change; version %d is the newest\n", result.Version)
	case result.Replayed:
		p.printf("edit %s was accepted before as version %d\n", result.EditID, result.Version)
	default:
		p.printf("accepted as version %d; changed %s\n", result.Version, joinOr(result.Changed, "nothing"))
	}
}

func joinOr(names []string, none string) string {
	if len(names) == 0 {
		return none
	}
	return strings.Join(names, ", ")
}

// waitUntilInForce polls the status until the version is in force on all instances.
func waitUntilInForce(ctx context.Context, cmd *cli.Command, c *client, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	for {
		var status administrator.StatusView
		err := c.get(ctx, administrator.PathStatus, nil, &status)
		lagging := laggingInstances(status, version)
		if err == nil && len(lagging) == 0 {
			p := &textWriter{w: cmd.Root().ErrWriter}
			p.printf("version %d is in force on all %d instances\n", version, len(status.Instances))
			return p.err
		}
		var failed *failure
		if errors.As(err, &failed) && failed.code == codeRefused {
			return newFailure(codeRefused, "version %d is accepted; whether it is in force is not known: %w", version, err)
		}
		if !sleep(ctx, waitInterval) {
			return newFailure(codeRefused, "version %d is accepted, but not yet in force on: %s", version, joinOr(lagging, "(no answer)"))
		}
	}
}

// laggingInstances returns the names of the instances where the version, or a newer
// one, is not known to be in force.
func laggingInstances(status administrator.StatusView, version int64) []string {
	var names []string
	for _, instance := range status.Instances {
		if !instance.Reachable || instance.Version < version {
			names = append(names, instance.Name)
		}
	}
	return names
}
