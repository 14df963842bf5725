// Package trapper sets the handling of signals whose default action would end the process: SIGHUP from
// the first moment on, as it may follow the start at once, and SIGPIPE, which the runtime raises if
// standard output has no reader.
package trapper

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Where the package is built without cgo, SIGHUP is ignored from here on.
func init() { signal.Ignore(syscall.SIGHUP) }

// IgnorePipe makes writes to standard output without a reader fail instead of ending the process.
func IgnorePipe() { signal.Ignore(syscall.SIGPIPE) }

// Hangups returns a channel that receives a value for each SIGHUP until ctx is done. After that
// the signal is ignored.
func Hangups(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case <-ctx.Done():
				return
			case out <- struct{}{}:
			}
		}
	}()
	return out
}
