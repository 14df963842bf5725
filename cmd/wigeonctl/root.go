package main

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// The flags that all commands share.
const (
	flagAddress = "address"
	flagKeyFile = "key-file"
	flagCA      = "ca"
	flagOutput  = "output"
	flagTimeout = "timeout"
)

const defaultTimeout = time.Minute

const rootHelp = `wigeonctl edits the operators' document and manages programs, calls and instances.
It connects to the operators' listener of any instance. With several addresses it
uses the next one if one does not answer.

A command that changes something sends an edit id. If the answer is lost, the
command repeats the request with the same id, so that the change is made once.

Exit codes:

   0  done
   1  refused; the reason is on standard error
   2  wrong usage
   3  conflict with a change that was accepted before; that change is shown
   4  unreachable: no instance answered, or it could not reach the store;
      nothing was changed
   5  unknown outcome: the change may be in force; repeat the command with the
      --edit-id that is shown

"wigeonctl check" of a configuration has codes of its own; see its help.

Examples:

   wigeonctl check document.yaml
   wigeonctl --address https://10.0.0.1:7102 --key-file ann.key --ca ca.pem status
   wigeonctl show > document.yaml
   wigeonctl apply --wait 16s document.yaml`

// newRootCmd returns the root command with all subcommands.
func newRootCmd(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "wigeonctl",
		Usage:                 "operate wigeonstand",
		Description:           rootHelp,
		Flags:                 newRootFlags(),
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          onUsageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usageError("unknown command %q", cmd.Args().First())
			}
			return cli.ShowAppHelp(cmd)
		},
		Commands: []*cli.Command{
			newCheckCmd(), newApplyCmd(), newEditCmd(), newShowCmd(), newHistoryCmd(), newDiffCmd(),
			newRollbackCmd(), newStatusCmd(), newInstancesCmd(), newEndpointsCmd(), newProgramsCmd(),
			newExplainCmd(), newEndCmd(), newOutcomesCmd(), newDrainCmd(), newHashKeyCmd(), newEventsCmd(), newStoryCmd(),
		},
	}
	for _, command := range root.Commands {
		command.OnUsageError = onUsageError
		for _, nested := range command.Commands {
			nested.OnUsageError = onUsageError
		}
	}
	return root
}

func newRootFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: flagAddress, Usage: "`URL` of an instance's operators' listener; may be given several times",
			Sources: cli.EnvVars("WIGEON_ADDRESS"),
		},
		&cli.StringFlag{
			Name: flagKeyFile, Usage: "`FILE` with the operator's key", Sources: cli.EnvVars("WIGEON_KEY_FILE"),
		},
		&cli.StringFlag{
			Name: flagCA, Usage: "`FILE` with the CA certificates that verify the instance's certificate",
			Sources: cli.EnvVars("WIGEON_CA"),
		},
		&cli.StringFlag{Name: flagOutput, Usage: "text or json", Value: outputText, Validator: checkOutput(flagOutput)},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time limit of the whole command", Value: defaultTimeout},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError("%v", err)
}

// run runs the command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newRootCmd(stdout, stderr).Run(ctx, args)
	if err == nil {
		return codeDone
	}
	failed := asFailure(err)
	p := &textWriter{w: stderr}
	p.printf("wigeonctl: %v\n", failed)
	return failed.code
}

// arguments returns the command's arguments, or a usage error if their number
// differs from that of the names.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	given := cmd.Args().Slice()
	if len(given) != len(names) {
		return nil, usageError("%s needs the arguments %v, not %d", cmd.Name, names, len(given))
	}
	return given, nil
}
