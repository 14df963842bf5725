package executor

import (
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// outbox holds the chunks that a caller has not taken yet, so that a slow or
// silent caller never holds up an engine's stream. One turn's longest output
// bounds it.
type outbox struct {
	sink  requester.Sink
	ready chan struct{}

	mu     sync.Mutex
	chunks []generator.Chunk
	// nextOffset is the offset after the last token that was put.
	nextOffset int
}

func newOutbox(sink requester.Sink) *outbox {
	return &outbox{sink: sink, ready: make(chan struct{}, 1)}
}

// put adds the chunk unless an earlier attempt has already brought its tokens;
// attempts at one turn have the same seed, so that they agree.
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

// forward hands everything that waits to the caller. A caller that cannot be
// written to does not end the attempt; its leaving is told apart.
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
