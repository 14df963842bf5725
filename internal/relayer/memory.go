package relayer

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/sender"
)

const (
	// maxBufferedBytes limits a response body that is buffered before it is
	// forwarded.
	maxBufferedBytes = 8 << 20
	// unreservedBytes is the part of each body that needs no reservation, so that small
	// responses are served while others are large.
	unreservedBytes = 256 << 10
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
}

// grow adds n bytes to the reservation. It reports whether the budget has them.
func (r *memoryReservation) grow(n int64) bool {
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
	for {
		_, err := io.CopyN(&body, response.Body, unreservedBytes)
		switch {
		case errors.Is(err, io.EOF) && body.Len() <= maxBufferedBytes:
			return body.Bytes(), nil
		case body.Len() > maxBufferedBytes:
			return nil, eris.Wrapf(errResponseTooLarge, "more than %d bytes", maxBufferedBytes)
		case err != nil:
			return nil, eris.Wrapf(err, "read the response body, %d bytes so far", body.Len())
		case !reservation.grow(unreservedBytes):
			return nil, eris.Wrapf(errResponseTooLarge, "no memory for more than %d bytes", body.Len())
		}
	}
}
