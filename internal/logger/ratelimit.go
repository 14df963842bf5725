package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxBufferedBytes limits the unwritten lines to two seconds of output at the maximum rate.
	maxBufferedBytes = 256 << 10
	// maxBytesPerSecond is the maximum mean output rate.
	maxBytesPerSecond = 128 << 10
	// maxAtomicWriteBytes is the size up to which a write to a pipe is not interleaved
	// with writes of other processes (PIPE_BUF on Linux).
	maxAtomicWriteBytes = 4096
	// flushInterval is the time for which lines are collected before they are written.
	flushInterval = 200 * time.Millisecond
)

// RateLimitedWriter buffers log lines and writes them at a limited rate. Write never
// blocks on the output: a line that does not fit into the buffer is dropped and
// counted, and the count is written as a LinesDropped event. Write is safe for
// concurrent use.
type RateLimitedWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	wake    chan struct{}
}

// NewRateLimitedWriter returns a RateLimitedWriter. Run writes its buffer to out.
func NewRateLimitedWriter(out io.Writer) *RateLimitedWriter {
	return &RateLimitedWriter{out: out, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer. Each call must pass one complete line.
func (w *RateLimitedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
	} else {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes buffered lines until ctx is canceled, and then the remaining ones.
func (w *RateLimitedWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
		written := w.flush()
		// The delay after a large write keeps the mean rate below the maximum.
		if delay := time.Duration(written)*time.Second/maxBytesPerSecond - flushInterval; delay > 0 {
			sleep(ctx, delay)
		}
	}
}

// Flush writes the buffered lines at once, for a process that is about to end.
func (w *RateLimitedWriter) Flush() { w.flush() }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (w *RateLimitedWriter) flush() int {
	w.mu.Lock()
	out, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "{\"Event\":%d,\"Name\":%q,\"Dropped\":%d}\n", eventDropped.Number, eventDropped.Name, dropped)
	}
	if len(out) == 0 {
		return 0
	}
	for rest := out; len(rest) > 0; {
		chunk := nextWrite(rest)
		// A failed write of the log cannot be reported.
		_, _ = w.out.Write(chunk)
		rest = rest[len(chunk):]
	}
	return len(out)
}

// nextWrite returns the leading lines that fit into one atomic write, or the
// first line alone if it is longer.
func nextWrite(lines []byte) []byte {
	if len(lines) <= maxAtomicWriteBytes {
		return lines
	}
	end := bytes.LastIndexByte(lines[:maxAtomicWriteBytes], '\n')
	if end < 0 {
		end = bytes.IndexByte(lines, '\n')
	}
	if end < 0 {
		return lines
	}
	return lines[:end+1]
}

var eventDropped = Define(5000, "LinesDropped", log.WarnLevel,
	"log lines were dropped because the log buffer was full",
	"None; the metrics still count every request.")
