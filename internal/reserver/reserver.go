// Package reserver shares a limited amount of memory among requests. What does not fit waits in the
// order of its rank, and is refused if too much waits before it.
package reserver

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// queueFactor is how many times the reserver's size may wait for it.
const queueFactor = 4

var (
	// ErrFull means that the memory was in use for longer than the request may wait.
	ErrFull = eris.New("the memory is in use")
	// ErrTooLarge means that the request exceeds the size of the reserver.
	ErrTooLarge = eris.New("larger than the memory for all")
)

// Request is a request for memory.
type Request struct {
	// Size is in bytes.
	Size int64
	// IsUnderWay is set for requests of programs that have started. They go before others.
	IsUnderWay bool
	// Priority 0 is the highest.
	Priority int
}

// compareRank orders requests by the order in which they get memory.
func compareRank(a, b Request) int {
	if a.IsUnderWay != b.IsUnderWay {
		if a.IsUnderWay {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Priority, b.Priority)
}

type decision int

const (
	waits decision = iota
	isGranted
	isRefused
)

// decide decides on the requests, which are ordered by rank. None is granted before one of a higher
// rank, so that large ones get their turn. Those that would wait for more than maxWaiting bytes,
// their own included, are refused.
func decide(free, maxWaiting int64, ranked []Request) []decision {
	decisions := make([]decision, len(ranked))
	waiting := int64(0)
	for i, request := range ranked {
		if waiting == 0 && request.Size <= free {
			free -= request.Size
			decisions[i] = isGranted
			continue
		}
		if waiting += request.Size; waiting > maxWaiting {
			decisions[i] = isRefused
		}
	}
	return decisions
}

// Reserver is safe for concurrent use.
type Reserver struct {
	size int64

	mu   sync.Mutex
	free int64
	// waiting and decided are in the order of the ranks.
	waiting []Request
	decided []chan decision
}

// New returns a Reserver of size bytes.
func New(size int64) *Reserver { return &Reserver{size: size, free: size} }

// Size returns the size in bytes.
func (r *Reserver) Size() int64 { return r.size }

// TryReserve reserves the memory if it is free and nothing waits for it.
func (r *Reserver) TryReserve(size int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) > 0 || size > r.free {
		return false
	}
	r.free -= size
	return true
}

// Reserve reserves the memory, for which it waits up to maxWait and no longer than ctx. It returns
// ErrFull or ErrTooLarge if it has reserved none.
func (r *Reserver) Reserve(ctx context.Context, request Request, maxWait time.Duration) error {
	if request.Size > r.size {
		return eris.Wrapf(ErrTooLarge, "%d bytes of %d", request.Size, r.size)
	}
	decided := r.enqueue(request)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case d := <-decided:
		return errorOf(d)
	case <-timer.C:
	case <-ctx.Done():
	}
	if r.remove(decided) {
		return ErrFull
	}
	return errorOf(<-decided)
}

func errorOf(d decision) error {
	if d == isGranted {
		return nil
	}
	return ErrFull
}

// Release returns reserved memory.
func (r *Reserver) Release(size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += size
	r.decide()
}

func (r *Reserver) enqueue(request Request) <-chan decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.waiting, func(other Request) bool { return compareRank(request, other) < 0 })
	if i < 0 {
		i = len(r.waiting)
	}
	decided := make(chan decision, 1)
	r.waiting = slices.Insert(r.waiting, i, request)
	r.decided = slices.Insert(r.decided, i, decided)
	r.decide()
	return decided
}

// remove reports whether the request was still waiting.
func (r *Reserver) remove(decided <-chan decision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.decided, func(c chan decision) bool { return c == decided })
	if i < 0 {
		return false
	}
	r.waiting, r.decided = slices.Delete(r.waiting, i, i+1), slices.Delete(r.decided, i, i+1)
	r.decide()
	return true
}

// decide removes the requests that are granted or refused.
func (r *Reserver) decide() {
	waiting, decided := r.waiting, r.decided
	kept := 0
	for i, d := range decide(r.free, queueFactor*r.size, waiting) {
		if d == waits {
			waiting[kept], decided[kept] = waiting[i], decided[i]
			kept++
			continue
		}
		if d == isGranted {
			r.free -= waiting[i].Size
		}
		decided[i] <- d
	}
	clear(decided[kept:])
	r.waiting, r.decided = waiting[:kept], decided[:kept]
}
