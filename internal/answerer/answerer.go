// Package answerer owns the closed list of error kinds and the table from a
// kind to the answer a caller sees: its HTTP status, whether the request ran,
// and whether it is worth sending again. It does not own how an answer is
// written to a connection, nor any decision that leads to one.
package answerer

import (
	"errors"
	"fmt"
	"time"
)

// Kind names one kind of error. The list is closed: every error that leaves
// the system carries one of the constants below.
type Kind string

// The error kinds, in the order of the table.
const (
	BadRequest       Kind = "BadRequest"
	TooLarge         Kind = "TooLarge"
	Unauthenticated  Kind = "Unauthenticated"
	Forbidden        Kind = "Forbidden"
	NotFound         Kind = "NotFound"
	ProgramEnded     Kind = "ProgramEnded"
	TurnConflict     Kind = "TurnConflict"
	TurnGap          Kind = "TurnGap"
	KeyReused        Kind = "KeyReused"
	HistoryDiverged  Kind = "HistoryDiverged"
	RevisionConflict Kind = "RevisionConflict"
	DocumentInvalid  Kind = "DocumentInvalid"
	BudgetExhausted  Kind = "BudgetExhausted"
	LimitReached     Kind = "LimitReached"
	Overloaded       Kind = "Overloaded"
	Infeasible       Kind = "Infeasible"
	NoEndpoint       Kind = "NoEndpoint"
	OwnerUnavailable Kind = "OwnerUnavailable"
	Moved            Kind = "Moved"
	StoreUnavailable Kind = "StoreUnavailable"
	BacklogFull      Kind = "BacklogFull"
	Stopping         Kind = "Stopping"
	DeadlineNotRun   Kind = "DeadlineNotRun"
	DeadlineRan      Kind = "DeadlineRan"
	Canceled         Kind = "Canceled"
	Interrupted      Kind = "Interrupted"
	EndpointFailed   Kind = "EndpointFailed"
	AnswerTruncated  Kind = "AnswerTruncated"
	OutcomeUnknown   Kind = "OutcomeUnknown"
	NotDurable       Kind = "NotDurable"
	Internal         Kind = "Internal"
)

// ExecutionStatus says what is known about whether a request was run by an endpoint.
type ExecutionStatus string

// The three states are kept apart: NotRun is only said when no byte of the
// request can have reached an endpoint.
const (
	NotRun       ExecutionStatus = "NotRun"
	RanAndFailed ExecutionStatus = "RanAndFailed"
	Unknown      ExecutionStatus = "Unknown"
)

// Response is the row of the table for one kind.
type Response struct {
	Kind Kind
	// Status is the HTTP status code.
	Status int
	// Ran is what the kind says about execution.
	Ran ExecutionStatus
	// Retryable says whether the same request may succeed later.
	Retryable bool
	// RetryAfter is the time to come back when the error names none; zero if Retryable is false.
	RetryAfter time.Duration
	// Message is one sentence for the caller.
	Message string
}

// Error is an error with a kind. The zero value is not valid; use New.
type Error struct {
	Kind Kind
	// Detail is a sentence for the caller; it never holds secrets.
	Detail string
	// RetryAfter is the time to come back; zero means the table's default.
	RetryAfter time.Duration
	// Owner is the instance to ask instead; only set for Moved.
	Owner string
	// Cause is logged, never shown to a caller.
	Cause error
}

// New returns an error of the kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that keeps the cause for the log.
func Wrap(kind Kind, cause error, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.Cause = cause
	return e
}

// WithRetryAfter returns a copy of the error that says when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response returns the row for the error with its own time to come back.
func (e *Error) Response() Response {
	a := Lookup(e.Kind)
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// KindOf returns the kind of err, or Internal if it carries none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// As returns err as an *Error; an error without a kind becomes Internal.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}
