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
	// boundedBuffer is how much may wait to be written: two seconds at the ceiling.
	boundedBuffer = 256 << 10
	// boundedRate is the ceiling of what is written in a second.
	boundedRate = 128 << 10
	// atomicWrite is the size up to which a write to a pipe is not mixed with the
	// writes of other processes (PIPE_BUF on Linux).
	atomicWrite = 4096
	// boundedFlush joins the lines of this time into one write.
	boundedFlush = 200 * time.Millisecond
)

// RateLimitedWriter is a writer that never blocks and never writes more than a fixed
// volume in a second. Lines that do not fit are dropped whole and counted.
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

// Write implements io.Writer for one whole line.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.buffer)+len(line) > boundedBuffer {
		b.dropped++
	} else {
		b.buffer = append(b.buffer, line...)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes until ctx ends, and then what is left.
func (b *RateLimitedWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			b.flush()
			return
		case <-b.wake:
		}
		timer := time.NewTimer(boundedFlush)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
		written := b.flush()
		// The pause after a large write keeps the mean below the ceiling.
		if over := time.Duration(written)*time.Second/boundedRate - boundedFlush; over > 0 {
			pause(ctx, over)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (b *RateLimitedWriter) flush() int {
	b.mu.Lock()
	out, dropped := b.buffer, b.dropped
	b.buffer, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "{\"Event\":%d,\"Name\":%q,\"Dropped\":%d}\n", eventDropped.Number, eventDropped.Name, dropped)
	}
	if len(out) == 0 {
		return 0
	}
	for rest := out; len(rest) > 0; {
		piece := wholeLines(rest)
		// There is nowhere to report a failed write to.
		_, _ = b.out.Write(piece)
		rest = rest[len(piece):]
	}
	return len(out)
}

// wholeLines returns as many of the first lines as fit into one atomic write, or
// the first line alone if it is longer.
func wholeLines(text []byte) []byte {
	if len(text) <= atomicWrite {
		return text
	}
	end := bytes.LastIndexByte(text[:atomicWrite], '\n')
	if end < 0 {
		end = bytes.IndexByte(text, '\n')
	}
	if end < 0 {
		return text
	}
	return text[:end+1]
}

var eventDropped = Define(5000, "LinesDropped", log.WarnLevel,
	"log lines were dropped because the ceiling of the log was reached",
	"None; the counters count every request.")
