package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Reason classifies a failed request.
type Reason string

// The reasons. With all but NotSent, the endpoint may have received the request.
const (
	// NotSent means that no byte of the request can have reached the endpoint.
	NotSent Reason = "NotSent"
	// Failed means that the endpoint responded with an error or violated the protocol.
	Failed Reason = "Failed"
	// Truncated means that the response is incomplete or above the size limit.
	Truncated Reason = "Truncated"
	// Crossed means that the response belongs to another request.
	Crossed Reason = "Crossed"
	// Silent means that the endpoint did not respond within the time limit.
	Silent Reason = "Silent"
	// Canceled means that the caller canceled the request or rejected a chunk.
	Canceled Reason = "Canceled"
	// Unknown means that the request may have run and no response was received.
	Unknown Reason = "Unknown"
)

// LeavingHeader is set on a 503 by an endpoint that takes no new work.
const LeavingHeader = "Wigeonstand-Leaving"

// Failure is the error of a request to an endpoint.
type Failure struct {
	Reason   Reason
	Endpoint string
	// Status is the HTTP status, or zero if no response arrived or the stream was
	// invalid.
	Status int
	// Offset is the index of the first output token that was not received, and
	// Text is the output of this attempt before it. Another attempt may resume at
	// Offset.
	Offset int
	Text   string
	// Usage is the token usage that the endpoint reported, if any.
	Usage generator.Usage
	// Reused says that the connection had served other requests.
	Reused bool
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// RetryAfter is the delay that the endpoint requested, or zero.
	RetryAfter time.Duration
	// Cause is the underlying error, for the log and for errors.Is.
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

// ReasonOf returns the reason of the Failure that err wraps, or Unknown if there
// is none.
func ReasonOf(err error) Reason {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return Unknown
}

// Causes of failures, for errors.Is.
var (
	// ErrFenced means that the endpoint has seen a higher fencing token.
	ErrFenced = errors.New("order has a stale fencing token")
	// ErrNoKey means that a call to a service that is not repeatable has no key.
	ErrNoKey = errors.New("call to a service that is not repeatable has no key")

	errTimeout       = errors.New("endpoint did not respond within the time limit")
	errNoLastChunk   = errors.New("stream ended before its last chunk")
	errResponseSize  = errors.New("response is larger than the limit")
	errNoStatusPath  = errors.New("service has no status path")
	errWritesBlocked = errors.New("connection is closed for writing")
	errNoUsage       = errors.New("last chunk has no usage")
	errProtocol      = errors.New("response violates the protocol")
	errWrongRequest  = errors.New("chunk belongs to another request")
	errEventSize     = errors.New("event is larger than the limit")
)
