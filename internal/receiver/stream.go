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

// The names of the server-sent events of a turn's stream.
const (
	eventChunk    = "chunk"
	eventComplete = "complete"
	eventError    = "error"
)

const contentStream = "text/event-stream"

// eventStream writes a turn's answer as server-sent events. The answer's status is
// sent with the first event, so that a refusal before it keeps its own status.
type eventStream struct {
	exchange *exchange
	mutex    sync.Mutex
	started  bool
	ended    bool
}

// streamTurn answers with chunks as they come and one last event.
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

// Chunk implements requester.Sink. A chunk after the last event is refused.
func (s *eventStream) Chunk(chunk generator.Chunk) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return eris.New("the stream has ended")
	}
	return s.writeEvent(eventChunk, chunk)
}

// fail ends the stream with the error; before the first event it is an
// ordinary refusal.
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

// finish ends the stream. If the last event could not be written the
// connection is cut, so that the caller can't take the answer for whole.
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
