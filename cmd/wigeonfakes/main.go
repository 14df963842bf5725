// Command wigeonfakes runs stand-ins for what the scheduler meets: the
// platform, model engines and plain services. It owns their command line; the
// stand-ins themselves are in internal/fakeplatform, internal/fakeengine and
// internal/fakeservice.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCmd(os.Stderr).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
