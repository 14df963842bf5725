package executor

import (
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// outbox buffers the chunks that have not been sent to the caller, so that a slow or
// stalled caller does not block an engine's stream. Its size is bounded by the
// longest output of one turn. Calls to put may run concurrently with each other and
// with forward.
type outbox struct {
	sink  requester.Sink
	ready chan struct{}

	mu     sync.Mutex
	chunks []generator.Chunk
	// nextOffset is the offset after the last token added.
	nextOffset int
}

func newOutbox(sink requester.Sink) *outbox {
	return &outbox{sink: sink, ready: make(chan struct{}, 1)}
}

// put adds the chunk unless an earlier attempt has already delivered its tokens. The
// attempts at one turn use the same seed and thus generate the same tokens.
func (b *outbox) put(chunk generator.Chunk) {
	if b.sink == nil || !b.add(chunk) {
		return
	}
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *outbox) add(chunk generator.Chunk) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if chunk.Offset < b.nextOffset {
		return false
	}
	b.nextOffset = chunk.Offset + chunk.Tokens
	b.chunks = append(b.chunks, chunk)
	return true
}

// forward sends the buffered chunks to the caller. A write error does not end the
// attempt: a disconnected caller cancels the context of Do.
func (b *outbox) forward() {
	b.mu.Lock()
	chunks := b.chunks
	b.chunks = nil
	b.mu.Unlock()
	for _, chunk := range chunks {
		if b.sink.Chunk(chunk) != nil {
			return
		}
	}
}
