package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/reserver"
)

// deadlineRecorder is a ResponseRecorder with a read deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetReadDeadline implements the method that http.ResponseController uses.
func (r *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	r.deadline = deadline
	return nil
}

// truncatedBody ends like a chunked body without its last chunk.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against truncated bodies that are taken for complete ones, bodies beyond the limit, read
// deadlines that remain, and memory that is not returned.
func TestReceiveBody(t *testing.T) {
	const limit, memory = 1 << 20, 2 << 20
	for name, tc := range map[string]struct {
		size        int64
		isChunked   bool
		isTruncated bool
		want        error
	}{
		"small":               {size: 10},
		"large":               {size: limit},
		"small truncated":     {size: 10, isTruncated: true, want: io.ErrUnexpectedEOF},
		"large truncated":     {size: limit, isTruncated: true, want: io.ErrUnexpectedEOF},
		"small chunks":        {size: 10, isChunked: true},
		"usual chunks":        {size: smallBodyBytes, isChunked: true},
		"chunks":              {size: smallBodyBytes + 1, isChunked: true},
		"large chunks":        {size: limit, isChunked: true},
		"too many chunks":     {size: limit + 1, isChunked: true, want: errBodyTooLarge},
		"chunks end early":    {size: 10, isChunked: true, isTruncated: true, want: io.ErrUnexpectedEOF},
		"many chunks, no end": {size: limit / 2, isChunked: true, isTruncated: true, want: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			rl := New(Config{MaxSmallBodyBytes: memory, MaxLargeBodyBytes: memory})
			writer := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			x := &exchange{
				Relayer: rl, writer: writer, route: &matcher.Route{}, deadline: time.Now().Add(time.Minute),
				memory: bodyReservation{memory: rl.bodies},
			}
			text := strings.Repeat("x", int(tc.size))
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(text))
			if tc.isTruncated {
				r.Body = io.NopCloser(truncatedBody{strings.NewReader(text[:len(text)/2])})
			}
			if tc.isChunked {
				r.ContentLength = -1
			}
			body, err := x.receiveBody(t.Context(), r, limit)
			if diff := cmp.Diff(tc.want, err, cmpopts.EquateErrors()); diff != "" {
				t.Fatal(diff)
			}
			if err == nil && string(body) != text {
				t.Errorf("%d bytes read of %d", len(body), len(text))
			}
			if !writer.deadline.IsZero() {
				t.Error("the read deadline remains")
			}
			if tc.isChunked && tc.size <= smallBodyBytes && (x.memory.large > 0 || err == nil && x.memory.small > 2*smallBodyBytes) {
				t.Errorf("a small body has %d and %d bytes reserved", x.memory.small, x.memory.large)
			}
			x.memory.release()
			if !rl.bodies.small.TryReserve(memory) || !rl.bodies.large.TryReserve(memory) {
				t.Error("memory was not returned")
			}
		})
	}
}

// Guards against small bodies that wait for large ones, and against waits beyond the limit.
func TestSmallBodiesDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 4 << 20
		memory := &bodyMemory{small: reserver.New(smallBodyBytes), large: reserver.New(size)}
		reserve := func(size int64) (time.Duration, error) {
			start := time.Now()
			r := bodyReservation{memory: memory}
			err := r.reserve(t.Context(), reserver.Request{Size: size}, size <= smallBodyBytes, time.Second)
			return time.Since(start), err
		}
		if waited, err := reserve(size); waited != 0 || err != nil {
			t.Fatal(waited, err)
		}
		if waited, err := reserve(smallBodyBytes + 1); waited != time.Second || !errors.Is(err, reserver.ErrFull) {
			t.Errorf("a large body waited for %s, %v", waited, err)
		}
		if waited, err := reserve(smallBodyBytes); waited != 0 || err != nil {
			t.Errorf("a small body waited for %s, %v", waited, err)
		}
		if waited, err := reserve(1); waited != time.Second || !errors.Is(err, reserver.ErrFull) {
			t.Errorf("a small body without memory waited for %s, %v", waited, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r := bodyReservation{memory: memory}
		if err := r.reserve(ctx, reserver.Request{Size: size}, false, time.Hour); !errors.Is(err, reserver.ErrFull) {
			t.Error(err)
		}
	})
}

// Guards against waits after which callers have left or no time remains, and requests of programs
// under way that wait less than others.
func TestBodyWait(t *testing.T) {
	for name, tc := range map[string]struct {
		isUnderWay bool
		timeLeft   time.Duration
		want       time.Duration
	}{
		"first":               {false, time.Minute, maxFirstBodyWait},
		"under way":           {true, time.Minute, maxBodyWait},
		"little time":         {true, time.Second, 250 * time.Millisecond},
		"the deadline passed": {true, -time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, bodyWait(tc.isUnderWay, tc.timeLeft)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
