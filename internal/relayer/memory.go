package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/sender"
)

const (
	// maxBufferedBytes limits a response body that is buffered before it is
	// forwarded.
	maxBufferedBytes = 8 << 20
	// unreservedBytes is the part of each body that needs no reservation, so that small
	// responses are served while others are large.
	unreservedBytes = 32 << 10
	// memoryPollInterval is the time between two attempts to reserve memory.
	memoryPollInterval = 10 * time.Millisecond
)

// errResponseTooLarge means that the body of a plain response exceeds maxBufferedBytes,
// or that all bodies together exceed the memory for them.
var errResponseTooLarge = eris.New("response body too large")

// memoryBudget limits the memory of what is buffered for all requests.
type memoryBudget struct{ free atomic.Int64 }

func newMemoryBudget(size int64) *memoryBudget {
	b := &memoryBudget{}
	b.free.Store(size)
	return b
}

// reservation returns an empty reservation, which must be released.
func (b *memoryBudget) reservation() *memoryReservation { return &memoryReservation{budget: b} }

// memoryReservation is the part of a memoryBudget that one request uses.
type memoryReservation struct {
	budget *memoryBudget
	size   int64
	// ctx limits the wait for memory; nil for no wait.
	ctx context.Context //nolint:containedctx // The reservation is that of one request.
}

// waitFor lets the reservation wait for memory until ctx ends. What was not read of a response stays at the
// endpoint meanwhile.
func (r *memoryReservation) waitFor(ctx context.Context) *memoryReservation {
	r.ctx = ctx
	return r
}

// grow adds n bytes to the reservation. It reports whether the budget has them. An empty reservation waits
// for them; another one does not, as those that wait could hold what the others need.
func (r *memoryReservation) grow(n int64) bool {
	for !r.tryGrow(n) {
		if r.ctx == nil || r.size > 0 {
			return false
		}
		timer := time.NewTimer(memoryPollInterval)
		select {
		case <-r.ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	return true
}

func (r *memoryReservation) tryGrow(n int64) bool {
	if r.budget.free.Add(-n) < 0 {
		r.budget.free.Add(n)
		return false
	}
	r.size += n
	return true
}

func (r *memoryReservation) release() {
	r.budget.free.Add(r.size)
	r.size = 0
}

// readResponse reads the whole body. The reservation covers what exceeds unreservedBytes.
func readResponse(response *sender.Response, reservation *memoryReservation) ([]byte, error) {
	var body bytes.Buffer
	if size := min(response.Length, maxBufferedBytes); size > unreservedBytes {
		if !reservation.grow(size - unreservedBytes) {
			return nil, eris.Wrapf(errResponseTooLarge, "no memory for %d bytes", size)
		}
		body.Grow(int(size) + bytes.MinRead)
	}
	for {
		_, err := io.CopyN(&body, response.Body, unreservedBytes)
		switch {
		case errors.Is(err, io.EOF) && body.Len() <= maxBufferedBytes:
			return body.Bytes(), nil
		case body.Len() > maxBufferedBytes:
			return nil, eris.Wrapf(errResponseTooLarge, "more than %d bytes", maxBufferedBytes)
		case err != nil:
			return nil, eris.Wrapf(err, "read the response body, %d bytes so far", body.Len())
		case int64(body.Len()) > reservation.size+unreservedBytes && !reservation.grow(unreservedBytes):
			return nil, eris.Wrapf(errResponseTooLarge, "no memory for more than %d bytes", body.Len())
		}
	}
}
