// Command wigeondemo makes the files of the demonstration and plays its
// callers. It starts no process; hack/demo.sh does.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCmd().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newRootCmd() *cli.Command {
	return &cli.Command{
		Name:  "wigeondemo",
		Usage: "make the demonstration's files and play its callers",
		Description: `Examples:
  wigeondemo prepare --directory run
  wigeondemo register --directory run
  wigeondemo ready --directory run
  wigeondemo play --directory run`,
		Commands: []*cli.Command{newPrepareCmd(), newRegisterCmd(), newReadyCmd(), newPlayCmd(), newEditCmd(), newOwnerCmd(), newCrowdCmd()},
	}
}

// layoutFlags returns the flags that say where the processes are, and those given.
func layoutFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "directory", Value: "run", Sources: cli.EnvVars("DEMO_DIRECTORY"),
			Usage: "keep the demonstration's files in `DIR`",
		},
		&cli.IntFlag{
			Name: "port", Value: defaultBasePort, Sources: cli.EnvVars("DEMO_PORT"),
			Usage: "count the processes' ports from `PORT`",
		},
		&cli.IntFlag{
			Name: "instances", Value: defaultInstances, Sources: cli.EnvVars("DEMO_INSTANCES"),
			Usage: "have `N` instances",
		},
	}, own...)
}
