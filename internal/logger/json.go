package logger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/charmbracelet/log"
)

// newJSONHandler returns a handler that writes one JSON object per line. The
// formatter of charmbracelet/log encodes each key and value by itself, at several
// times the cost in time and allocations; this one appends them to one buffer.
func newJSONHandler(w io.Writer, o log.Options) slog.Handler {
	return slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level: slog.Level(o.Level),
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if len(groups) == 0 && a.Key == slog.TimeKey && a.Value.Kind() == slog.KindTime {
				return slog.String(a.Key, a.Value.Time().Format(o.TimeFormat))
			}
			return readable(a)
		},
	})
}

// readable writes durations and what has a name of its own as text.
func readable(a slog.Attr) slog.Attr {
	switch a.Value.Kind() {
	case slog.KindDuration:
		return slog.String(a.Key, a.Value.Duration().String())
	case slog.KindAny:
		switch v := a.Value.Any().(type) {
		case slog.Level:
			return slog.String(a.Key, log.Level(v).String())
		case error, fmt.Stringer:
			// Sprint outlives a nil pointer in the interface.
			return slog.String(a.Key, fmt.Sprint(v))
		}
	}
	return a
}

func (l *Logger) logJSON(event Event, pairs []any) {
	level := slog.Level(event.Level)
	if !l.json.Enabled(context.Background(), level) {
		return
	}
	r := slog.NewRecord(time.Now(), level, event.Message, 0)
	r.AddAttrs(slog.Int("Event", event.Number), slog.String("Name", event.Name))
	r.Add(pairs...)
	// There is nowhere to report a failed write to.
	_ = l.json.Handle(context.Background(), r)
}
