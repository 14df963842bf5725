package receiver

import (
	stdlog "log"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	requestRefused = logger.Define(4000, "RequestRefused", log.DebugLevel,
		"a request was refused",
		"None; the refusals_total metric counts refusals by kind.")
	requestFailed = logger.Define(4001, "RequestFailed", log.ErrorLevel,
		"a request failed inside the system",
		"Report the cause; the caller was told Internal.")
	requestsCut = logger.Define(4002, "RequestsCut", log.WarnLevel,
		"the drain timeout passed and requests in flight were cut",
		"Raise the drain timeout if this recurs on planned stops.")
	connectionFailed = logger.Define(4003, "ConnectionFailed", log.DebugLevel,
		"a caller's connection failed",
		"None, unless it is frequent: then look at the network between callers and the instance.")
)

// eventWriter turns the lines of net/http into events.
type eventWriter struct{ log *logger.Logger }

// Write implements io.Writer.
func (w eventWriter) Write(line []byte) (int, error) {
	w.log.Log(connectionFailed, "Cause", strings.TrimSpace(string(line)))
	return len(line), nil
}

func connectionLog(l *logger.Logger) *stdlog.Logger {
	return stdlog.New(eventWriter{l}, "", 0)
}
