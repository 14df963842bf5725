package relayer

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// allPaths has no detours.
type allPaths struct{}

func (allPaths) IsDetour(registrar.Endpoint) bool { return false }

// Load: calls of programs under way meet full endpoints. One with room is found, an unsafe call
// is not sent where it would be shed, and it waits before it is refused.
func TestCallsAvoidFullEndpoints(t *testing.T) {
	for _, tc := range []struct {
		name   string
		kind   matcher.Kind
		freeIn time.Duration
		want   int
		err    error
	}{
		{"another one has room", matcher.Unsafe, 0, 1, nil},
		{"one has room soon", matcher.Unsafe, 100 * time.Millisecond, 1, nil},
		{"none, unsafe", matcher.Unsafe, time.Hour, 0, errEndpointsFull},
		{"none, safe", matcher.Safe, time.Hour, 2, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := registrar.New()
				a, b := registrar.Endpoint{ID: "a", Service: "s", Slots: 6}, registrar.Endpoint{ID: "b", Service: "s", Slots: 6}
				registry.Replace([]registrar.Endpoint{a, b})
				full := registrar.Load{Running: 6, Waiting: 24, Slots: 6}
				registry.ReportShed(a, full)
				start := time.Now()
				report := func() {
					registry.Report("a", full)
					if time.Since(start) >= tc.freeIn {
						full.Waiting = 20
					}
					registry.Report("b", full)
					full.Waiting = 24
				}
				report()
				var reports sync.WaitGroup
				defer reports.Wait()
				reports.Go(func() {
					for range 20 {
						time.Sleep(50 * time.Millisecond)
						report()
					}
				})
				x := &exchange{
					Relayer: New(Config{Endpoints: registry, Paths: allPaths{}, Policy: Policy{ByNeed: true}}), ctx: t.Context(), service: "s",
					route: &matcher.Route{Kind: tc.kind}, deadline: start.Add(3 * time.Second),
				}
				got, err := x.awaitRoom(nil)
				if len(got) != tc.want || !errors.Is(err, tc.err) {
					t.Errorf("%d endpoints, %v", len(got), err)
				}
				if waited := time.Since(start); waited > min(tc.freeIn+70*time.Millisecond, 520*time.Millisecond) {
					t.Errorf("waited %v", waited)
				}
			})
		})
	}
}
