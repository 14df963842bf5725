// Package splitter owns the division of an event stream into its events. It
// does not own what an event means.
package splitter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event; engines send some hundred bytes.
const maxEventBytes = 1 << 20

// Event is one whole event.
type Event struct {
	// ID is the event's number; zero if it has none.
	ID int64
	// Data is the text of its data lines, joined by line feeds.
	Data []byte
	// Raw is the event as it was received, with its closing blank line.
	Raw []byte
}

// Splitter reads events.
type Splitter struct{ r *bufio.Reader }

// New returns a Splitter of the stream.
func New(r *bufio.Reader) *Splitter { return &Splitter{r: r} }

// Next returns the next event. The error is io.EOF at a clean end,
// io.ErrUnexpectedEOF where the stream ends within an event, or the reader's.
// The event's bytes are the caller's.
func (s *Splitter) Next() (Event, error) {
	var e Event
	for {
		line, err := s.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.Raw) > maxEventBytes {
				return Event{}, eris.New("an event is too long")
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Raw)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && bytes.HasSuffix(e.Raw, line) && atLineStart(e.Raw, len(line)) {
			if len(bytes.TrimSpace(e.Raw)) == 0 {
				e.Raw = e.Raw[:0]
				continue
			}
			return parse(e), nil
		}
		if len(e.Raw) > maxEventBytes {
			return Event{}, eris.New("an event is too long")
		}
	}
}

// atLineStart says whether the last n bytes begin a line.
func atLineStart(raw []byte, n int) bool {
	return len(raw) == n || raw[len(raw)-n-1] == '\n'
}

func parse(e Event) Event {
	first := true
	for line := range bytes.Lines(e.Raw) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				e.ID = id
			}
		case "data":
			if !first {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			first = false
		}
	}
	return e
}
