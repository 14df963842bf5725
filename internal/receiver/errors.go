package receiver

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Kind answerer.Kind
	// Ran is what is known about the execution of the request.
	Ran    answerer.ExecutionStatus
	Detail string
	// RetryAfter is in seconds; zero means that a retry cannot succeed.
	RetryAfter float64
	Request    string
}

// newErrorResponse returns the error response with the request id.
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

// writeError reports the error and writes its response, unless a response header
// has already been written.
func (x *exchange) writeError(err error) {
	e := answerer.As(err)
	response := x.reportError(e)
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
	body, _ := json.Marshal(response)
	_ = x.writeBody(row.Status, contentJSON, body)
}

// reportError counts and logs the error and returns its response body.
func (x *exchange) reportError(e *answerer.Error) ErrorResponse {
	response := newErrorResponse(e, x.id)
	x.receiver.meter.Refusals.WithLabelValues(string(response.Kind), string(response.Ran)).Inc()
	event := requestRefused
	if response.Kind == answerer.Internal {
		event = requestFailed
	}
	x.receiver.log.Log(event, "Request", x.id, "Kind", response.Kind, "Cause", e)
	return response
}

// retryAfterSeconds formats d for the Retry-After header, rounded up to whole
// seconds and at least 1.
func retryAfterSeconds(d time.Duration) string {
	seconds := max(1, int(math.Ceil(d.Seconds())))
	return strconv.Itoa(seconds)
}

// handleUnknownPath rejects a path or method that is not part of the API.
func handleUnknownPath(x *exchange) error {
	return answerer.New(answerer.NotFound, "%s %s is not part of the API", x.request.Method, x.request.URL.Path)
}
