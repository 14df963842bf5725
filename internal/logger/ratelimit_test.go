package logger_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// pipe records writes. If unblock is set, writes block until it is closed.
type pipe struct {
	mu      sync.Mutex
	sizes   []int
	text    bytes.Buffer
	unblock chan struct{}
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.unblock != nil {
		<-p.unblock
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes = append(p.sizes, len(b))
	return p.text.Write(b)
}

func runWriter(t *testing.T, p *pipe, test func(b *logger.RateLimitedWriter)) {
	synctest.Test(t, func(t *testing.T) {
		if p.unblock != nil {
			p.unblock = make(chan struct{})
		}
		b := logger.NewRateLimitedWriter(p)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.Run(ctx)
		}()
		test(b)
		if p.unblock != nil {
			close(p.unblock)
		}
		cancel()
		<-ended
	})
}

func writeLine(t *testing.T, b *logger.RateLimitedWriter, line string) {
	t.Helper()
	if _, err := b.Write([]byte(line)); err != nil {
		t.Error(err)
	}
}

func TestWritesAreAtomicAndHoldWholeLines(t *testing.T) {
	p := &pipe{}
	line := strings.Repeat("x", 299) + "\n"
	runWriter(t, p, func(b *logger.RateLimitedWriter) {
		for range 100 {
			writeLine(t, b, line)
		}
		time.Sleep(time.Second)
	})
	if diff := cmp.Diff(strings.Repeat(line, 100), p.text.String()); diff != "" {
		t.Error("the output differs from the lines written")
	}
	for _, size := range p.sizes {
		if size > 4096 || size%300 != 0 {
			t.Errorf("a write of %d bytes is not atomic or splits a line", size)
		}
	}
}

// Write does not block while the output does, and the number of dropped lines is
// written afterwards.
func TestFullPipeDoesNotBlockWriters(t *testing.T) {
	p := &pipe{unblock: make(chan struct{})}
	runWriter(t, p, func(b *logger.RateLimitedWriter) {
		begun := time.Now()
		for range 10_000 {
			writeLine(t, b, strings.Repeat("x", 299)+"\n")
		}
		if took := time.Since(begun); took > 0 {
			t.Errorf("Write blocked for %v", took)
		}
	})
	if p.text.Len() > 1<<20 || !strings.Contains(p.text.String(), `"Dropped":`) {
		t.Errorf("%d bytes written without the limit or the number of dropped lines", p.text.Len())
	}
}

func TestOutputRateIsLimited(t *testing.T) {
	p := &pipe{}
	runWriter(t, p, func(b *logger.RateLimitedWriter) {
		for range 100 {
			for range 200 {
				writeLine(t, b, strings.Repeat("x", 299)+"\n")
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if perSecond := p.text.Len() / 10; perSecond > 160<<10 {
			t.Errorf("the mean rate is %d bytes per second", perSecond)
		}
	})
}
