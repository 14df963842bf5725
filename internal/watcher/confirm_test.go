package watcher_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/tracker"
	"github.com/wigeonstand/wigeonstand/internal/watcher"
)

// countingReader counts the reads of changes.
type countingReader struct {
	tracker.Reader
	reads *atomic.Int32
}

func (r countingReader) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	r.reads.Add(1)
	return r.Reader.Changes(ctx, table, after, wait)
}

// A machine that was suspended while a route was added denied requests to it when it resumed
// (LOST, play "stale" of review/).
func TestConfigurationIsConfirmedAfterASuspension(t *testing.T) {
	const maxAge, suspension, delay = 2 * time.Second, 4 * time.Second, 10 * time.Millisecond
	for name, tc := range map[string]struct {
		isChanged, isOutage, isFollowed bool
		// decoding is how long the new configuration takes to be decoded; the requests arrive meanwhile.
		decoding    time.Duration
		want        bool
		wantVersion int64
	}{
		"unchanged":                {want: true, wantVersion: 1},
		"changed and followed":     {isChanged: true, isFollowed: true, want: true, wantVersion: 2},
		"changed and read":         {isChanged: true, isFollowed: true, decoding: 10 * delay, want: true, wantVersion: 2},
		"changed but not in force": {isChanged: true, wantVersion: 1},
		"store away":               {isOutage: true, wantVersion: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows, reads := fakeplatform.NewRows(1), &atomic.Int32{}
				rows.Put(configuration, []byte("1"))
				from := source()
				decode := from.DecodeTable
				from.DecodeTable = func(value []byte) (*matcher.Table, error) {
					if string(value) == "2" {
						time.Sleep(tc.decoding)
					}
					return decode(value)
				}
				w := watcher.New(from, countingReader{boundedRows{rows.For("x")}, reads}, registrar.New())
				poll(t, w)
				if !w.ConfirmConfiguration(t.Context(), maxAge) {
					t.Error("the configuration is not confirmed after it was read")
				}
				time.Sleep(suspension)
				if tc.isChanged {
					rows.Put(configuration, []byte("2"))
				}
				rows.SetFaults(fakeplatform.RowFaults{Delay: delay, Outage: tc.isOutage})
				before := reads.Load()
				var waiting, following sync.WaitGroup
				if tc.isFollowed {
					following.Go(func() { poll(t, w) })
				}
				time.Sleep(tc.decoding / 2)
				start := time.Now()
				for range 50 {
					waiting.Go(func() {
						if diff := cmp.Diff(tc.want, w.ConfirmConfiguration(t.Context(), maxAge)); diff != "" {
							t.Error(diff)
						}
						if diff := cmp.Diff(tc.wantVersion, w.Table().Version); diff != "" {
							t.Errorf("in force when it was confirmed: %s", diff)
						}
					})
				}
				waiting.Wait()
				if elapsed := time.Since(start); elapsed > 300*time.Millisecond {
					t.Errorf("decided after %v", elapsed)
				}
				following.Wait()
				if diff := cmp.Diff(tc.wantVersion, w.Table().Version); diff != "" {
					t.Error(diff)
				}
				if got := reads.Load() - before; !tc.isFollowed && got != 1 {
					t.Errorf("50 requests read the store %d times", got)
				}
			})
		})
	}
}
