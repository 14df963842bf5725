package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// Event is an input of a Core. The types below are the only events.
type Event interface{ event() }

// CommandReceived delivers a command of a caller or an operator. The deadline is
// zero if there is none.
type CommandReceived struct {
	Command  requester.Command
	Deadline time.Time
}

// RequestCanceled reports that the caller of the request no longer waits.
type RequestCanceled struct{ Request string }

// AppendsCommitted reports that all appends up to the ticket are durable.
type AppendsCommitted struct{ Ticket int64 }

// InstanceFenced reports that the instance has lost its lease, so that no further
// append can become durable.
type InstanceFenced struct{}

// GenerateCompleted delivers the complete output of an attempt at an engine.
type GenerateCompleted struct {
	Attempt string
	Text    string
	Usage   generator.Usage
}

// Cause is the way in which an attempt at an engine failed. It is also a label of
// the retry metric.
type Cause string

// The causes of a failed generation.
const (
	// CauseNotSent means that no byte of the request can have reached the
	// endpoint.
	CauseNotSent Cause = "NotSent"
	// CauseFailed means that the endpoint answered with an error.
	CauseFailed Cause = "Failed"
	// CauseTruncated means that the stream ended before its final chunk.
	CauseTruncated Cause = "Truncated"
	// CauseSilent means that the stream stalled.
	CauseSilent Cause = "Silent"
	// CauseCanceled means that this instance canceled the attempt.
	CauseCanceled Cause = "Canceled"
)

// GenerateFailed reports that an attempt at an engine ended without its complete
// output.
type GenerateFailed struct {
	Attempt string
	Cause   Cause
	// Offset is the number of tokens of output that were received, and Text is that
	// output.
	Offset int
	Text   string
	// Usage is nil if the endpoint reported none.
	Usage *generator.Usage
}

// InvokeCompleted delivers a service's complete answer to an attempt.
type InvokeCompleted struct {
	Attempt     string
	Status      int
	ContentType string
	Body        []byte
}

// InvokeFailed reports that an attempt at a service got no complete answer.
type InvokeFailed struct {
	Attempt string
	// NotSent is true only if no byte of the request can have reached the
	// endpoint.
	NotSent bool
}

// StatusReceived delivers a service's answer to QueryStatus.
type StatusReceived struct {
	Business string
	Key      string
	// Done is true if the call took effect according to the service.
	Done   bool
	Status int
	Body   []byte
}

// VersionChanged replaces the document with a newer version.
type VersionChanged struct{ Version *compiler.Version }

// EndpointView is the known load and health of an endpoint.
type EndpointView struct {
	Name    string
	Running int
	Waiting int
	Slots   int
	// Age is the age of the load report.
	Age time.Duration
	// Usable is false for an endpoint that is leaving or ejected.
	Usable bool
	// Ramp is the share of its slots that may be used, 0 to 1. It is below 1 after
	// the endpoint was added or returned.
	Ramp float64
	// GapRatio is its recent time between tokens relative to that of all endpoints.
	GapRatio float64
	// Fresh is true if the load report is newer than that of the last view.
	Fresh bool
}

// EndpointsChanged replaces the views of the given endpoints.
type EndpointsChanged struct{ Views []EndpointView }

// HoldingsReported delivers the list of programs that an engine holds memory for.
type HoldingsReported struct {
	Endpoint string
	Programs []string
}

// MemoryReleased reports that an engine has released a program's memory.
type MemoryReleased struct {
	Endpoint string
	Program  string
}

// PrefixEvicted reports that an engine has evicted a program's prefix from its cache.
type PrefixEvicted struct {
	Endpoint string
	Program  string
}

// EscrowDrawn delivers tokens drawn from a business's budget. Zero tokens without
// Failed mean that the budget is exhausted.
type EscrowDrawn struct {
	Business string
	Tokens   int
	// Failed is true if the store was unavailable.
	Failed bool
}

// StoreHealthChanged reports whether writes to the store are failing.
type StoreHealthChanged struct{ Down bool }

// ShardReleaseRequested requests that the shard refuse new work and be released
// once it is idle.
type ShardReleaseRequested struct{ Shard int }

// ShardRevoked requests that the shard be released at once, even with work in flight.
type ShardRevoked struct{ Shard int }

// AllShardsReleased reports that a planned shutdown has released all shards.
type AllShardsReleased struct{}

// Tick triggers the handling of deadlines, release retries and idle programs.
type Tick struct{}

func (CommandReceived) event()       {}
func (RequestCanceled) event()       {}
func (AppendsCommitted) event()      {}
func (InstanceFenced) event()        {}
func (GenerateCompleted) event()     {}
func (GenerateFailed) event()        {}
func (InvokeCompleted) event()       {}
func (InvokeFailed) event()          {}
func (StatusReceived) event()        {}
func (VersionChanged) event()        {}
func (EndpointsChanged) event()      {}
func (HoldingsReported) event()      {}
func (MemoryReleased) event()        {}
func (PrefixEvicted) event()         {}
func (EscrowDrawn) event()           {}
func (StoreHealthChanged) event()    {}
func (ShardReleaseRequested) event() {}
func (ShardRevoked) event()          {}
func (AllShardsReleased) event()     {}
func (Tick) event()                  {}

// Action is an output of a Core, to be carried out by its caller. The types below
// are the only actions.
type Action interface{ action() }

// Append makes the entries durable atomically; AppendsCommitted follows with the
// ticket.
type Append struct {
	Ticket  int64
	Entries []sharder.Entry
}

// Generate sends an attempt to an engine.
type Generate struct {
	Attempt  string
	Endpoint string
	// Sink is the ID of the request that the output is streamed to.
	Sink    string
	Request generator.GenerateRequest
}

// CancelGenerate cancels an attempt. GenerateFailed or GenerateCompleted still
// follows.
type CancelGenerate struct {
	Attempt  string
	Endpoint string
}

// Invoke sends an attempt to a service.
type Invoke struct {
	Attempt  string
	Endpoint string
	Service  string
	Call     requester.Call
	// AtMostOnce is true if the call must not run twice. It may then be sent only
	// while the instance's lease is confirmed.
	AtMostOnce bool
	// Deadline is the latest deadline of the call's waiters.
	Deadline time.Time
}

// QueryStatus queries a service for the outcome of a call. StatusReceived follows
// if the service answers.
type QueryStatus struct {
	Business string
	Key      string
	Service  string
	Endpoint string
}

// Answer answers a request, with Reply if Err is nil.
type Answer struct {
	Request string
	Reply   requester.Reply
	Err     *answerer.Error
}

// ReleaseMemory releases a program's memory at an engine. MemoryReleased follows
// if that succeeds.
type ReleaseMemory struct {
	Endpoint string
	Program  string
}

// DrawEscrow draws tokens from a business's budget of Limit tokens. EscrowDrawn
// follows.
type DrawEscrow struct {
	Business string
	Tokens   int
	Limit    int
}

// ReturnEscrow returns unspent tokens to a business's budget.
type ReturnEscrow struct {
	Business string
	Tokens   int
}

// ShardReleased reports that a released shard is durable and no longer served.
type ShardReleased struct{ Shard int }

// CountRetry counts a retry by its reason and target.
type CountRetry struct {
	Reason string
	Target string
}

func (Append) action()         {}
func (Generate) action()       {}
func (CancelGenerate) action() {}
func (Invoke) action()         {}
func (QueryStatus) action()    {}
func (Answer) action()         {}
func (ReleaseMemory) action()  {}
func (DrawEscrow) action()     {}
func (ReturnEscrow) action()   {}
func (ShardReleased) action()  {}
func (CountRetry) action()     {}
