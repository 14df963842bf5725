package sender

import (
	"errors"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against responses that are closed in vain: a head that had been refused took its memory until its
// connection was closed, so that a smaller one closed the largest of the others.
func TestRefusedHeadsTakeNoMemory(t *testing.T) {
	budget := &headBudget{size: 120, cost: func(size, _ int64) int64 { return size }, incomplete: map[*headReader]struct{}{}}
	newHead := func() *headReader {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() }) // The test is over.
		return &headReader{conn: near, budget: budget}
	}
	grow := func(h *headReader, size int64, want error) {
		t.Helper()
		h.size = size
		if err := budget.reserve(h); !errors.Is(err, want) {
			t.Errorf("%d bytes: got %v, want %v", size, err, want)
		}
	}
	largest, refused, small := newHead(), newHead(), newHead()
	grow(largest, 60, nil)
	grow(refused, 50, nil)
	grow(refused, 65, errHeadBudget)
	grow(small, 12, nil)
	grow(largest, 61, nil)
	grow(refused, 66, errHeadBudget)
	if diff := cmp.Diff(int64(73), budget.used); diff != "" {
		t.Errorf("memory in use: %s", diff)
	}
}
