// Package logger writes numbered log events as text or JSON. Each package declares
// its events with Define at initialization and logs them through a Logger.
// Loggers are safe for concurrent use.
package logger

import (
	"fmt"
	"io"
	"log/slog"
	"sort"
	"sync"

	"github.com/charmbracelet/log"
)

// Event is one numbered log event.
type Event struct {
	// Number is unique across all packages and must never be reused.
	Number int
	// Name is the event's name in Pascal case.
	Name  string
	Level log.Level
	// Message is a constant text; values are logged as attributes.
	Message string
	// Action describes what the operator should do.
	Action string
}

var registry = struct {
	sync.Mutex
	events map[int]Event
}{events: map[int]Event{}}

// Define registers and returns an event. It panics if the number is already defined.
func Define(number int, name string, level log.Level, text, action string) Event {
	registry.Lock()
	defer registry.Unlock()
	if existing, ok := registry.events[number]; ok {
		panic(fmt.Sprintf("log event %d is both %s and %s", number, existing.Name, name))
	}
	event := Event{Number: number, Name: name, Level: level, Message: text, Action: action}
	registry.events[number] = event
	return event
}

// Events returns all defined events, sorted by number.
func Events() []Event {
	registry.Lock()
	defer registry.Unlock()
	events := make([]Event, 0, len(registry.events))
	for _, event := range registry.events {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Logger writes events to a writer.
type Logger struct {
	text *log.Logger
	// json is used instead of text if it is not nil.
	json slog.Handler
}

type options struct {
	log.Options
	isJSON bool
}

// Option sets one property of a Logger.
type Option func(*options)

// WithJSON writes each event as a JSON object on a line instead of as text.
func WithJSON() Option { return func(o *options) { o.isJSON = true } }

// WithLevel drops events below the level.
func WithLevel(level log.Level) Option { return func(o *options) { o.Level = level } }

// WithMilliseconds writes timestamps with millisecond precision, so that the logs
// of several instances can be merged.
func WithMilliseconds() Option {
	return func(o *options) { o.TimeFormat = "2006-01-02T15:04:05.000Z07:00" }
}

// New returns a Logger that writes to w.
func New(w io.Writer, settings ...Option) *Logger {
	o := options{Options: log.Options{ReportTimestamp: true, Level: log.InfoLevel, TimeFormat: log.DefaultTimeFormat}}
	for _, set := range settings {
		set(&o)
	}
	if o.isJSON {
		return &Logger{json: newJSONHandler(w, o.Options)}
	}
	return &Logger{text: log.NewWithOptions(w, o.Options)}
}

// Discard returns a Logger that discards all events.
func Discard() *Logger { return New(io.Discard) }

// With returns a Logger that adds the key-value pairs to every event.
func (l *Logger) With(pairs ...any) *Logger {
	if l.json != nil {
		return &Logger{json: slog.New(l.json).With(pairs...).Handler()}
	}
	return &Logger{text: l.text.With(pairs...)}
}

// Log writes the event with the key-value pairs.
func (l *Logger) Log(event Event, pairs ...any) {
	if l.json != nil {
		l.logJSON(event, pairs)
		return
	}
	all := append([]any{"Event", event.Number, "Name", event.Name}, pairs...)
	l.text.Log(event.Level, event.Message, all...)
}
