package logger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/charmbracelet/log"
)

// newJSONHandler returns a handler that writes one JSON object per line. It
// replaces the JSON formatter of charmbracelet/log, which encodes each key and
// value separately and takes several times the time and allocations; slog appends
// them to one buffer.
func newJSONHandler(w io.Writer, o log.Options) slog.Handler {
	return slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level: slog.Level(o.Level),
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if len(groups) == 0 && a.Key == slog.TimeKey && a.Value.Kind() == slog.KindTime {
				return slog.String(a.Key, a.Value.Time().Format(o.TimeFormat))
			}
			return formatAttr(a)
		},
	})
}

// formatAttr converts durations, levels, errors and fmt.Stringers to strings.
func formatAttr(a slog.Attr) slog.Attr {
	switch a.Value.Kind() {
	case slog.KindDuration:
		return slog.String(a.Key, a.Value.Duration().String())
	case slog.KindAny:
		switch v := a.Value.Any().(type) {
		case slog.Level:
			return slog.String(a.Key, log.Level(v).String())
		case error, fmt.Stringer:
			// Sprint recovers from the panic of a method on a nil pointer.
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
	// A failed write of the log cannot be reported.
	_ = l.json.Handle(context.Background(), r)
}
