// Package compiler splits the operators' document into sections, validates it
// and compiles it into an immutable Version. Accepting, storing and distributing
// versions is left to other packages.
package compiler

import (
	"net/netip"
	"time"
)

// Version is the compiled form of one document. It is immutable and safe for
// concurrent use.
type Version struct {
	// Number increases by one with each accepted document; zero means that none
	// has been accepted.
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
	// Weight is the share of the endpoints relative to the other businesses.
	Weight int
	// Budget is the limit in tokens over the business's lifetime; zero means none.
	Budget int
	// RetryShare is the upper bound of retries as a fraction of requests, 0 to 1.
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
	// Precedence is the rank among the agent programs of the business; the lowest
	// is served first.
	Precedence int
	// Budget is the limit in tokens per program tree.
	Budget int
	// MaxTurns, MaxOutput (tokens per turn), MaxHistory (tokens), WallLimit and
	// IdleTimeout bound a program; one that exceeds them is ended or refused.
	MaxTurns    int
	MaxOutput   int
	MaxHistory  int
	WallLimit   time.Duration
	IdleTimeout time.Duration
	// ToolPause is the typical pause between turns.
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
	// Slots is the batch size of an engine or the concurrent calls of a replica.
	Slots int
	// CacheTokens is the size of the engine's prefix cache in tokens.
	CacheTokens int
	// ChecksFence reports whether the endpoint rejects stale fencing numbers.
	ChecksFence bool
	// TLS reports whether the endpoint is dialled with TLS.
	TLS bool
	// Leaving excludes the endpoint from new calls.
	Leaving bool
}

// Service is a plain service that calls are routed to.
type Service struct {
	Name string
	// Business is the only business that may call the service; empty means all.
	Business string
	// Repeatable reports whether a call may run more than once.
	Repeatable bool
	// HonoursKey reports whether the service executes calls with the same
	// Idempotency-Key only once.
	HonoursKey bool
	// StatusPath is the URL path that returns the outcome of a call, queried with
	// ?Key=; empty if the service has none.
	StatusPath string
	Timeout    time.Duration
}

// Operator is one operator and the rights granted to it.
type Operator struct {
	Name    string
	KeyHash string
	// Sections lists the granted sections and rights; see ValidRights.
	Sections []string
}

// Policy selects the queueing and routing policies.
type Policy struct {
	// Queue is "LeastAttained", "FirstCome" or "ShortestCall".
	Queue string
	// Routing is "Affinity", "TwoChoices", "LeastLoaded", "RoundRobin" or "Random".
	Routing string
	// StarveAfter bounds how long precedence may delay a request.
	StarveAfter time.Duration
	// QueueLimit bounds the number of requests queued on one instance.
	QueueLimit int
}
