package logger

import (
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
	// boundedFlush joins the lines of this time into one write.
	boundedFlush = 200 * time.Millisecond
)

// Bounded is a writer that never blocks and never writes more than a fixed
// volume in a second. Lines that do not fit are dropped whole and counted.
type Bounded struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	wake    chan struct{}
}

// NewBounded returns a Bounded; Run makes it write to out.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{out: out, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one whole line.
func (b *Bounded) Write(line []byte) (int, error) {
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
func (b *Bounded) Run(ctx context.Context) {
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

func (b *Bounded) flush() int {
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
	// There is nowhere to report a failed write to.
	_, _ = b.out.Write(out)
	return len(out)
}

var eventDropped = Define(5000, "LinesDropped", log.WarnLevel,
	"log lines were dropped because the ceiling of the log was reached",
	"None; the counters count every request.")
