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

// waitInterval is the time between two looks at the status.
const waitInterval = 500 * time.Millisecond

func newEditIDFlag() cli.Flag {
	return &cli.StringFlag{Name: flagEditID, Usage: "`ID` of an earlier command whose outcome is not known"}
}

func newChangeFlags() []cli.Flag {
	return []cli.Flag{
		newEditIDFlag(),
		&cli.BoolFlag{Name: flagDryRun, Usage: "check the change and accept nothing"},
		&cli.DurationFlag{Name: flagWait, Usage: "wait this long for the version to be in force everywhere"},
	}
}

// change sends a change of the document, prints its result and waits if told so.
func change(ctx context.Context, cmd *cli.Command, c *client, r request) error {
	var result publisher.Result
	if err := c.do(ctx, r, &result); err != nil {
		return err
	}
	if err := print(cmd, result, func(p *page) { printResult(p, result) }); err != nil {
		return err
	}
	if cmd.Duration(flagWait) <= 0 || result.DryRun {
		return nil
	}
	return waitInForce(ctx, cmd, c, result.Version)
}

func printResult(p *page, result publisher.Result) {
	p.printf("%s", result.Diff)
	switch {
	case result.DryRun:
		p.printf("sound; would change %s\n", listOr(result.Changed, "nothing"))
	case len(result.Changed) == 0:
		p.printf("nothing to change; version %d is the newest\n", result.Version)
	case result.Replayed:
		p.printf("edit %s was accepted before as version %d\n", result.EditID, result.Version)
	default:
		p.printf("accepted as version %d; changed %s\n", result.Version, listOr(result.Changed, "nothing"))
	}
}

func listOr(names []string, none string) string {
	if len(names) == 0 {
		return none
	}
	return strings.Join(names, ", ")
}

// waitInForce asks for the status until the version is in force everywhere.
func waitInForce(ctx context.Context, cmd *cli.Command, c *client, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	for {
		var status administrator.StatusView
		err := c.get(ctx, administrator.PathStatus, nil, &status)
		lagging := behind(status, version)
		if err == nil && len(lagging) == 0 {
			p := &page{w: cmd.Root().ErrWriter}
			p.printf("version %d is in force on all %d instances\n", version, len(status.Instances))
			return p.err
		}
		var failed *failure
		if errors.As(err, &failed) && failed.code == codeRefused {
			return fail(codeRefused, "version %d is accepted; whether it is in force is not known: %w", version, err)
		}
		if !sleep(ctx, waitInterval) {
			return fail(codeRefused, "version %d is accepted, but not yet in force on: %s", version, listOr(lagging, "(no answer)"))
		}
	}
}

// behind names the instances that do not have the version.
func behind(status administrator.StatusView, version int64) []string {
	var names []string
	for _, instance := range status.Instances {
		if !instance.Reachable || instance.Version < version {
			names = append(names, instance.Name)
		}
	}
	return names
}
