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

// pipe takes writes until it is stuck.
type pipe struct {
	mu     sync.Mutex
	sizes  []int
	text   bytes.Buffer
	isFull chan struct{}
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.isFull != nil {
		<-p.isFull
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes = append(p.sizes, len(b))
	return p.text.Write(b)
}

func run(t *testing.T, p *pipe, test func(b *logger.RateLimitedWriter)) {
	synctest.Test(t, func(t *testing.T) {
		if p.isFull != nil {
			p.isFull = make(chan struct{})
		}
		b := logger.NewRateLimitedWriter(p)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.Run(ctx)
		}()
		test(b)
		if p.isFull != nil {
			close(p.isFull)
		}
		cancel()
		<-ended
	})
}

func write(t *testing.T, b *logger.RateLimitedWriter, line string) {
	t.Helper()
	if _, err := b.Write([]byte(line)); err != nil {
		t.Error(err)
	}
}

func TestBoundedWritesWholeLinesAtomically(t *testing.T) {
	p := &pipe{}
	line := strings.Repeat("x", 299) + "\n"
	run(t, p, func(b *logger.RateLimitedWriter) {
		for range 100 {
			write(t, b, line)
		}
		time.Sleep(time.Second)
	})
	if diff := cmp.Diff(strings.Repeat(line, 100), p.text.String()); diff != "" {
		t.Error("lines were lost or changed")
	}
	for _, size := range p.sizes {
		if size > 4096 || size%300 != 0 {
			t.Errorf("a write of %d bytes", size)
		}
	}
}

// A full pipe stalls nothing, and what was dropped is told afterwards.
func TestFullPipeStallsNothing(t *testing.T) {
	p := &pipe{isFull: make(chan struct{})}
	run(t, p, func(b *logger.RateLimitedWriter) {
		begun := time.Now()
		for range 10_000 {
			write(t, b, strings.Repeat("x", 299)+"\n")
		}
		if took := time.Since(begun); took > 0 {
			t.Errorf("writing took %v", took)
		}
	})
	if p.text.Len() > 1<<20 || !strings.Contains(p.text.String(), `"Dropped":`) {
		t.Errorf("%d bytes were written", p.text.Len())
	}
}

func TestVolumeIsBounded(t *testing.T) {
	p := &pipe{}
	run(t, p, func(b *logger.RateLimitedWriter) {
		for range 100 {
			for range 200 {
				write(t, b, strings.Repeat("x", 299)+"\n")
			}
			time.Sleep(100 * time.Millisecond)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if perSecond := p.text.Len() / 10; perSecond > 160<<10 {
			t.Errorf("%d bytes a second", perSecond)
		}
	})
}
