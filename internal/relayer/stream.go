package relayer

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/closer"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/sender"
	"github.com/wigeonstand/wigeonstand/internal/splitter"
)

// isEventStream reports whether the response may be the rest of a stream. One without a body
// would end the caller's stream as if it were complete.
func isEventStream(response *sender.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && response.Status == http.StatusOK && response.Length != 0
}

// forwardEvents forwards the events of the candidate as they arrive.
func (t *turn) forwardEvents(c registrar.Candidate, response *sender.Response) error {
	events := splitter.New(response.Body)
	follower := t.numberings.follow(resumer.Origin{Service: c.Service, Version: c.Version}, t.lastEvent)
	controller := http.NewResponseController(t.writer)
	before := t.eventCount
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !response.IsFramed && t.attempt.isPartial && t.eventCount == before {
				return errInvalidResponse // The connection may as well have failed.
			}
			if t.attempt.isPartial && isEventStream(response) {
				t.writeHead(response) // The caller has all events.
			}
			return nil
		}
		if err != nil {
			return err
		}
		if !event.IsEmpty() {
			t.attempt.count()
		}
		switch follower.next(event.ID) {
		case isRepeated:
			continue // A resumed stream may repeat forwarded events.
		case isBehindGap:
			return errInvalidResponse
		}
		t.begin(c, response.ConnectedAt)
		t.writeHead(response)
		t.servedBy = c.ID
		if _, err := t.writer.Write(event.Raw); err != nil {
			return errors.Join(errCallerDisconnected, err)
		}
		if !event.IsEmpty() {
			t.recordEvent(event)
		}
		if err := controller.Flush(); err != nil {
			return errors.Join(errCallerDisconnected, err)
		}
	}
}

// recordEvent records an event that was written to the caller.
func (t *turn) recordEvent(event splitter.Event) {
	t.eventCount++
	t.hasUnnamed = !event.ID.IsSet
	if event.ID.IsSet {
		t.hasFallen = t.hasFallen || !event.ID.MayFollow(t.lastEvent)
		t.lastEvent = event.ID
	}
	if t.route.Retained {
		t.output = append(append(t.output, event.Data...), '\n')
	}
}

// writeHead writes the status and the header of the first endpoint that sent an
// event.
func (t *turn) writeHead(response *sender.Response) {
	if t.isHeadWritten {
		return
	}
	t.isHeadWritten = true
	t.access.firstEvent = time.Since(t.arrival)
	t.Metrics.ObserveFirstEvent(t.access.firstEvent)
	if t.hasNoChunks {
		t.completeResponse = closer.ResetUntilComplete(t.ctx)
	}
	t.Dialect.EncodeResponse(response.Header, t.writer.Header())
	t.writer.WriteHeader(response.Status)
	t.access.status = response.Status
}
