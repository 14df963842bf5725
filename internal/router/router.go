// Package router owns the choice of an endpoint for a generation. It does not
// own the queue, nor the health and load figures it is given.
package router

import "time"

// Candidate is one endpoint that could serve a generation now.
type Candidate struct {
	Endpoint string
	// Local says that it is in this instance's data centre.
	Local bool
	// Running, Waiting and Slots come from the last load report.
	Running int
	Waiting int
	Slots   int
	// ReportAge is how old the report is.
	ReportAge time.Duration
	// Outstanding counts this instance's own dispatches in flight there.
	Outstanding int
	// SentSinceReport counts this instance's own dispatches since the report.
	SentSinceReport int
	// PrefixTokens is the part of the prompt that the endpoint is believed to hold.
	PrefixTokens int
	// Ramp is the share of its slots that may be used, 0 to 1, below 1 for a new endpoint.
	Ramp float64
	// GapRatio is the recent time between tokens over the fleet's usual one; 1 is usual.
	GapRatio float64
}

// Request describes the generation to be placed.
type Request struct {
	Program      string
	PromptTokens int
	MaxTokens    int
	// LastEndpoint is the endpoint that served the program's last turn; empty if none.
	LastEndpoint string
	// Urgent lets the request wait at an endpoint whose slots are taken, since
	// the endpoint serves it first.
	Urgent bool
}

// Router picks endpoints. It is not safe for concurrent use.
type Router interface {
	// Pick returns the index of the chosen candidate, or false if the request
	// had better wait. Candidates is never empty and is not kept.
	Pick(request Request, candidates []Candidate) (int, bool)
}
