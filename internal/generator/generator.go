// Package generator defines the messages of the protocol between instances and
// model engines. Package dispatcher implements the client and package fakeengine
// a server.
//
// Messages are JSON with Pascal-case fields, and an engine serves them over HTTP:
//
//	POST /v1/generate        GenerateRequest -> server-sent events, each a Chunk
//	POST /v1/cancel          CancelRequest   -> 204, also for unknown IDs
//	GET  /v1/load            -> LoadReport
//	GET  /v1/holdings        -> HoldingReport
//	POST /v1/release         ReleaseRequest  -> 204, idempotent
//	GET  /v1/events?After=N  -> CacheEventPage, events may be late or missing
//	POST /v1/export          ReleaseRequest  -> opaque bytes
//	POST /v1/import          opaque bytes    -> 204
//	POST /v1/orders          Order           -> OrderReport, 409 for an old Fence
//	GET  /v1/state           -> OrderReport
//	GET  /healthz            -> 200
package generator

import "time"

// Message is an entry of a program's history.
type Message struct {
	// Role is "System", "User" or "Assistant".
	Role string
	Text string
}

// GenerateRequest requests a generation.
type GenerateRequest struct {
	// Request is the attempt's ID, which is unique.
	Request string
	// Program is the namespace of the cache entries. Programs of one business may
	// still share cached blocks.
	Program  string
	Business string
	Model    string
	Adapter  string `json:",omitempty"`
	// Priority orders requests; the lowest value is served first.
	Priority int
	Messages []Message
	// MaxTokens limits the number of tokens generated.
	MaxTokens int
	// Offset is the token at which to resume an interrupted stream; the output
	// before it is not sent again.
	Offset int `json:",omitempty"`
	// Seed makes the output deterministic, so that a resumed stream continues the
	// same text.
	Seed uint64
}

// Chunk is an event of the stream of a generation. The last chunk, and no other,
// has Done set; a stream that ends without it is truncated.
type Chunk struct {
	// Request is the attempt's ID, by which a client detects the answer to another
	// request.
	Request string
	// Offset is the index of the first token of Text in the whole output.
	Offset int
	Text   string
	// Tokens is the number of tokens in Text.
	Tokens int
	Done   bool   `json:",omitempty"`
	Usage  *Usage `json:",omitempty"`
	// Error is set, together with Done, if the generation failed.
	Error string `json:",omitempty"`
}

// Usage is the token usage of a generation.
type Usage struct {
	Prompt int
	// Cached is the part of Prompt that was in the prefix cache.
	Cached    int
	Generated int
}

// Total returns the number of tokens that a budget is charged.
func (u Usage) Total() int { return u.Prompt + u.Generated }

// CancelRequest cancels the attempt with the ID Request.
type CancelRequest struct{ Request string }

// ReleaseRequest selects the cache entries of a program, to release or export them.
type ReleaseRequest struct{ Program string }

// LoadReport is the load of an engine as of Age ago.
type LoadReport struct {
	Endpoint string
	// Running and Waiting are numbers of generations.
	Running int
	Waiting int
	// Slots is the maximum batch size.
	Slots int
	// CacheTokens is the use of the prefix cache and CacheLimit its size, in tokens.
	CacheTokens int
	CacheLimit  int
	// Age is the time between measuring and sending the report.
	Age time.Duration
	// Leaving is true once the engine is shutting down.
	Leaving bool
	Models  []string
}

// HoldingReport lists the programs whose cache entries an engine holds.
type HoldingReport struct {
	Holdings []Holding
}

// Holding is the use of an engine's cache by a program.
type Holding struct {
	Program string
	Tokens  int
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Number  int64
	Program string
	// Change is "Stored" or "Evicted".
	Change string
	Tokens int
}

// CacheEventPage is a list of consecutive events. A gap in Number means that
// events were lost.
type CacheEventPage struct {
	Events []CacheEvent
	Next   int64
}

// Order is a command that changes what an engine serves.
type Order struct {
	ID string
	// Fence is the fencing token. An engine that checks it refuses an order with a
	// lower one than it has seen.
	Fence int64
	// Change is "LoadModel", "UnloadModel", "LoadAdapter", "UnloadAdapter", "SetRole" or "SetVersion".
	Change string
	Model  string
	Name   string `json:",omitempty"`
}

// OrderReport is the state of an engine that orders change.
type OrderReport struct {
	Fence    int64
	Models   []string
	Adapters []string
	Role     string
	// LastOrder is the ID of the last order applied.
	LastOrder string
}
