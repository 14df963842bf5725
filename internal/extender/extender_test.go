package extender_test

import (
	"context"
	"errors"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/extender"
)

// A busy host delayed the responses of a store by more than the timeout of reads, and instances
// took the store for lost.
func TestTimeoutsExtendWithTheDelayOfTheProcess(t *testing.T) {
	for name, c := range map[string]struct {
		// share is the part of the time in which the process can't run.
		share float64
		want  time.Duration
	}{
		"idle":        {share: 0, want: 150 * time.Millisecond},
		"half":        {share: 0.5, want: 300 * time.Millisecond},
		"three in 4":  {share: 0.75, want: 600 * time.Millisecond},
		"all, capped": {share: 1, want: 1150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				e := extender.New(extender.WithDelay(func() time.Duration { return time.Duration(c.share * float64(time.Since(start))) }))
				ctx, cancel := e.WithTimeout(t.Context(), 150*time.Millisecond)
				defer cancel()
				<-ctx.Done()
				if diff := cmp.Diff(c.want, time.Since(start).Round(time.Millisecond)); diff != "" || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
					t.Errorf("cause %v, after: %s", context.Cause(ctx), diff)
				}
			})
		})
	}
}

// Delays before a call say nothing about it, and those after its end have no effect.
func TestDelayCountsDuringTheCallOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delay atomic.Int64
		delay.Store(int64(time.Hour))
		e := extender.New(extender.WithDelay(func() time.Duration { return time.Duration(delay.Load()) }))
		start := time.Now()
		ctx, cancel := e.WithTimeout(t.Context(), time.Second)
		defer cancel()
		<-ctx.Done()
		if diff := cmp.Diff(time.Second, time.Since(start)); diff != "" {
			t.Error(diff)
		}
		ctx, cancel = e.WithTimeout(t.Context(), time.Second)
		cancel()
		delay.Add(int64(time.Hour))
		time.Sleep(time.Second)
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			t.Errorf("cause %v, want that of the cancellation", context.Cause(ctx))
		}
	})
}

// A timer's goroutine ran before the others, so that a process with many of them measured no delay
// while each of a call's goroutines waited for all others.
func TestWaitingGoroutinesAreADelay(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e := extender.New()
	go e.Run(ctx)
	runtime.Gosched() // Run begins to measure before there are others.
	for range 50 {
		go func() {
			for ctx.Err() == nil {
				for start := time.Now(); time.Since(start) < 2*time.Millisecond; {
				}
				runtime.Gosched()
			}
		}()
	}
	start := time.Now()
	bounded, stop := e.WithTimeout(ctx, 150*time.Millisecond)
	defer stop()
	<-bounded.Done()
	// Each turn takes up to 100 ms, so that 150 ms of undisturbed time take more than twice as long.
	if took := time.Since(start); took < 300*time.Millisecond {
		t.Errorf("the timeout ended after %v", took)
	}
}

// An idle process measures no delay: timeouts are as they were.
func TestIdleProcessIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := extender.New()
		go e.Run(t.Context())
		time.Sleep(time.Minute)
		start := time.Now()
		ctx, cancel := e.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		if diff := cmp.Diff(150*time.Millisecond, time.Since(start)); diff != "" {
			t.Error(diff)
		}
	})
}

// A response that takes longer than the timeout on a slow link was cut off while it arrived.
func TestProgressRestartsTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := extender.New().WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			callee, end := context.WithCancel(ctx)
			extender.Progress(callee)
			end()
		}
		if err := ctx.Err(); err != nil {
			t.Errorf("%v while the call made progress", err)
		}
		if diff := cmp.Diff(start.Add(100*time.Millisecond), extender.RespondedAt(ctx)); diff != "" {
			t.Error(diff)
		}
		<-ctx.Done()
		if diff := cmp.Diff(2150*time.Millisecond, time.Since(start)); diff != "" {
			t.Error(diff)
		}
		extender.Progress(ctx) // It has no effect after the end.
		extender.Progress(t.Context())
		if diff := cmp.Diff(context.DeadlineExceeded, context.Cause(ctx), cmp.Comparer(errors.Is)); diff != "" {
			t.Error(diff)
		}
	})
}
