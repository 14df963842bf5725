package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Reason says what is known about a failed request.
type Reason string

// The reasons. Only NotSent says that no byte of the request can have reached
// the endpoint.
const (
	// NotSent means that no byte of the request can have reached the endpoint.
	NotSent Reason = "NotSent"
	// Failed means that the endpoint answered with an error.
	Failed Reason = "Failed"
	// Truncated means that the answer ended before its end mark.
	Truncated Reason = "Truncated"
	// Crossed means that the answer belongs to another request.
	Crossed Reason = "Crossed"
	// Silent means that nothing arrived within the bound.
	Silent Reason = "Silent"
	// Canceled means that the caller of the dispatcher gave up.
	Canceled Reason = "Canceled"
	// Unknown means that a call may have run and no answer says so.
	Unknown Reason = "Unknown"
)

// LeavingHeader is set on a 503 by an endpoint that takes no new work.
const LeavingHeader = "Wigeonstand-Leaving"

// Failure is the error of a request to an endpoint.
type Failure struct {
	Reason   Reason
	Endpoint string
	// Status is the HTTP status, or zero if none arrived.
	Status int
	// Offset is the index of the first token that is missing from the whole
	// output, and Text what this attempt brought before it. Another attempt may
	// resume there.
	Offset int
	Text   string
	// Usage is what the endpoint billed, if it said so.
	Usage generator.Usage
	// Reused says that the connection had served other requests before.
	Reused bool
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// RetryAfter is the time that the endpoint asked for.
	RetryAfter time.Duration
	// Cause is for the log.
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	text := fmt.Sprintf("endpoint %s: %s", f.Endpoint, f.Reason)
	if f.Status != 0 {
		text += fmt.Sprintf(" with status %d", f.Status)
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// ReasonOf returns the reason of err, or Unknown if it carries none.
func ReasonOf(err error) Reason {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return Unknown
}

// The causes of failures, told apart with errors.Is.
var (
	// ErrFenced means that the endpoint has seen a higher fencing number.
	ErrFenced = errors.New("order carries an old fencing number")
	// ErrNoKey means that a call which may not be repeated carries no key.
	ErrNoKey = errors.New("call needs a key")

	errSilent    = errors.New("nothing arrived within the bound")
	errNoEnd     = errors.New("stream ended before its last chunk")
	errTooLarge  = errors.New("answer is larger than the limit")
	errNoStatus  = errors.New("service offers no status")
	errSealed    = errors.New("connection is sealed")
	errNoUsage   = errors.New("last chunk carries no usage")
	errProtocol  = errors.New("answer breaks the protocol")
	errCrossed   = errors.New("chunk of another request")
	errEventSize = errors.New("event is larger than the limit")
)
