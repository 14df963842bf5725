package caller

import (
	"fmt"
	"time"
)

// Ran is what is known about whether a request was run.
type Ran string

const (
	// NotRun means that the request was not run, so that it can be sent again.
	NotRun Ran = "NotRun"
	// RanAndFailed means that the request was run and failed.
	RanAndFailed Ran = "RanAndFailed"
	// Unknown means that the request may have been run.
	Unknown Ran = "Unknown"
)

// The kinds of errors that are detected by the client. All other kinds are sent by
// the entry.
const (
	// KindUnreachable means that the connection to the entry could not be opened.
	KindUnreachable = "Unreachable"
	// KindCut means that the response is incomplete or could not be decoded, or that
	// the connection failed before it.
	KindCut = "Cut"
)

// Error is the error of a failed request.
type Error struct {
	// Status is the HTTP status code, or zero if there was no response.
	Status int
	// Kind is KindUnreachable, KindCut or one of the error kinds of the API.
	Kind   string
	Ran    Ran
	Detail string
	// RetryAfter is how long to wait before sending the request again; zero means
	// that it is not worth sending again.
	RetryAfter time.Duration
	// Request is the id of the request in the logs of the instances.
	Request string
	cause   error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Kind, e.Ran, e.Detail)
	if e.Request != "" {
		text += fmt.Sprintf(" [request %s]", e.Request)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// wireError is the body of an error response. RetryAfter is in seconds.
type wireError struct {
	Kind       string
	Ran        Ran
	Detail     string
	RetryAfter float64
	Request    string
}

func (w wireError) err(status int) *Error {
	return &Error{
		Status:     status,
		Kind:       w.Kind,
		Ran:        w.Ran,
		Detail:     w.Detail,
		RetryAfter: time.Duration(w.RetryAfter * float64(time.Second)),
		Request:    w.Request,
	}
}
