// Package logger owns the numbered log events and the writer behind them. It
// does not own what is worth logging: each package declares its own events
// with Define and logs them through a Logger.
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
	// Number is unique in the system and never given to another event.
	Number int
	// Name is Pascal case.
	Name string
	// Level is the event's severity.
	Level log.Level
	// Message is the message, without values.
	Message string
	// Action tells an operator what to do about it.
	Action string
}

var registry = struct {
	sync.Mutex
	events map[int]Event
}{events: map[int]Event{}}

// Define registers an event at package initialization. It panics if the number is taken.
func Define(number int, name string, level log.Level, text, action string) Event {
	registry.Lock()
	defer registry.Unlock()
	if rival, ok := registry.events[number]; ok {
		panic(fmt.Sprintf("log event %d is both %s and %s", number, rival.Name, name))
	}
	event := Event{Number: number, Name: name, Level: level, Message: text, Action: action}
	registry.events[number] = event
	return event
}

// Events returns all defined events by number.
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

// Logger writes events.
type Logger struct {
	text *log.Logger
	// json takes the place of text where it is not nil.
	json slog.Handler
}

// options are the settings of a Logger.
type options struct {
	log.Options
	isJSON bool
}

// Option sets one property of a Logger.
type Option func(*options)

// WithJSON writes one JSON object per event in place of text.
func WithJSON() Option { return func(o *options) { o.isJSON = true } }

// WithLevel drops events below the level.
func WithLevel(level log.Level) Option { return func(o *options) { o.Level = level } }

// WithMilliseconds writes the time to the millisecond, for lines of several
// instances that are read together.
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

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return New(io.Discard) }

// With returns a Logger that adds the pairs to every event.
func (l *Logger) With(pairs ...any) *Logger {
	if l.json != nil {
		return &Logger{json: slog.New(l.json).With(pairs...).Handler()}
	}
	return &Logger{text: l.text.With(pairs...)}
}

// Log writes the event with key and value pairs.
func (l *Logger) Log(event Event, pairs ...any) {
	if l.json != nil {
		l.logJSON(event, pairs)
		return
	}
	all := append([]any{"Event", event.Number, "Name", event.Name}, pairs...)
	l.text.Log(event.Level, event.Message, all...)
}
