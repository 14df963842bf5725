// Package answerer defines the error kinds of the system and the table that maps
// each kind to the response a caller receives: the HTTP status, whether the
// request ran, and whether it can be retried. Packages on the request path return
// its errors; receiver, relayer and administrator write the responses.
package answerer

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of an error. The set is closed: every error that a caller
// receives has one of the kinds below.
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
	QuotaReached     Kind = "QuotaReached"
	QuotaUnknown     Kind = "QuotaUnknown"
	Overloaded       Kind = "Overloaded"
	Infeasible       Kind = "Infeasible"
	NoEndpoint       Kind = "NoEndpoint"
	Quarantined      Kind = "Quarantined"
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

// ExecutionStatus is what is known about whether an endpoint ran a request.
type ExecutionStatus string

// The execution statuses. NotRun is reported only if no byte of the request can
// have reached an endpoint.
const (
	NotRun       ExecutionStatus = "NotRun"
	RanAndFailed ExecutionStatus = "RanAndFailed"
	Unknown      ExecutionStatus = "Unknown"
)

// Response describes the response to an error of one kind.
type Response struct {
	Kind Kind
	// Status is the HTTP status code.
	Status int
	// Ran is the execution status that the kind implies.
	Ran ExecutionStatus
	// Retryable reports whether the same request may succeed later.
	Retryable bool
	// RetryAfter is the default retry delay; it is zero if and only if Retryable is false.
	RetryAfter time.Duration
	// Message is a sentence for the caller, used if the error has no detail.
	Message string
}

// Error is an error with a kind. The zero value is not valid; use New.
type Error struct {
	Kind Kind
	// Detail is a sentence for the caller; it must not contain secrets.
	Detail string
	// RetryAfter is the retry delay; zero means the default of the kind.
	RetryAfter time.Duration
	// Owner is the instance that owns the program; set only for Moved.
	Owner string
	// Cause is logged but never sent to a caller.
	Cause error
}

// New returns an error of the kind with the formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind with the formatted detail and the cause.
func Wrap(kind Kind, cause error, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.Cause = cause
	return e
}

// WithRetryAfter returns a copy of the error with the retry delay.
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

// Response returns the response of the error's kind, with the retry delay of the
// error if it has one.
func (e *Error) Response() Response {
	a := Lookup(e.Kind)
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// KindOf returns the kind of err, or Internal if err has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// As returns the *Error in the chain of err, or wraps err as Internal.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}
