// Package splitter splits a stream of server-sent events into events. Of their
// fields it parses id and data.
package splitter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxEventBytes limits one event; engines send a few hundred bytes.
const maxEventBytes = 1 << 20

// maxIDBytes limits the ID of an event, which is sent in a header where a stream resumes.
const maxIDBytes = 256

// EventID identifies an event in its stream. Most IDs are numbers, which may begin at zero.
type EventID struct {
	// IsSet is false for no event.
	IsSet bool
	// Number is the ID if Text is empty.
	Number int64
	// Text is an ID that is not a number in its usual form; empty for a number.
	Text string
}

// NewEventID returns the ID with the number.
func NewEventID(number int64) EventID { return EventID{IsSet: true, Number: number} }

// ParseEventID returns the ID with the text. It is not set if the text is empty or cannot be sent
// in a header.
func ParseEventID(text string) EventID {
	if number, err := strconv.ParseInt(text, 10, 64); err == nil && strconv.FormatInt(number, 10) == text {
		return NewEventID(number)
	}
	isUnsafe := func(c rune) bool { return c < ' ' || c == 0x7f }
	if text == "" || len(text) > maxIDBytes || strings.TrimSpace(text) != text || strings.ContainsFunc(text, isUnsafe) {
		return EventID{}
	}
	return EventID{IsSet: true, Text: text}
}

// String returns the ID as it was parsed, or "none" if it is not set.
func (id EventID) String() string {
	switch {
	case !id.IsSet:
		return "none"
	case id.Text != "":
		return id.Text
	}
	return strconv.FormatInt(id.Number, 10)
}

// MayFollow reports whether the ID may be that of an event after the one with the other ID, which
// may be not set: numbers increase, and texts differ.
func (id EventID) MayFollow(other EventID) bool {
	if !other.IsSet || id.Text != "" || other.Text != "" {
		return id != other
	}
	return id.Number > other.Number
}

// Event is one complete event.
type Event struct {
	// ID is the value of the id field; not set if there is none.
	ID EventID
	// Data is the value of the data fields, joined by line feeds; nil if there is none.
	Data []byte
	// Raw is the event as received, including its final blank line.
	Raw []byte
}

// IsEmpty reports whether the event has neither an ID nor data: it consists of comments, or of
// fields that concern the connection alone.
func (e Event) IsEmpty() bool { return !e.ID.IsSet && e.Data == nil }

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
	for line := range bytes.Lines(e.Raw) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = ParseEventID(string(value))
		case "data":
			if e.Data == nil {
				e.Data = []byte{}
			} else {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
		}
	}
	return e
}
