package trapper_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/trapper"
)

// A SIGHUP during a planned stop ended the process, with the requests that it was completing.
func TestHangupDuringAPlannedStopDoesNotEndTheProcess(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	hangups := trapper.Hangups(ctx)
	hangUp := func() {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	select {
	case <-hangups:
	case <-time.After(5 * time.Second):
		t.Error("the signal does not arrive")
	}
	stop()
	<-time.After(100 * time.Millisecond) // The receiver has ended.
	hangUp()
	<-time.After(100 * time.Millisecond) // Without the fix, the process ends here.
}
