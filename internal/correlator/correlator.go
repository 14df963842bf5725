// Package correlator collects the log lines of a request or program from the JSON
// logs of several instances and orders them. docs/EVENTS.md describes the events.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is a decoded line of a JSON log.
type Line struct {
	Time     time.Time
	Instance string
	Event    int
	Name     string
	Request  string
	Program  string
	// Previous is the ID of the turn that the line's request continues.
	Previous string
	// Fields holds all further values of the line, sorted by name.
	Fields []Field
}

// Field is a named value of a line.
type Field struct{ Name, Value string }

// Read reads the lines of a JSON log. It ignores text before a line's first brace,
// such as the prefix added by a log collector. Lines that contain no event are
// skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrap(scanner.Err(), "read log")
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
	extract := func(name string) string {
		value, _ := values[name].(string)
		delete(values, name)
		return value
	}
	delete(values, "Event")
	line.Name, line.Instance = extract("Name"), extract("Instance")
	line.Request, line.Program, line.Previous = extract("Request"), extract("Program"), extract("Previous")
	at, err := time.Parse(time.RFC3339Nano, extract("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	extract("level")
	extract("msg")
	for name, value := range values {
		line.Fields = append(line.Fields, Field{Name: name, Value: fmt.Sprint(value)})
	}
	sort.Slice(line.Fields, func(i, j int) bool { return line.Fields[i].Name < line.Fields[j].Name })
	return line, true
}

// Correlate returns the lines of the request or program with the ID, including those
// of requests that continue it. Lines are sorted by time, except that a turn always
// precedes the turns that continue it: the clocks of instances may differ.
func Correlate(lines []Line, id string) []Line {
	var related []Line
	for _, l := range lines {
		if l.Request == id || l.Program == id || l.Previous == id {
			related = append(related, l)
		}
	}
	sort.SliceStable(related, func(i, j int) bool { return related[i].Time.Before(related[j].Time) })
	byRequest := map[string][]int{}
	for i, l := range related {
		byRequest[l.Request] = append(byRequest[l.Request], i)
	}
	ordered := make([]Line, 0, len(related))
	visited := make([]bool, len(related))
	var visit func(i int)
	visit = func(i int) {
		if visited[i] {
			return
		}
		visited[i] = true
		if previous := related[i].Previous; previous != "" && previous != related[i].Request {
			for _, before := range byRequest[previous] {
				visit(before)
			}
		}
		ordered = append(ordered, related[i])
	}
	for i := range related {
		visit(i)
	}
	return ordered
}

// Write writes the lines as text, each with the time since the first one.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var b strings.Builder
		fmt.Fprintf(&b, "%+9.3fs  %-14s %d %s", l.Time.Sub(lines[0].Time).Seconds(), l.Instance, l.Event, l.Name)
		for _, f := range append([]Field{{"Request", l.Request}, {"Previous", l.Previous}}, l.Fields...) {
			if f.Value != "" {
				fmt.Fprintf(&b, " %s=%q", f.Name, f.Value)
			}
		}
		b.WriteByte('\n')
		if _, err := io.WriteString(w, b.String()); err != nil {
			return eris.Wrap(err, "write log lines")
		}
	}
	return nil
}
