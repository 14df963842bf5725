// Package router implements the routing policies. Each chooses the endpoint that
// serves a generation by the load and prefix figures that the caller passes in.
package router

import "time"

// Candidate is one endpoint that could serve a generation.
type Candidate struct {
	Endpoint string
	// Local is set if the endpoint is in the data centre of this instance.
	Local bool
	// Running, Waiting and Slots come from the last load report.
	Running int
	Waiting int
	Slots   int
	// ReportAge is the age of that load report.
	ReportAge time.Duration
	// Outstanding counts the generations in flight that this instance sent.
	Outstanding int
	// SentSinceReport counts the generations that this instance has sent since
	// the load report.
	SentSinceReport int
	// PrefixTokens is the length of the prompt prefix that the endpoint is
	// expected to have in its cache.
	PrefixTokens int
	// Ramp is the share of the slots that may be used, from 0 to 1; it is below 1
	// for a new endpoint.
	Ramp float64
	// GapRatio is the recent time between tokens relative to the fleet's; 1 is
	// the usual value.
	GapRatio float64
}

// Request describes the generation that needs an endpoint.
type Request struct {
	Program      string
	PromptTokens int
	MaxTokens    int
	// LastEndpoint is the endpoint that served the program's last turn; empty if none.
	LastEndpoint string
	// Urgent allows an endpoint whose slots are all in use, since engines serve
	// urgent requests first.
	Urgent bool
}

// Router picks endpoints. Implementations are not safe for concurrent use.
type Router interface {
	// Pick returns the index of the selected candidate, or false if the request
	// should stay queued. Candidates must not be empty and is not retained.
	Pick(request Request, candidates []Candidate) (int, bool)
}
