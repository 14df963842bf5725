package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/stopper"
)

// Guards against waits for the store, for room or for permits after which a stopping instance could
// not answer the request any more, and against requests that are passed on then.
func TestWaitsLeaveTimeForTheAnswer(t *testing.T) {
	const usual = time.Second
	for name, tc := range map[string]struct {
		answerFor time.Duration
		timeout   time.Duration
		storeWait time.Duration
		limited   time.Duration
		mayPassOn bool
	}{
		"not stopping":                  {0, 30 * time.Second, maxStoreWait, time.Minute, true},
		"enough time":                   {8 * time.Second, 30 * time.Second, maxStoreWait, 6500 * time.Millisecond, true},
		"a part of the wait":            {2500 * time.Millisecond, 30 * time.Second, time.Second, time.Second, true},
		"no time to wait":               {1500 * time.Millisecond, 30 * time.Second, 0, 0, true},
		"too late":                      {1400 * time.Millisecond, 30 * time.Second, 0, 0, false},
		"answered by its deadline":      {1400 * time.Millisecond, 1200 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, true},
		"the deadline is just too late": {1400 * time.Millisecond, 1600 * time.Millisecond, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := stopper.New()
				rl := New(Config{Stop: stop, IsStoreUnreachable: func() bool { return false }})
				for range 20 {
					rl.durations.Record("s", "r", usual)
				}
				now := time.Now()
				x := &turn{exchange: &exchange{
					Relayer: rl, service: "s", route: &matcher.Route{Name: "r", Kind: matcher.Stream}, arrival: now, deadline: now.Add(tc.timeout),
				}}
				if tc.answerFor > 0 {
					stop.Begin(tc.answerFor)
				}
				got := []any{x.storeWait(), x.limitWait(time.Minute), x.mayPassOn(false)}
				if diff := cmp.Diff([]any{tc.storeWait, tc.limited, tc.mayPassOn}, got); diff != "" {
					t.Error(diff)
				}
				time.Sleep(tc.answerFor)
				synctest.Wait()
				if hasEnded := errors.Is(context.Cause(stop.Context()), stopper.ErrEnded); hasEnded != (tc.answerFor > 0) {
					t.Errorf("the time for answers has ended: %v", hasEnded)
				}
			})
		})
	}
}

// panickingBody is a body whose connection is in use by another read.
type panickingBody struct{ io.ReadCloser }

func (panickingBody) Read([]byte) (int, error) { panic("invalid concurrent Body.Read call") }

// Guards against a timer of a request that writes its response after net/http has ended it, which ended the
// process (issue 51).
func TestPanicWhileABodyIsReadEndsItsWatch(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 10, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := stopper.New()
				rl := New(Config{Stop: stop, Metrics: &admission{}, Dialect: refusalDialect{}})
				writer := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
				now := time.Now()
				x := &exchange{
					Relayer: rl, writer: writer, table: &matcher.Table{}, route: &matcher.Route{}, arrival: now, deadline: now.Add(time.Minute),
					memory: bodyReservation{memory: rl.bodies},
				}
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
				r.Body, r.ContentLength = panickingBody{}, length
				func() {
					defer func() {
						if recover() == nil {
							t.Error("the panic did not reach net/http")
						}
					}()
					x.readBody(r)
				}()
				stop.Begin(time.Second)
				time.Sleep(time.Minute)
				if writer.Flushed || writer.Body.Len() > 0 {
					t.Errorf("a response was written after the end of the request: %q", writer.Body)
				}
			})
		})
	}
}
