// Package compiler owns the operators' document: its sections, its validation
// and the immutable Version compiled from it. It does not own how a version is
// accepted, stored or spread.
package compiler

import (
	"net/netip"
	"time"
)

// Version is one accepted document, compiled. It is never changed after it was
// made and may be shared between goroutines.
type Version struct {
	// Number grows by one with each accepted document; zero means none yet.
	Number     int64
	Businesses map[string]*Business
	// Agents is keyed by AgentName.
	Agents    map[string]*Agent
	Endpoints map[string]*Endpoint
	Services  map[string]*Service
	Operators map[string]*Operator
	Policy    Policy
}

// AgentName returns the key of an agent program in Version.Agents.
func AgentName(business, agent string) string { return business + "/" + agent }

// Business is one business that shares the system.
type Business struct {
	Name string
	// Weight is its share of the endpoints relative to the other businesses.
	Weight int
	// Budget is in tokens over the business's lifetime; zero means no bound.
	Budget int
	// RetryShare bounds retries as a share of requests, 0 to 1.
	RetryShare float64
	// KeyHashes are SHA-256 sums, in lower-case hex, of the callers' keys.
	KeyHashes []string
}

// Agent is one agent program of a business.
type Agent struct {
	Business     string
	Name         string
	Model        string
	Adapter      string
	Instructions string
	// Precedence is served lowest first.
	Precedence int
	// Budget is in tokens per program tree.
	Budget int
	// MaxTurns, MaxOutput (tokens a turn), MaxHistory (tokens), WallLimit and
	// IdleTimeout end or refuse programs that go on without end.
	MaxTurns    int
	MaxOutput   int
	MaxHistory  int
	WallLimit   time.Duration
	IdleTimeout time.Duration
	// ToolPause is the usual pause between turns.
	ToolPause time.Duration
}

// Endpoint is one model engine or one replica of a plain service.
type Endpoint struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Service is empty for a model engine.
	Service string
	Models  []string
	// Slots is the engine's batch size or the replica's concurrent calls.
	Slots int
	// CacheTokens is the engine's prefix cache, in tokens.
	CacheTokens int
	// ChecksFence says whether the endpoint refuses an old fencing number.
	ChecksFence bool
	// TLS says whether the endpoint is dialled with TLS.
	TLS bool
	// Leaving takes the endpoint out of use.
	Leaving bool
}

// Service is a plain service that calls are routed to.
type Service struct {
	Name string
	// Business is the owner; empty means all businesses may call it.
	Business string
	// Repeatable says whether a call may be run more than once.
	Repeatable bool
	// HonoursKey says whether the service runs a repeated Idempotency-Key once.
	HonoursKey bool
	// StatusPath is asked with ?Key= for the outcome of a call; empty if not offered.
	StatusPath string
	Timeout    time.Duration
}

// Operator may edit the sections named.
type Operator struct {
	Name    string
	KeyHash string
	// Sections may hold "*" for all.
	Sections []string
}

// Policy selects among the ways to queue and route.
type Policy struct {
	// Queue is "LeastAttained", "FirstCome" or "ShortestCall".
	Queue string
	// Routing is "Affinity", "TwoChoices", "LeastLoaded", "RoundRobin" or "Random".
	Routing string
	// StarveAfter bounds how long precedence may hold a request back.
	StarveAfter time.Duration
	// QueueLimit bounds the requests waiting on one instance.
	QueueLimit int
}
