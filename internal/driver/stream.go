package driver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// lineLimit bounds one line of a stream, in bytes.
const lineLimit = 16 << 20

// serverEvent is one server-sent event.
type serverEvent struct {
	Name string
	Data string
}

// eventReader reads server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineLimit)
	return &eventReader{lines: lines}
}

// next returns the next event, or ErrCut at the end of the stream.
func (r *eventReader) next() (serverEvent, error) {
	var e serverEvent
	for r.lines.Scan() {
		line := r.lines.Text()
		if line == "" {
			if e.Data != "" {
				return e, nil
			}
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			e.Name = value
		case "data":
			e.Data += value
		}
	}
	if err := r.lines.Err(); err != nil {
		return e, fmt.Errorf("%w: %w", ErrCut, err)
	}
	return e, ErrCut
}

// decode reads the event's data as JSON.
func (e serverEvent) decode(value any) error {
	if err := json.Unmarshal([]byte(e.Data), value); err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return nil
}

// readTurn reads the stream of a turn to its end.
func readTurn(response *http.Response) (TurnAnswer, error) {
	var answer TurnAnswer
	if response.StatusCode >= http.StatusBadRequest {
		_, err := readAnswer(response)
		return answer, err
	}
	events := newEventReader(response.Body)
	for {
		e, err := events.next()
		if err != nil {
			return answer, err
		}
		switch e.Name {
		case "chunk":
			var chunk generator.Chunk
			if err := e.decode(&chunk); err != nil {
				return answer, err
			}
			answer.Stream.add(time.Now(), chunk)
		case "complete":
			return answer, e.decode(&answer.TurnReply)
		case "error":
			return answer, e.refusal()
		}
	}
}

// refusal returns the refusal that ends a stream.
func (e serverEvent) refusal() error {
	var wire wireRefusal
	if err := e.decode(&wire); err != nil {
		return err
	}
	return wire.refusal()
}
