package splitter_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/splitter"
)

func TestSplitter(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []splitter.Event
		end        error
	}{
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []splitter.Event{
			{ID: splitter.NewEventID(1), Data: []byte("a"), Raw: []byte("id: 1\ndata: a\n\n")},
			{ID: splitter.NewEventID(2), Data: []byte("b"), Raw: []byte("id: 2\ndata: b\n\n")},
		}, io.EOF},
		{"other fields", "weight-versions: 3\nid: 7\ndata: a\ndata: b\n\n", []splitter.Event{
			{ID: splitter.NewEventID(7), Data: []byte("a\nb"), Raw: []byte("weight-versions: 3\nid: 7\ndata: a\ndata: b\n\n")},
		}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []splitter.Event{
			{ID: splitter.NewEventID(1), Data: []byte("a"), Raw: []byte("id: 1\r\ndata: a\r\n\r\n")},
		}, io.EOF},
		{"numbers from zero", "id: 0\ndata: a\n\n", []splitter.Event{
			{ID: splitter.NewEventID(0), Data: []byte("a"), Raw: []byte("id: 0\ndata: a\n\n")},
		}, io.EOF},
		{"no number", "id: a\ndata: a\n\n", []splitter.Event{
			{Data: []byte("a"), Raw: []byte("id: a\ndata: a\n\n")},
		}, io.EOF},
		{"partial event", "id: 1\ndata: a\n\nid: 2\nda", []splitter.Event{
			{ID: splitter.NewEventID(1), Data: []byte("a"), Raw: []byte("id: 1\ndata: a\n\n")},
		}, io.ErrUnexpectedEOF},
		{"no final blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"nothing", "", nil, io.EOF},
		{"long line", "id: 1\ndata: " + strings.Repeat("x", 9000) + "\n\n", []splitter.Event{
			{ID: splitter.NewEventID(1), Data: []byte(strings.Repeat("x", 9000)), Raw: []byte("id: 1\ndata: " + strings.Repeat("x", 9000) + "\n\n")},
		}, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// Reads of one byte are the smallest that a connection returns.
			s := splitter.New(bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(tc.text)), 16))
			var got []splitter.Event
			for {
				event, err := s.Next()
				if err != nil {
					if !errors.Is(err, tc.end) {
						t.Errorf("ended with %v, want %v", err, tc.end)
					}
					break
				}
				got = append(got, event)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
