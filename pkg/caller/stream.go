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
	maxLineBytes     = 16 << 20
)

// Chunk is a part of a streamed answer.
type Chunk struct {
	// Offset is the index of the first token of Text in the complete answer.
	Offset int
	Text   string
	Tokens int
}

// Stream is the streamed answer to a turn. The answer is complete only if Next has
// returned false and Err returns nil. A Stream is not safe for concurrent use.
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

// Stream takes a turn and streams the answer. The Stream must be closed after use.
func (p *Program) Stream(ctx context.Context, input string, options ...TurnOption) (*Stream, error) {
	request, err := newCall(http.MethodPost, p.path("/turns"), p.newTurn(input, true, options))
	if err != nil {
		return nil, err
	}
	ctx, cancel := p.client.withTimeout(ctx)
	s := &Stream{program: p, cancel: cancel}
	err = p.client.retry(ctx, func(ctx context.Context) error {
		s.response, err = p.client.send(ctx, request) //nolint:bodyclose // Stream.Close closes the body.
		return err
	})
	if err != nil {
		cancel()
		return nil, err
	}
	s.lines = bufio.NewScanner(s.response.Body)
	s.lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return s, nil
}

// Next reads the next chunk and reports whether there was one.
func (s *Stream) Next() bool {
	for !s.ended {
		event, data, ok := s.event()
		if !ok {
			s.end(&Error{Kind: KindCut, Ran: Unknown, Detail: "the stream ended without a complete or error event", cause: s.lines.Err()})
			return false
		}
		if s.handle(event, data) {
			return true
		}
	}
	return false
}

// handle processes an event and reports whether it is a chunk.
func (s *Stream) handle(event string, data []byte) bool {
	switch event {
	case "chunk":
		s.chunk = Chunk{}
		return s.decode(data, &s.chunk)
	case "complete":
		if s.decode(data, &s.answer) {
			s.program.setChain(s.answer.Chain)
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
		s.end(&Error{Kind: KindCut, Ran: Unknown, Detail: "cannot decode an event of the stream", cause: err})
		return false
	}
	return true
}

// event reads the next event; ok is false if the stream ends before the empty line
// that terminates it.
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

// Chunk returns the chunk that was read by the last call of Next.
func (s *Stream) Chunk() Chunk { return s.chunk }

// Err returns the error that ended the stream, or nil if the answer is complete.
func (s *Stream) Err() error { return s.err }

// Answer returns the complete answer if Next has returned false and Err returns nil.
// Its Text takes precedence over that of the chunks, which may be incomplete.
func (s *Stream) Answer() Answer { return s.answer }

// Close closes the stream and cancels the request if the answer is not complete.
func (s *Stream) Close() {
	s.cancel()
	_ = s.response.Body.Close()
}
