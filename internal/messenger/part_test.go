package messenger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The rests of replies that no client fetches must not fill the memory.
func TestRestsOfRepliesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r remainders
		_, first := r.split(make([]byte, maxRemainderBytes/2))
		_, second := r.split(make([]byte, maxRemainderBytes/2))
		_, third := r.split(make([]byte, 4*partBytes))
		if r.bytes > maxRemainderBytes {
			t.Errorf("%d bytes are kept", r.bytes)
		}
		if _, _, err := r.next(first); err == nil {
			t.Error("the oldest rest is kept above the limit")
		}
		part, rest, err := r.next(third)
		if diff := cmp.Diff(partBytes, len(part)); diff != "" || rest == "" || err != nil {
			t.Errorf("rest %q, %v: %s", rest, err, diff)
		}
		time.Sleep(remainderMaxAge + time.Millisecond)
		r.split(make([]byte, 2*partBytes))
		if _, _, err := r.next(second); err == nil {
			t.Error("a rest is kept for longer than remainderMaxAge")
		}
		if diff := cmp.Diff(partBytes, r.bytes); diff != "" {
			t.Error(diff)
		}
	})
}
