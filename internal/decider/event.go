package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// Event is something that happened. The types below are all there are.
type Event interface{ event() }

// CommandReceived is a command for a shard that this instance owns, or for none.
type CommandReceived struct {
	Command  requester.Command
	Deadline time.Time
}

// RequestCanceled says that the caller of the request no longer waits.
type RequestCanceled struct{ Request string }

// AppendsCommitted says that all appends up to the ticket are durable.
type AppendsCommitted struct{ Ticket int64 }

// InstanceFenced says that nothing more can be made durable.
type InstanceFenced struct{}

// GenerateCompleted is the whole output of an attempt.
type GenerateCompleted struct {
	Attempt string
	Text    string
	Usage   generator.Usage
}

// Cause says how a generation failed.
type Cause string

// The causes of a failed generation.
const (
	// CauseNotSent means that no byte can have reached the endpoint.
	CauseNotSent Cause = "NotSent"
	// CauseFailed means that the endpoint answered with an error.
	CauseFailed Cause = "Failed"
	// CauseTruncated means that the stream ended before its terminator.
	CauseTruncated Cause = "Truncated"
	// CauseSilent means that the stream stopped without ending.
	CauseSilent Cause = "Silent"
	// CauseCanceled means that the attempt was canceled by this instance.
	CauseCanceled Cause = "Canceled"
)

// GenerateFailed says that an attempt ended without its whole output.
type GenerateFailed struct {
	Attempt string
	Cause   Cause
	// Offset is the number of tokens up to which the output was received, and Text the
	// whole output up to there.
	Offset int
	Text   string
	// Usage is set if the endpoint accounted for the attempt.
	Usage *generator.Usage
}

// InvokeCompleted is a service's whole answer to an attempt.
type InvokeCompleted struct {
	Attempt     string
	Status      int
	ContentType string
	Body        []byte
}

// InvokeFailed says that an attempt at a service got no whole answer.
type InvokeFailed struct {
	Attempt string
	// NotSent is true only if no byte can have reached the endpoint.
	NotSent bool
}

// StatusReceived is a service's answer to the question for a call's outcome.
type StatusReceived struct {
	Business string
	Key      string
	// Done is true if the service says that the call took effect.
	Done   bool
	Status int
	Body   []byte
}

// VersionChanged brings a newer document into force.
type VersionChanged struct{ Version *compiler.Version }

// EndpointView is what is known of an endpoint's load and health.
type EndpointView struct {
	Name    string
	Running int
	Waiting int
	Slots   int
	Age     time.Duration
	// Usable is false for an endpoint that is leaving or ejected.
	Usable   bool
	Ramp     float64
	GapRatio float64
	// Fresh is true if the load figures are newer than in the last view.
	Fresh bool
}

// EndpointsChanged replaces the views of all endpoints.
type EndpointsChanged struct{ Views []EndpointView }

// HoldingsReported is an engine's list of the programs that it holds memory for.
type HoldingsReported struct {
	Endpoint string
	Programs []string
}

// MemoryReleased says that an engine has dropped a program's memory.
type MemoryReleased struct {
	Endpoint string
	Program  string
}

// PrefixEvicted says that an engine no longer holds a program's prefix.
type PrefixEvicted struct {
	Endpoint string
	Program  string
}

// EscrowDrawn grants this instance tokens of a business's budget; zero tokens
// mean that the budget is exhausted.
type EscrowDrawn struct {
	Business string
	Tokens   int
	// Failed is true if the store could not be asked.
	Failed bool
}

// StoreHealthChanged says whether writes to the store are failing.
type StoreHealthChanged struct{ Down bool }

// ShardReleaseRequested asks to stop admitting work of the shard and to give it up once idle.
type ShardReleaseRequested struct{ Shard int }

// ShardRevoked gives a shard up at once, whatever is in flight.
type ShardRevoked struct{ Shard int }

// AllShardsReleased says that a planned stop has given up all shards.
type AllShardsReleased struct{}

// Tick says that time has passed.
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

// Action is something to be done. The types below are all there are.
type Action interface{ action() }

// Append makes the entries durable together; Committed follows with the ticket.
type Append struct {
	Ticket  int64
	Entries []sharder.Entry
}

// Generate sends an attempt to an engine.
type Generate struct {
	Attempt  string
	Endpoint string
	// Sink is the request whose caller gets the chunks.
	Sink    string
	Request generator.GenerateRequest
}

// CancelGenerate stops an attempt; its GenerateFailed or Generated still follows.
type CancelGenerate struct {
	Attempt  string
	Endpoint string
}

// Invoke sends an attempt to a plain service.
type Invoke struct {
	Attempt  string
	Endpoint string
	Service  string
	Call     requester.Call
	// AtMostOnce is true if the call may not be repeated: it is only sent while the
	// instance's lease is confirmed.
	AtMostOnce bool
	// Deadline is the caller's.
	Deadline time.Time
}

// QueryStatus asks a service for a call's outcome; StatusReceived follows if it answers.
type QueryStatus struct {
	Business string
	Key      string
	Service  string
	Endpoint string
}

// Answer ends a request. Err is nil for a Reply.
type Answer struct {
	Request string
	Reply   requester.Reply
	Err     *answerer.Error
}

// ReleaseMemory drops a program's memory at an engine; MemoryReleased follows.
type ReleaseMemory struct {
	Endpoint string
	Program  string
}

// DrawEscrow asks for tokens of a business's budget; EscrowDrawn follows.
type DrawEscrow struct {
	Business string
	Tokens   int
	Limit    int
}

// ReturnEscrow gives unspent tokens of a business's budget back.
type ReturnEscrow struct {
	Business string
	Tokens   int
}

// ShardReleased says that a released shard is idle, durable and no longer served.
type ShardReleased struct{ Shard int }

// CountRetry counts a retry and its reason.
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
