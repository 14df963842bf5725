package relayer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against failures during outages of the store (Binfold trouble-2) and at
// the end of a recovery (deploy/days/14). A turn waits for less time than its
// caller. A turn with a short timeout is attempted, but refused at once while the
// store is known to be unreachable.
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
				t.Errorf("timeout %v: %s", tc.total, diff)
			}
			if got >= callerTimeout {
				t.Errorf("timeout %v: the caller aborts first", tc.total)
			}
			time.Sleep(10 * time.Millisecond)
			if diff := cmp.Diff(max(tc.want-10*time.Millisecond, 0), turn.storeWait()); diff != "" {
				t.Errorf("timeout %v, after 10 ms: %s", tc.total, diff)
			}
			time.Sleep(tc.total)
			if diff := cmp.Diff(time.Duration(0), turn.storeWait()); diff != "" {
				t.Errorf("timeout %v, after the deadline: %s", tc.total, diff)
			}
		})
	}
}
