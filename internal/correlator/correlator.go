// Package correlator owns the putting together of one request's or program's
// story from the log lines of several instances. It does not own the lines'
// meaning, which docs/EVENTS.md has.
package correlator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine bounds one log line.
const maxLine = 1 << 20

// Line is one line of a JSON log.
type Line struct {
	Time     time.Time
	Instance string
	Event    int
	Name     string
	Request  string
	Program  string
	// Previous is the turn that the line's request continues.
	Previous string
	// Fields has what the line says besides, in the order of the names.
	Fields []Field
}

// Field is one further value of a line.
type Field struct{ Name, Value string }

// Read reads the lines of a JSON log. Text before a line's first brace, such as
// a collector's prefix, and lines without an event are passed over; their number
// is returned.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrap(scanner.Err(), "read a log")
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var values map[string]any
	if err := json.Unmarshal(text[start:], &values); err != nil {
		return Line{}, false
	}
	number, ok := values["Event"].(float64)
	if !ok {
		return Line{}, false
	}
	line := Line{Event: int(number)}
	take := func(name string) string {
		value, _ := values[name].(string)
		delete(values, name)
		return value
	}
	delete(values, "Event")
	line.Name, line.Instance = take("Name"), take("Instance")
	line.Request, line.Program, line.Previous = take("Request"), take("Program"), take("Previous")
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	take("level")
	take("msg")
	for name, value := range values {
		line.Fields = append(line.Fields, Field{Name: name, Value: fmt.Sprint(value)})
	}
	sort.Slice(line.Fields, func(i, j int) bool { return line.Fields[i].Name < line.Fields[j].Name })
	return line, true
}

// Correlate returns the lines about the request or program with the ID, in order.
// Clocks of instances differ, so that a turn stands before those that continue
// it whatever the times say; the others stand by time.
func Correlate(lines []Line, id string) []Line {
	var story []Line
	for _, l := range lines {
		if l.Request == id || l.Program == id || l.Previous == id {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].Time.Before(story[j].Time) })
	byRequest := map[string][]int{}
	for i, l := range story {
		byRequest[l.Request] = append(byRequest[l.Request], i)
	}
	ordered := make([]Line, 0, len(story))
	placed := make([]bool, len(story))
	var place func(i int)
	place = func(i int) {
		if placed[i] {
			return
		}
		placed[i] = true
		if previous := story[i].Previous; previous != "" && previous != story[i].Request {
			for _, before := range byRequest[previous] {
				place(before)
			}
		}
		ordered = append(ordered, story[i])
	}
	for i := range story {
		place(i)
	}
	return ordered
}

// Write writes the story as text, a line each, with the time since the first.
func Write(w io.Writer, story []Line) error {
	for _, l := range story {
		var b strings.Builder
		fmt.Fprintf(&b, "%+9.3fs  %-14s %d %s", l.Time.Sub(story[0].Time).Seconds(), l.Instance, l.Event, l.Name)
		for _, f := range append([]Field{{"Request", l.Request}, {"Previous", l.Previous}}, l.Fields...) {
			if f.Value != "" {
				fmt.Fprintf(&b, " %s=%q", f.Name, f.Value)
			}
		}
		b.WriteByte('\n')
		if _, err := io.WriteString(w, b.String()); err != nil {
			return eris.Wrap(err, "write a story")
		}
	}
	return nil
}
