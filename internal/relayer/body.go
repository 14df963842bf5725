package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/accepter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/reserver"
)

const (
	// smallBodyBytes is the size up to which bodies have memory of their own, so that usual
	// requests don't wait for large ones.
	smallBodyBytes = 64 << 10
	// chunkedBodyFactor is the memory for reading a body of unknown length, in multiples of it: it
	// is copied while it grows.
	chunkedBodyFactor = 3
	// maxBodyWait limits the wait of a large body for memory, and maxFirstBodyWait that of one
	// which belongs to no program under way. Callers give up an idempotent request that is not
	// read within a second.
	maxBodyWait      = 750 * time.Millisecond
	maxFirstBodyWait = 500 * time.Millisecond
	// bodyWaitDivisor limits the wait to a part of the time until the deadline.
	bodyWaitDivisor = 4
	// bodyReturnAfter is the least Retry-After time of a request without memory for its body, and
	// bodyReturnSpread the interval over which callers return.
	bodyReturnAfter  = 300 * time.Millisecond
	bodyReturnSpread = 700 * time.Millisecond
	// maxDiscardTime limits how long the body of a refused request is read.
	maxDiscardTime = 2 * time.Second
)

// errBodyTooLarge means that the body exceeds the configured limit.
var errBodyTooLarge = eris.New("the body is larger than the limit")

// bodyWait returns how long a request may wait for the memory of its body.
func bodyWait(isUnderWay bool, timeLeft time.Duration) time.Duration {
	limit := maxFirstBodyWait
	if isUnderWay {
		limit = maxBodyWait
	}
	return max(min(limit, timeLeft/bodyWaitDivisor), 0)
}

// bodyMemory is the memory for the bodies of all requests.
type bodyMemory struct {
	small, large *reserver.Reserver
	readers      bodyReaders
}

func newReserver(size int64) *reserver.Reserver {
	if size == 0 {
		size = defaultMaxBodyBytes
	}
	return reserver.New(size)
}

// bodyReservation is the memory of one request's body.
type bodyReservation struct {
	memory       *bodyMemory
	small, large int64
}

// reserve adds to the reservation. It waits for a large body, or if the memory for small ones is in
// use.
func (r *bodyReservation) reserve(ctx context.Context, request reserver.Request, isSmall bool, maxWait time.Duration) error {
	if isSmall && r.memory.small.TryReserve(request.Size) {
		r.small += request.Size
		return nil
	}
	if r.memory.large.TryReserve(request.Size) {
		r.large += request.Size
		return nil
	}
	defer r.memory.readers.startEvicting()()
	if err := r.memory.large.Reserve(ctx, request, maxWait); err != nil {
		return err
	}
	r.large += request.Size
	return nil
}

// shrink reduces a reservation of memory for small bodies to the size.
func (r *bodyReservation) shrink(size int64) {
	if size > 0 && size < r.small {
		r.memory.small.Release(r.small - size)
		r.small = size
	}
}

func (r *bodyReservation) release() {
	if r.small > 0 {
		r.memory.small.Release(r.small)
	}
	if r.large > 0 {
		r.memory.large.Release(r.large)
	}
	r.small, r.large = 0, 0
}

// readBody reads the request's body, for which it reserves memory before. If it reports false, the
// request has been refused.
func (x *exchange) readBody(r *http.Request) bool {
	limit := maxBodyBytes(x.table)
	if r.ContentLength == 0 {
		x.access.readTime = time.Since(x.arrival)
		return true
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	body, isRefused, err := x.receiveBodyUnlessStopping(ctx, cancel, r, limit)
	switch {
	case isRefused:
		x.discardBody(r)
		return false
	case errors.Is(err, errBodyTooLarge) && !x.isBodyLimitConfirmed(ctx, limit):
		refused := newUnconfirmed("it can't be confirmed that the body is larger than the limit")
		x.refuseUnread(refused.err, refused.reason)
		return false
	case errors.Is(err, reserver.ErrTooLarge), errors.Is(err, errBodyTooLarge):
		x.writer.Header().Set("Connection", "close")
		x.refuse(answerer.Wrap(answerer.TooLarge, err, "the body is larger than the limit of %d bytes or than the memory for bodies", limit), "BodyLength")
		return false
	case errors.Is(err, reserver.ErrFull):
		x.refuseUnread(x.newMemoryFull(err), "BodyMemory")
		x.discardBody(r)
		return false
	case errors.Is(err, errBodyEvicted), errors.Is(err, accepter.ErrEvicted):
		x.refuseUnread(x.newMemoryFull(err), "BodyStalled")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuseUnread(answerer.Wrap(answerer.DeadlineNotRun, err, "the body was not complete at the deadline"), "BodyDeadline")
		return false
	case err != nil:
		// The caller stopped sending, so the connection cannot be reused.
		x.abort("Canceled", err)
	}
	x.body, x.access.readTime = body, time.Since(x.arrival)
	return true
}

// receiveBodyUnlessStopping is receiveBody until the instance can no longer pass the request on, which is
// then refused.
func (x *exchange) receiveBodyUnlessStopping(ctx context.Context, cancel context.CancelFunc, r *http.Request, limit int64) (body []byte, isRefused bool, err error) {
	watch := x.watchBody(cancel)
	// A panic of the body's reader must end it, too: net/http ends the response then.
	defer func() { isRefused = watch.end() }()
	body, err = x.receiveBody(ctx, r, limit)
	return body, false, err
}

// newMemoryFull returns the error of a request that has not been passed on for lack of memory.
func (x *exchange) newMemoryFull(cause error) *answerer.Error {
	after := bodyReturnAfter + time.Duration(randomFraction()*float64(bodyReturnSpread))
	return answerer.Wrap(answerer.BacklogFull, cause, "the memory for request bodies is in use").WithRetryAfter(min(after, x.timeLeft()/3))
}

// reserveMemory reserves memory for what a request needs beside its body until the exchange ends.
func (x *exchange) reserveMemory(size int64) error {
	isUnderWay := x.isUnderWay()
	request := reserver.Request{Size: size, IsUnderWay: isUnderWay, Priority: x.priority()}
	return x.memory.reserve(x.ctx, request, size <= smallBodyBytes, bodyWait(isUnderWay, x.timeLeft()))
}

// receiveBody reserves memory for the body and reads it. A caller that stops sending must not keep the
// memory from others: the body must be complete at the deadline, and, while others wait for memory, go on.
func (x *exchange) receiveBody(ctx context.Context, r *http.Request, limit int64) ([]byte, error) {
	isUnderWay := x.isUnderWay()
	request := reserver.Request{Size: r.ContentLength, IsUnderWay: isUnderWay, Priority: x.priority()}
	var start []byte
	if r.ContentLength < 0 {
		request.Size = chunkedBodyFactor * smallBodyBytes
		if err := x.memory.reserve(ctx, request, true, bodyWait(isUnderWay, x.timeLeft())); err != nil {
			return nil, err
		}
		var buffer bytes.Buffer
		reader, err := x.startReading(r.Body)
		if err != nil {
			return nil, err
		}
		n, err := func() (int64, error) {
			defer reader.end()
			return io.CopyN(&buffer, reader, min(smallBodyBytes, limit)+1)
		}()
		switch {
		case errors.Is(err, io.EOF) && n <= limit:
			x.memory.shrink(int64(buffer.Cap()))
			return buffer.Bytes(), nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		case n > limit:
			return nil, eris.Wrapf(errBodyTooLarge, "more than %d bytes", limit)
		}
		start, request.Size = buffer.Bytes(), min(limit+1, x.memory.memory.large.Size())
	}
	isSmall := r.ContentLength >= 0 && r.ContentLength <= smallBodyBytes
	if err := x.memory.reserve(ctx, request, isSmall, bodyWait(isUnderWay, x.timeLeft())); err != nil {
		return nil, err
	}
	reader, err := x.startReading(r.Body)
	if err != nil {
		return nil, err
	}
	defer reader.end()
	body := make([]byte, request.Size)
	if r.ContentLength >= 0 {
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	n := copy(body, start)
	for n < len(body) {
		read, err := reader.Read(body[n:])
		n += read
		if errors.Is(err, io.EOF) && int64(n) <= limit {
			return body[:n], nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return nil, eris.Wrapf(errBodyTooLarge, "%d bytes and more", n)
}

// refuseUnread refuses a request whose body has not been read to its end.
func (x *exchange) refuseUnread(e *answerer.Error, reason string) {
	x.writer.Header().Set("Connection", "close")
	controller := http.NewResponseController(x.writer)
	// Without it, HTTP/1 responses would wait for the rest of the body. The handler reads it, so that
	// the caller gets the response even if it sends all before.
	err := controller.EnableFullDuplex()
	x.refuse(e, reason)
	if err = errors.Join(err, controller.Flush()); err != nil {
		x.access.cause = err
	}
}

// discardBody reads the rest of a refused request's body.
func (x *exchange) discardBody(r *http.Request) {
	if r.Header.Get("Expect") != "" {
		return // The caller sends none without a response that asks for it.
	}
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(maxDiscardTime)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // The caller may close the connection once it has the response.
}
