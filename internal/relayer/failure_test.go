package relayer

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/sender"
)

// A request is refused as not run only if no attempt may have run. Endpoints may go
// away between the attempts, so that the last ones reach none.
func TestFailedAttemptsRememberThatOneMayHaveRun(t *testing.T) {
	brokenOff := errors.New("connection reset")
	for _, tc := range []struct {
		name     string
		attempts []error
		want     bool
		wantErr  error
	}{
		{"none", nil, false, nil},
		{"not sent", []error{sender.ErrNotSent}, false, sender.ErrNotSent},
		{"refused", []error{sender.ErrNotSent, errNotRun}, false, errNotRun},
		{"broken off, then not sent", []error{errNotRun, brokenOff, sender.ErrNotSent}, true, brokenOff},
		{"broken off, then refused", []error{brokenOff, errNotRun}, true, brokenOff},
		{"too large", []error{eris.Wrap(errResponseTooLarge, "more")}, true, errResponseTooLarge},
	} {
		var f failedAttempts
		for _, err := range tc.attempts {
			f.add(err)
		}
		if diff := cmp.Diff(tc.want, f.mayHaveRun); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
		if !errors.Is(f.err, tc.wantErr) {
			t.Errorf("%s: error %v, want %v", tc.name, f.err, tc.wantErr)
		}
	}
}

// A response that exceeds the buffer was run by the endpoint.
func TestResponseBeyondTheBufferIsAnError(t *testing.T) {
	for size, want := range map[int]error{maxBufferedBytes: nil, maxBufferedBytes + 1: errResponseTooLarge} {
		response := &sender.Response{Body: bufio.NewReader(io.LimitReader(zeros{}, int64(size)))}
		if body, err := readResponse(response, newMemoryBudget(1<<30).reservation()); !errors.Is(err, want) || (err == nil && len(body) != size) {
			t.Errorf("%d bytes: %d read, %v", size, len(body), err)
		}
	}
	truncated := &sender.Response{Body: bufio.NewReader(io.MultiReader(strings.NewReader("half"), brokenReader{}))}
	if _, err := readResponse(truncated, newMemoryBudget(1<<30).reservation()); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated: %v", err)
	}
}

// Endpoints in trouble send bodies without end, to many callers at once. Together they
// take a bounded part of the memory, and small bodies pass beside them.
func TestEndlessBodiesTogetherAreBounded(t *testing.T) {
	const limit, concurrent = 32 << 20, 64
	budget := newMemoryBudget(limit)
	var mu sync.Mutex
	var held, most int
	var work sync.WaitGroup
	var begun sync.WaitGroup
	begun.Add(concurrent)
	for range concurrent {
		work.Go(func() {
			endless := countingReader{read: func(n int) {
				mu.Lock()
				defer mu.Unlock()
				held += n
				most = max(most, held)
			}}
			begun.Done()
			begun.Wait()
			reservation := budget.reservation()
			defer reservation.release()
			if _, err := readResponse(&sender.Response{Body: bufio.NewReader(&endless)}, reservation); !errors.Is(err, errResponseTooLarge) {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			held -= endless.n
		})
	}
	work.Wait()
	if allowed := limit + concurrent*2*unreservedBytes; most > allowed {
		t.Errorf("%d bytes held, allowed %d", most, allowed)
	}
	full := budget.reservation()
	defer full.release()
	for full.grow(1 << 20) {
	}
	small := &sender.Response{Body: bufio.NewReader(strings.NewReader("small"))}
	if body, err := readResponse(small, budget.reservation()); err != nil || string(body) != "small" {
		t.Errorf("%q, %v", body, err)
	}
}

// countingReader reads bytes without end.
type countingReader struct {
	n    int
	read func(n int)
}

func (r *countingReader) Read(b []byte) (int, error) {
	r.n += len(b)
	r.read(len(b))
	return len(b), nil
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
