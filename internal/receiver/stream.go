package receiver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// The names of the server-sent events of a streamed turn.
const (
	eventChunk    = "chunk"
	eventComplete = "complete"
	eventError    = "error"
)

const contentStream = "text/event-stream"

// eventStream writes the response to a turn as server-sent events. It sends the
// status with the first event, so that an error before that has its own status.
type eventStream struct {
	exchange *exchange
	mutex    sync.Mutex
	started  bool
	ended    bool
}

// streamTurn runs the command and streams its chunks, followed by one final event.
func streamTurn(x *exchange, command requester.Command) error {
	s := &eventStream{exchange: x}
	reply, err := x.do(command, s)
	if err == nil && reply.Turn == nil {
		err = errUnexpectedReply()
	}
	if err != nil {
		return s.fail(err)
	}
	return s.finish(eventComplete, reply.Turn)
}

// Chunk implements requester.Sink. It returns an error after the final event.
func (s *eventStream) Chunk(chunk generator.Chunk) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return eris.New("event stream has ended")
	}
	return s.writeEvent(eventChunk, chunk)
}

// fail ends the stream with an error event. Before the first event it only
// returns the error, which is then written as an ordinary error response.
func (s *eventStream) fail(err error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	if !s.started {
		return err
	}
	e := answerer.As(err)
	if sendErr := s.writeEvent(eventError, newErrorResponse(e, s.exchange.id)); sendErr != nil {
		s.exchange.receiver.log.Log(connectionFailed, "Request", s.exchange.id, "Cause", sendErr)
	}
	return e
}

// finish ends the stream with the final event. If the write fails the caller sees
// a stream without a final event and cannot take it for complete.
func (s *eventStream) finish(event string, value any) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	if err := s.writeEvent(event, value); err != nil {
		s.exchange.receiver.log.Log(connectionFailed, "Request", s.exchange.id, "Cause", err)
	}
	return nil
}

// writeEvent writes one event and flushes it.
func (s *eventStream) writeEvent(event string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	s.writeHeader()
	s.exchange.setWriteDeadline()
	if _, err := s.exchange.writer.Write(encodeEvent(event, data)); err != nil {
		return eris.Wrap(err, "write event")
	}
	control := http.NewResponseController(s.exchange.writer)
	return eris.Wrap(control.Flush(), "flush event")
}

func (s *eventStream) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	s.exchange.writer.Header().Set("Content-Type", contentStream)
	s.exchange.writer.WriteHeader(http.StatusOK)
}

func encodeEvent(event string, data []byte) []byte {
	var b bytes.Buffer
	b.WriteString("event: ")
	b.WriteString(event)
	b.WriteString("\ndata: ")
	b.Write(data)
	b.WriteString("\n\n")
	return b.Bytes()
}
