package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Replays outages of the store (Binfold trouble-2) and the end of a recovery
// (deploy/days/14): a turn is held for less time than its caller waits, and one
// with little time is tried, but refused at once while the store is known to be
// out of reach.
func TestStoreWait(t *testing.T) {
	const callerTimeout = 2 * time.Second
	for _, tc := range []struct {
		total, want        time.Duration
		isStoreUnreachable bool
	}{
		{10 * time.Second, 1800 * time.Millisecond, false},
		{3 * time.Second, 1800 * time.Millisecond, false},
		{2 * time.Second, 1500 * time.Millisecond, false},
		{time.Second, 500 * time.Millisecond, false},
		{600 * time.Millisecond, 300 * time.Millisecond, false},
		{400 * time.Millisecond, 200 * time.Millisecond, false},
		{50 * time.Millisecond, 25 * time.Millisecond, false},
		{3 * time.Second, 1800 * time.Millisecond, true},
		{time.Second, 500 * time.Millisecond, true},
		{600 * time.Millisecond, 100 * time.Millisecond, true},
		{400 * time.Millisecond, 0, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			turn := &turn{exchange: &exchange{
				Relayer: New(Config{IsStoreUnreachable: func() bool { return tc.isStoreUnreachable }}), arrival: now, deadline: now.Add(tc.total),
			}}
			got := turn.storeWait()
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("of %v: %s", tc.total, diff)
			}
			if got >= callerTimeout {
				t.Errorf("of %v: the caller leaves first", tc.total)
			}
			time.Sleep(10 * time.Millisecond)
			if diff := cmp.Diff(max(tc.want-10*time.Millisecond, 0), turn.storeWait()); diff != "" {
				t.Errorf("later, of %v: %s", tc.total, diff)
			}
			time.Sleep(tc.total)
			if diff := cmp.Diff(time.Duration(0), turn.storeWait()); diff != "" {
				t.Errorf("at the end, of %v: %s", tc.total, diff)
			}
		})
	}
}
