package composer

import (
	"runtime/debug"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// maxFlushTime limits the writing of the last lines of the log.
const maxFlushTime = 500 * time.Millisecond

// reportPanic writes the cause of a panic to the log before the process ends by it.
func (e *Entry) reportPanic() {
	if cause := recover(); cause != nil {
		e.log.Log(eventComponentPanicked, "Cause", cause, "Stack", string(debug.Stack()))
		flushed := make(chan struct{})
		go func() {
			defer close(flushed)
			e.logOutput.Flush()
		}()
		waitFor(flushed, maxFlushTime)
		panic(cause)
	}
}

// LogFailure writes the error that ends the process to its log.
func LogFailure(l *logger.Logger, err error) {
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		l.Log(eventFailed, "Cause", err)
	}()
	waitFor(logged, maxFlushTime)
}

// LogReplacedSettings logs the errors in a settings file with which the start goes on.
func LogReplacedSettings(l *logger.Logger, errs error) { l.Log(eventSettingsReplaced, "Cause", errs) }

// waitFor waits until done is closed, up to the limit. A reader of the log that takes nothing must not hold
// up the end of the process.
func waitFor(done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
