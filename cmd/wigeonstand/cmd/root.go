// Package cmd implements the command line of wigeonstand: its subcommands, flags and
// exit codes.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/trapper"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	trapper.IgnorePipe()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRootCmd().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// usageError is an error in the command line, for which Main returns exitUsage.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

func newRootCmd() *cli.Command {
	return &cli.Command{
		Name:                  "wigeonstand",
		Usage:                 "schedule agent programs between callers and endpoints",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Description: `wigeonstand runs one instance of the scheduler. All instances have the
same role and are stateless: durable state is kept in the platform's table service
and object store.

Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for a wrong command line.

Examples:
  wigeonstand check -f ee-tln-1.yaml
  wigeonstand serve -f ee-tln-1.yaml`,
		Commands: []*cli.Command{newServeCmd(), newEntryCmd(), newCheckCmd(), newEventsCmd()},
	}
}

// settingsFileFlag returns the required flag that names the settings file.
func settingsFileFlag() *cli.StringFlag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "read the settings from `FILE`", Required: true}
}
