package relayer

import (
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// minSilence is the time without any answer after which an engine with room
// counts as failed; the first event takes some tens of milliseconds there.
const minSilence = time.Second

// turnOutcome says what the status of an engine's own answer tells of the engine.
// It answers engines that fail a part of their turns while their health is good:
// a turn that is sent again then goes to another one.
func turnOutcome(status int) registrar.Outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return registrar.Failed
	case status >= http.StatusMultipleChoices:
		return registrar.Neutral // The request is at fault.
	}
	return registrar.Served
}

// plainOutcome is judgeTurn for plain services. Their 500 answers the request: a
// tool that reports a failure is not a failing endpoint.
func plainOutcome(status int) registrar.Outcome {
	if status > http.StatusInternalServerError {
		return registrar.Failed
	}
	return registrar.Served
}

// timeoutOutcome says what it tells that the caller's time ended without an
// answer. An engine that has more requests than slots may just be slow.
func timeoutOutcome(waited time.Duration, c registrar.Candidate) registrar.Outcome {
	if waited >= minSilence && c.Load < float64(c.Slots) {
		return registrar.Failed
	}
	return registrar.Neutral
}
