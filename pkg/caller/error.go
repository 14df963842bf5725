package caller

import (
	"fmt"
	"time"
)

// Ran says what is known about whether a request was run.
type Ran string

// The three states of a request that failed.
const (
	NotRun       Ran = "NotRun"
	RanAndFailed Ran = "RanAndFailed"
	Unknown      Ran = "Unknown"
)

// The kinds of errors that the client itself finds; all others come from the system.
const (
	// KindUnreachable means that no entry could be connected to.
	KindUnreachable = "Unreachable"
	// KindCut means that the answer ended before its end mark.
	KindCut = "Cut"
)

// Error is a request that failed.
type Error struct {
	// Status is the HTTP status, or zero if none arrived.
	Status int
	// Kind is one of the kinds of the API's page.
	Kind   string
	Ran    Ran
	Detail string
	// RetryAfter is zero if repeating the request is of no use.
	RetryAfter time.Duration
	// Request is the id of the request, for operators.
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

// wireError is the body of a refusal.
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
