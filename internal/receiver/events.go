package receiver

import (
	stdlog "log"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	requestRefused = logger.Define(4000, "RequestRefused", log.DebugLevel,
		"a request was rejected",
		"None; the refusals_total metric counts rejected requests by kind.")
	requestFailed = logger.Define(4001, "RequestFailed", log.ErrorLevel,
		"a request failed with an internal error",
		"Report the cause; the caller received an error of kind Internal.")
	requestsCut = logger.Define(4002, "RequestsCut", log.WarnLevel,
		"requests in flight were aborted at the drain timeout",
		"Raise the drain timeout if this recurs on planned stops.")
	connectionFailed = logger.Define(4003, "ConnectionFailed", log.DebugLevel,
		"a caller's connection failed",
		"If this recurs, check the network between callers and the instance.")
)

// eventWriter logs the error lines of net/http as events.
type eventWriter struct{ log *logger.Logger }

// Write implements io.Writer.
func (w eventWriter) Write(line []byte) (int, error) {
	w.log.Log(connectionFailed, "Cause", strings.TrimSpace(string(line)))
	return len(line), nil
}

func connectionLog(l *logger.Logger) *stdlog.Logger {
	return stdlog.New(eventWriter{l}, "", 0)
}
