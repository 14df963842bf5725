package relayer

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/sender"
)

// noResponseThreshold is the time without a response after which an engine with
// free slots counts as failed. Such an engine sends its first event within some
// tens of milliseconds.
const noResponseThreshold = time.Second

// isBrokenOff reports whether err means that the endpoint's connection failed after the
// request was sent.
func isBrokenOff(err error) bool {
	if errors.Is(err, sender.ErrNotSent) || errors.Is(err, errCallerDisconnected) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// turnOutcome maps the status of an engine's response to the outcome recorded for
// the engine. Some engines fail a part of their turns while they report themselves
// as healthy; a recorded failure makes a retried turn go to another engine.
func turnOutcome(status int) registrar.Outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return registrar.Failed
	case status >= http.StatusMultipleChoices:
		return registrar.Neutral // The request caused the status.
	}
	return registrar.Served
}

// plainOutcome is turnOutcome for plain services. Status 500 is a valid response
// there: a tool that reports a failure is not a failing endpoint.
func plainOutcome(status int) registrar.Outcome {
	if status > http.StatusInternalServerError {
		return registrar.Failed
	}
	return registrar.Served
}

// timeoutOutcome returns the outcome of a request whose deadline passed before the
// endpoint responded. An endpoint with more requests than slots may only be slow.
func timeoutOutcome(waited time.Duration, c registrar.Candidate) registrar.Outcome {
	if waited >= noResponseThreshold && c.Load < float64(c.Slots) {
		return registrar.Failed
	}
	return registrar.Neutral
}
