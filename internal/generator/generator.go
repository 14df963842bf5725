// Package generator owns the messages exchanged with model engines and plain
// services. It does not own how they are carried; internal/dispatcher sends
// them and the stand-ins answer them.
//
// An engine serves, as JSON over HTTP with Pascal-case fields:
//
//	POST /v1/generate        GenerateRequest -> server-sent events, each a Chunk
//	POST /v1/cancel          CancelRequest   -> 204; unknown ids are not an error
//	GET  /v1/load            -> LoadReport
//	GET  /v1/holdings        -> HoldingReport
//	POST /v1/release         ReleaseRequest  -> 204; idempotent
//	GET  /v1/events?After=N  -> EventPage, late and with gaps
//	POST /v1/export          ReleaseRequest  -> opaque bytes
//	POST /v1/import          opaque bytes    -> 204
//	POST /v1/orders          Order           -> OrderReport, 409 for an old Fence
//	GET  /v1/state           -> OrderReport
//	GET  /healthz            -> 200
package generator

import "time"

// Message is one entry of a program's history.
type Message struct {
	// Role is "User" or "Assistant".
	Role string
	Text string
}

// GenerateRequest asks for one generation. Request is unique per attempt.
type GenerateRequest struct {
	Request string
	// Program is the cache namespace; prefixes of different programs of one
	// business may still share cached blocks.
	Program  string
	Business string
	Model    string
	Adapter  string `json:",omitempty"`
	// Priority is served lowest first.
	Priority int
	Messages []Message
	// MaxTokens bounds the tokens generated.
	MaxTokens int
	// Offset asks to resume: chunks before it are not sent again.
	Offset int `json:",omitempty"`
	// Seed fixes the output of an attempt, so that a resume continues the same text.
	Seed uint64
}

// Chunk is one event of a generation's stream. Exactly one chunk has Done set
// and it is the last; a stream that ends without it was cut.
type Chunk struct {
	// Request repeats the attempt's id so that crossed answers are detected.
	Request string
	// Offset is the index of the first token of Text in the whole output.
	Offset int
	Text   string
	// Tokens is the number of tokens in Text.
	Tokens int
	Done   bool   `json:",omitempty"`
	Usage  *Usage `json:",omitempty"`
	// Error is set when the engine gave up; Done is set too.
	Error string `json:",omitempty"`
}

// Usage is the engine's account of one generation, in tokens.
type Usage struct {
	Prompt int
	// Cached is the part of Prompt that was found in the prefix cache.
	Cached    int
	Generated int
}

// Total is what a budget is charged with, in tokens.
func (u Usage) Total() int { return u.Prompt + u.Generated }

// CancelRequest stops the attempt with the id.
type CancelRequest struct{ Request string }

// ReleaseRequest names a program's cache entries.
type ReleaseRequest struct{ Program string }

// LoadReport is an engine's lagging account of itself.
type LoadReport struct {
	Endpoint string
	// Running and Waiting count generations.
	Running int
	Waiting int
	// Slots is the batch size at most.
	Slots int
	// CacheTokens and CacheLimit are in tokens.
	CacheTokens int
	CacheLimit  int
	// Age is how old the figures were when they were sent.
	Age time.Duration
	// Leaving is set once the engine has been told to stop.
	Leaving bool
	Models  []string
}

// HoldingReport lists the programs whose cache entries an engine holds.
type HoldingReport struct {
	Holdings []Holding
}

// Holding is one program's share of an engine's cache.
type Holding struct {
	Program string
	Tokens  int
}

// CacheEvent is one cache event.
type CacheEvent struct {
	Number  int64
	Program string
	// Change is "Stored" or "Evicted".
	Change string
	Tokens int
}

// CacheEventPage is a run of events; a jump in Number is a gap.
type CacheEventPage struct {
	Events []CacheEvent
	Next   int64
}

// Order changes what an engine serves.
type Order struct {
	ID string
	// Fence is the fencing number; an engine that checks refuses a lower one than it has seen.
	Fence int64
	// Change is "LoadModel", "UnloadModel", "LoadAdapter", "UnloadAdapter", "SetRole" or "SetVersion".
	Change string
	Model  string
	Name   string `json:",omitempty"`
}

// OrderReport is the state that orders act on.
type OrderReport struct {
	Fence    int64
	Models   []string
	Adapters []string
	Role     string
	// LastOrder is the id of the order applied last.
	LastOrder string
}
