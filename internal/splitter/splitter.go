// Package splitter splits a stream of server-sent events into events. Of their
// fields it parses id, as a number, and data.
package splitter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes limits one event; engines send a few hundred bytes.
const maxEventBytes = 1 << 20

// EventID is the number of an event in its stream. Numbers may begin at zero.
type EventID struct {
	// IsSet is false for no event.
	IsSet  bool
	Number int64
}

// NewEventID returns the ID with the number.
func NewEventID(number int64) EventID { return EventID{IsSet: true, Number: number} }

// String returns the number, or "none" if the ID is not set.
func (id EventID) String() string {
	if !id.IsSet {
		return "none"
	}
	return strconv.FormatInt(id.Number, 10)
}

// Event is one complete event.
type Event struct {
	// ID is the number in the id field; not set if there is none.
	ID EventID
	// Data is the value of the data fields, joined by line feeds.
	Data []byte
	// Raw is the event as received, including its final blank line.
	Raw []byte
}

// Splitter reads events. It is not safe for concurrent use.
type Splitter struct{ r *bufio.Reader }

// New returns a Splitter that reads from r.
func New(r *bufio.Reader) *Splitter { return &Splitter{r: r} }

// Next returns the next event, whose slices the caller may keep. The error is
// io.EOF if the stream ends between two events, io.ErrUnexpectedEOF if it ends
// within one, or the error of the reader.
func (s *Splitter) Next() (Event, error) {
	var e Event
	for {
		line, err := s.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.Raw) > maxEventBytes {
				return Event{}, eris.New("event longer than 1 MiB")
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
			return Event{}, eris.New("event longer than 1 MiB")
		}
	}
}

// atLineStart reports whether the last n bytes of raw are at the start of a line.
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
				e.ID = NewEventID(id)
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
