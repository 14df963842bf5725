package executor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/meter"
)

type recordingSink struct{ chunks []generator.Chunk }

// Chunk implements requester.Sink.
func (s *recordingSink) Chunk(chunk generator.Chunk) error {
	s.chunks = append(s.chunks, chunk)
	return nil
}

// TestRelayPassesLastTokens checks that the tokens in the engine's last chunk reach
// the caller, without the mark of the end of the engine's stream.
func TestRelayPassesLastTokens(t *testing.T) {
	sink := &recordingSink{}
	e := &Executor{
		observer: nopObserver{}, meter: meter.New(),
		pending: map[string]*pendingCommand{"request": {outbox: newOutbox(sink), startedAt: time.Now()}},
	}
	relay := e.newRelay(decider.Generate{Sink: "request"})
	for _, chunk := range []generator.Chunk{
		{Text: "one", Tokens: 1},
		{Offset: 1, Text: " two", Tokens: 1, Done: true, Usage: &generator.Usage{Generated: 2}},
		{Offset: 2, Done: true},
	} {
		if err := relay.Chunk(chunk); err != nil {
			t.Fatalf("Chunk: %v", err)
		}
	}
	want := []generator.Chunk{{Text: "one", Tokens: 1}, {Offset: 1, Text: " two", Tokens: 1}}
	e.pending["request"].outbox.forward()
	if diff := cmp.Diff(want, sink.chunks); diff != "" {
		t.Errorf("chunks that reached the caller: %s", diff)
	}
}

// TestRelayResumesAfterSilentAttempt checks that an attempt that replaces a stalled
// one sends the caller only the tokens that it has not received.
func TestRelayResumesAfterSilentAttempt(t *testing.T) {
	sink := &recordingSink{}
	o := &Executor{
		observer: nopObserver{}, meter: meter.New(),
		pending: map[string]*pendingCommand{"request": {outbox: newOutbox(sink), startedAt: time.Now()}},
	}
	words := []string{"one", " two", " three"}
	for _, end := range []int{2, 3} {
		relay := o.newRelay(decider.Generate{Sink: "request"})
		for offset, word := range words[:end] {
			if err := relay.Chunk(generator.Chunk{Offset: offset, Text: word, Tokens: 1}); err != nil {
				t.Fatalf("Chunk: %v", err)
			}
		}
	}
	want := []generator.Chunk{
		{Offset: 0, Text: "one", Tokens: 1}, {Offset: 1, Text: " two", Tokens: 1}, {Offset: 2, Text: " three", Tokens: 1},
	}
	o.pending["request"].outbox.forward()
	if diff := cmp.Diff(want, sink.chunks); diff != "" {
		t.Errorf("chunks that reached the caller: %s", diff)
	}
}
