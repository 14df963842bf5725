package decider

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/keeper"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// Event is something that happened. The types below are all there are.
type Event interface{ event() }

// Arrived is a command for a shard that this instance owns, or for none.
type Arrived struct {
	Command  requester.Command
	Deadline time.Time
}

// Gone says that the caller of the request no longer waits.
type Gone struct{ Request string }

// Committed says that all appends up to the ticket are durable.
type Committed struct{ Ticket int64 }

// Fenced says that nothing more can be made durable.
type Fenced struct{}

// Generated is the whole output of an attempt.
type Generated struct {
	Attempt string
	Text    string
	Usage   generator.Usage
}

// Cause says how a generation failed.
type Cause string

// The causes of a failed generation.
const (
	// NotSent means that no byte can have reached the endpoint.
	NotSent Cause = "NotSent"
	// Failed means that the endpoint answered with an error.
	Failed Cause = "Failed"
	// Truncated means that the stream ended before its terminator.
	Truncated Cause = "Truncated"
	// Silent means that the stream stopped without ending.
	Silent Cause = "Silent"
	// Canceled means that the attempt was canceled by this instance.
	Canceled Cause = "Canceled"
)

// GenerateFailed says that an attempt ended without its whole output.
type GenerateFailed struct {
	Attempt string
	Cause   Cause
	// Tokens is the offset up to which the output was received, and Text the
	// whole output up to there.
	Tokens int
	Text   string
	// Usage is set if the endpoint accounted for the attempt.
	Usage *generator.Usage
}

// Invoked is a service's whole answer to an attempt.
type Invoked struct {
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

// StatusKnown is a service's answer to the question for a call's outcome.
type StatusKnown struct {
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

// Holdings is an engine's list of the programs that it holds memory for.
type Holdings struct {
	Endpoint string
	Programs []string
}

// MemoryReleased says that an engine has dropped a program's memory.
type MemoryReleased struct {
	Endpoint string
	Program  string
}

// Evicted says that an engine no longer holds a program's prefix.
type Evicted struct {
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

// StoreHealth says whether writes to the store are failing.
type StoreHealth struct{ Down bool }

// Released asks to stop admitting work of the shard and to give it up once idle.
type Released struct{ Shard int }

// Cut gives a shard up at once, whatever is in flight.
type Cut struct{ Shard int }

// Stopped says that a planned stop has given up all shards.
type Stopped struct{}

// Ticked says that time has passed.
type Ticked struct{}

func (Arrived) event()          {}
func (Gone) event()             {}
func (Committed) event()        {}
func (Fenced) event()           {}
func (Generated) event()        {}
func (GenerateFailed) event()   {}
func (Invoked) event()          {}
func (InvokeFailed) event()     {}
func (StatusKnown) event()      {}
func (VersionChanged) event()   {}
func (EndpointsChanged) event() {}
func (Holdings) event()         {}
func (MemoryReleased) event()   {}
func (Evicted) event()          {}
func (EscrowDrawn) event()      {}
func (StoreHealth) event()      {}
func (Released) event()         {}
func (Cut) event()              {}
func (Stopped) event()          {}
func (Ticked) event()           {}

// Action is something to be done. The types below are all there are.
type Action interface{ action() }

// Append makes the entries durable together; Committed follows with the ticket.
type Append struct {
	Ticket  int64
	Entries []keeper.Entry
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
	// Once is true if the call may not be repeated: it is only sent while the
	// instance's lease is confirmed.
	Once bool
	// Deadline is the caller's.
	Deadline time.Time
}

// AskStatus asks a service for a call's outcome; StatusKnown follows if it answers.
type AskStatus struct {
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

// ShardGone says that a released shard is idle, durable and no longer served.
type ShardGone struct{ Shard int }

// Retried counts a retry and its reason.
type Retried struct {
	Reason string
	Target string
}

func (Append) action()         {}
func (Generate) action()       {}
func (CancelGenerate) action() {}
func (Invoke) action()         {}
func (AskStatus) action()      {}
func (Answer) action()         {}
func (ReleaseMemory) action()  {}
func (DrawEscrow) action()     {}
func (ReturnEscrow) action()   {}
func (ShardGone) action()      {}
func (Retried) action()        {}
