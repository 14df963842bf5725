package relayer

import (
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// noResponseThreshold is the time without a response after which an engine with
// free slots counts as failed. Such an engine sends its first event within some
// tens of milliseconds.
const noResponseThreshold = time.Second

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
