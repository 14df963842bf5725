package receiver

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

// ErrorResponse is the JSON body of an answer with an error.
type ErrorResponse struct {
	Kind answerer.Kind
	// Ran says what is known about execution.
	Ran    answerer.ExecutionStatus
	Detail string
	// RetryAfter is in seconds; zero means that repeating the request is of no use.
	RetryAfter float64
	Request    string
}

// newErrorResponse returns the body for the error.
func newErrorResponse(err *answerer.Error, request string) ErrorResponse {
	row := err.Response()
	detail := err.Detail
	if detail == "" {
		detail = row.Message
	}
	return ErrorResponse{
		Kind:       row.Kind,
		Ran:        row.Ran,
		Detail:     detail,
		RetryAfter: row.RetryAfter.Seconds(),
		Request:    request,
	}
}

// writeError answers with the error, unless an answer was begun already.
func (x *exchange) writeError(err error) {
	e := answerer.As(err)
	refusal := x.reportError(e)
	if x.writer.headerWritten {
		return
	}
	row := e.Response()
	header := x.writer.Header()
	header.Set(HeaderKind, string(row.Kind))
	if row.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(row.RetryAfter))
	}
	if row.Kind == answerer.Unauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
	body, _ := json.Marshal(refusal)
	_ = x.writeBody(row.Status, contentJSON, body)
}

// reportError counts and logs the refusal and returns its body.
func (x *exchange) reportError(e *answerer.Error) ErrorResponse {
	refusal := newErrorResponse(e, x.id)
	x.receiver.meter.Refusals.WithLabelValues(string(refusal.Kind), string(refusal.Ran)).Inc()
	event := requestRefused
	if refusal.Kind == answerer.Internal {
		event = requestFailed
	}
	x.receiver.log.Log(event, "Request", x.id, "Kind", refusal.Kind, "Cause", e)
	return refusal
}

// retryAfterSeconds rounds up to whole seconds, at least one.
func retryAfterSeconds(d time.Duration) string {
	seconds := max(1, int(math.Ceil(d.Seconds())))
	return strconv.Itoa(seconds)
}

// handleUnknownPath answers a path or method outside the API.
func handleUnknownPath(x *exchange) error {
	return answerer.New(answerer.NotFound, "%s %s is not part of the API", x.request.Method, x.request.URL.Path)
}
