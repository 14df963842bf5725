package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
)

const (
	initialLineBytes = 4 << 10
	maximumLineBytes = 16 << 20
)

// Chunk is a part of an answer.
type Chunk struct {
	// Offset is the index of the first token of Text in the whole answer.
	Offset int
	Text   string
	Tokens int
}

// Stream is the answer to a turn as it comes. It is whole only if Next
// returned false and Err is nil. It is not safe for concurrent use.
type Stream struct {
	program  *Program
	response *http.Response
	lines    *bufio.Scanner
	cancel   context.CancelFunc
	chunk    Chunk
	answer   Answer
	err      error
	ended    bool
}

// Stream takes a turn and returns its answer as it comes. Close it.
func (p *Program) Stream(ctx context.Context, input string, options ...TurnOption) (*Stream, error) {
	request, err := newCall(http.MethodPost, p.path("/turns"), p.newTurn(input, true, options))
	if err != nil {
		return nil, err
	}
	ctx, cancel := p.client.bound(ctx)
	s := &Stream{program: p, cancel: cancel}
	err = p.client.retry(ctx, func(ctx context.Context) error {
		s.response, err = p.client.send(ctx, request) //nolint:bodyclose // Close closes it.
		return err
	})
	if err != nil {
		cancel()
		return nil, err
	}
	s.lines = bufio.NewScanner(s.response.Body)
	s.lines.Buffer(make([]byte, 0, initialLineBytes), maximumLineBytes)
	return s, nil
}

// Next reads the next chunk and reports whether there is one.
func (s *Stream) Next() bool {
	for !s.ended {
		event, data, ok := s.event()
		if !ok {
			s.end(&Error{Kind: KindCut, Ran: Unknown, Detail: "the stream ended before its end mark", cause: s.lines.Err()})
			return false
		}
		if s.take(event, data) {
			return true
		}
	}
	return false
}

// take handles one event and reports whether it is a chunk.
func (s *Stream) take(event string, data []byte) bool {
	switch event {
	case "chunk":
		s.chunk = Chunk{}
		return s.decode(data, &s.chunk)
	case "complete":
		if s.decode(data, &s.answer) {
			s.program.advance(s.answer.Chain)
			s.end(nil)
		}
	case "error":
		var wire wireError
		if s.decode(data, &wire) {
			s.end(wire.err(s.response.StatusCode))
		}
	}
	return false
}

func (s *Stream) decode(data []byte, value any) bool {
	if err := json.Unmarshal(data, value); err != nil {
		s.end(&Error{Kind: KindCut, Ran: Unknown, Detail: "an event could not be read", cause: err})
		return false
	}
	return true
}

// event reads one event that is closed by an empty line.
func (s *Stream) event() (name string, data []byte, ok bool) {
	for s.lines.Scan() {
		line := s.lines.Text()
		if line == "" && data != nil {
			return name, data, true
		}
		field, value, _ := strings.Cut(line, ": ")
		switch field {
		case "event":
			name = value
		case "data":
			data = append(data, value...)
		}
	}
	return "", nil, false
}

func (s *Stream) end(err error) {
	s.ended = true
	s.err = err
}

// Chunk returns the chunk that Next read.
func (s *Stream) Chunk() Chunk { return s.chunk }

// Err returns why the stream ended; nil if the answer is whole.
func (s *Stream) Err() error { return s.err }

// Answer returns the whole answer once Next returned false and Err is nil. Its
// Text is the answer; the chunks are a preview of it.
func (s *Stream) Answer() Answer { return s.answer }

// Close ends the stream. An answer that isn't whole yet is given up.
func (s *Stream) Close() {
	s.cancel()
	_ = s.response.Body.Close()
}
