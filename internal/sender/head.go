package sender

import (
	"bytes"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

var (
	errHeadTooLarge = eris.Errorf("the response head exceeds %d bytes", maxHeadBytes)
	errHeadBudget   = eris.New("the memory for response heads is in use")
)

// headBudget limits the memory of all response heads together. If it is in use, the connection with
// the largest incomplete head is closed.
type headBudget struct {
	size int64
	cost func(size, lines int64) int64

	mu   sync.Mutex
	used int64
	// incomplete are the heads that take memory and have not been read to their end.
	incomplete map[*headReader]struct{}
}

// WithHeadBudget limits the memory of all response heads together, complete ones until their responses
// are closed. The memory of one is given by cost, from its bytes and lines so far.
func WithHeadBudget(size int64, cost func(size, lines int64) int64) Option {
	return func(s *Sender) {
		s.heads = &headBudget{size: size, cost: cost, incomplete: map[*headReader]struct{}{}}
	}
}

// reserve reserves the memory of the head, for which larger ones may be closed.
func (b *headBudget) reserve(h *headReader) error {
	var evicted []net.Conn // They are closed without the mutex, as the close of a tunnel writes.
	defer func() {
		for _, c := range evicted {
			discard(c)
		}
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isEvicted {
		return errHeadBudget
	}
	demand := b.cost(h.size, h.lines) - h.reserved
	if demand <= 0 {
		return nil
	}
	for b.used+demand > b.size {
		var largest *headReader
		for other := range b.incomplete {
			if other != h && other.reserved >= h.reserved+demand && (largest == nil || other.reserved > largest.reserved) {
				largest = other
			}
		}
		if largest == nil {
			return errHeadBudget
		}
		largest.isEvicted = true
		evicted = append(evicted, largest.conn)
		b.lockedRelease(largest)
	}
	b.used += demand
	h.reserved += demand
	b.incomplete[h] = struct{}{}
	return nil
}

func (b *headBudget) lockedRelease(h *headReader) {
	b.used -= h.reserved
	h.reserved = 0
	delete(b.incomplete, h)
}

// headReader reads from a connection and limits what it reads between begin and end.
type headReader struct {
	conn   net.Conn
	budget *headBudget
	// isInHead, size and lines are set by the goroutine that reads.
	isInHead    bool
	size, lines int64

	// reserved is the memory of the head in the budget, whose mutex guards it and isEvicted.
	reserved  int64
	isEvicted bool
}

// begin starts a head together with the interim ones before it.
func (h *headReader) begin() { h.isInHead, h.size, h.lines = true, 0, 0 }

// end ends the head, which keeps its memory until release.
func (h *headReader) end() {
	h.isInHead = false
	if h.budget != nil {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		delete(h.budget.incomplete, h)
	}
}

func (h *headReader) release() {
	if h.budget != nil {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		h.budget.lockedRelease(h)
	}
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if !h.isInHead {
		return h.conn.Read(b)
	}
	if h.size == maxHeadBytes {
		return 0, errHeadTooLarge
	}
	n, err := h.conn.Read(b[:min(int64(len(b)), maxHeadBytes-h.size)])
	h.size += int64(n)
	if h.budget == nil {
		return n, err
	}
	h.lines += int64(bytes.Count(b[:n], []byte{'\n'}))
	if reserveErr := h.budget.reserve(h); reserveErr != nil {
		return 0, reserveErr
	}
	return n, err
}
