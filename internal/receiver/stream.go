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

// stream writes a turn's answer as server-sent events. The answer's status is
// sent with the first event, so that a refusal before it keeps its own status.
type stream struct {
	exchange *exchange
	mutex    sync.Mutex
	begun    bool
	ended    bool
}

// streamTurn answers with chunks as they come and one last event.
func streamTurn(x *exchange, command requester.Command) error {
	s := &stream{exchange: x}
	reply, err := x.do(command, s)
	if err == nil && reply.Turn == nil {
		err = wrongReply()
	}
	if err != nil {
		return s.fail(err)
	}
	return s.finish(eventComplete, reply.Turn)
}

// Chunk implements requester.Sink. A chunk after the last event is refused.
func (s *stream) Chunk(chunk generator.Chunk) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return eris.New("the stream has ended")
	}
	return s.send(eventChunk, chunk)
}

// fail ends the stream with the error; before the first event it is an
// ordinary refusal.
func (s *stream) fail(err error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	if !s.begun {
		return err
	}
	e := answerer.As(err)
	if sendErr := s.send(eventError, newErrorResponse(e, s.exchange.id)); sendErr != nil {
		s.exchange.receiver.log.Log(connectionFailed, "Request", s.exchange.id, "Cause", sendErr)
	}
	return e
}

// finish ends the stream. If the last event could not be written the
// connection is cut, so that the caller can't take the answer for whole.
func (s *stream) finish(event string, value any) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	if err := s.send(event, value); err != nil {
		s.exchange.receiver.log.Log(connectionFailed, "Request", s.exchange.id, "Cause", err)
	}
	return nil
}

// send writes one event and flushes it.
func (s *stream) send(event string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	s.begin()
	s.exchange.extendWrite()
	if _, err := s.exchange.writer.Write(encodeEvent(event, data)); err != nil {
		return eris.Wrap(err, "write event")
	}
	control := http.NewResponseController(s.exchange.writer)
	return eris.Wrap(control.Flush(), "flush event")
}

func (s *stream) begin() {
	if s.begun {
		return
	}
	s.begun = true
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
