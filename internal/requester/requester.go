// Package requester owns the commands that an entry sends to a program's owner
// and the replies that come back. They are the same whether the owner is this
// instance or another one. It does not own how they are carried or decided.
package requester

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Command is one request from a caller. Exactly one of the pointers is set.
type Command struct {
	// Request is the id of the request, a ULID.
	Request string
	// Business is the authenticated caller's business.
	Business string
	// Timeout is the time that the caller still waits.
	Timeout time.Duration `json:"Left"`
	// Hops counts the instances that have forwarded the command.
	Hops int `json:",omitempty"`

	Open    *Open    `json:",omitempty"`
	Turn    *Turn    `json:",omitempty"`
	Call    *Call    `json:",omitempty"`
	End     *End     `json:",omitempty"`
	History *History `json:",omitempty"`
	Outcome *Outcome `json:",omitempty"`
	Explain *Explain `json:",omitempty"`
	Resolve *Resolve `json:",omitempty"`
	List    *List    `json:",omitempty"`
	Drain   *Drain   `json:",omitempty"`
}

// Open starts a program.
type Open struct {
	// Program is the new program's id, made by the entry with NewRoot or NewChild.
	Program string
	Agent   string
	// Budget is in tokens; zero means the agent program's default.
	Budget int
	// Parent is set for a sub-agent; it shares the root's budget.
	Parent string `json:",omitempty"`
}

// Turn takes the next turn of a program.
type Turn struct {
	Program string
	// Number is the turn's number from 1; zero means the next one.
	Number int
	// Key makes the turn idempotent; empty means that Number alone does.
	Key   string
	Input string
	// MaxTokens bounds the answer; zero means the agent program's default.
	MaxTokens int
	// Chain is the caller's hash of the history before this turn; empty if not checked.
	Chain string `json:",omitempty"`
}

// Call is a request to a plain service.
type Call struct {
	Service string
	// Key identifies the call; required where calls may not be repeated.
	Key         string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Program is set when the call belongs to a program.
	Program string `json:",omitempty"`
}

// End ends a program and its sub-agents.
type End struct {
	Program string
	Reason  string
}

// History reads a program's turns after the number given.
type History struct {
	Program string
	After   int
}

// Outcome asks what became of the call with the key.
type Outcome struct{ Key string }

// Explain asks why a program waits and where its time went.
type Explain struct{ Program string }

// Resolve settles an unknown outcome by an operator's word.
type Resolve struct {
	Key string
	// Landed says whether the call took effect.
	Landed bool
	Note   string
}

// List asks an instance for what it owns.
type List struct {
	// Kind is one of the constants below.
	Kind string `json:"What"`
}

// What can be listed.
const (
	// ListPrograms lists the programs with their explanations.
	ListPrograms = "Programs"
	// ListUnknown lists the calls whose outcome is unknown.
	ListUnknown = "Unknown"
	// ListCount counts the programs.
	ListCount = "Count"
)

// Drain begins a planned stop of the instance.
type Drain struct{}

// Reply is the whole answer to a command. Exactly one of the pointers is set.
type Reply struct {
	Open    *OpenReply   `json:"Opened,omitempty"`
	Turn    *TurnReply   `json:"Turned,omitempty"`
	Call    *CallReply   `json:"Called,omitempty"`
	End     *EndReply    `json:"Ended,omitempty"`
	History *HistoryPage `json:",omitempty"`
	Outcome *OutcomeView `json:",omitempty"`
	Explain *Explanation `json:",omitempty"`
	List    *ListReply   `json:"Listed,omitempty"`
}

// OpenReply answers Open.
type OpenReply struct {
	Program string
	// Budget is the tokens left to the program's tree.
	Budget int
	Chain  string
}

// TurnReply answers Turn.
type TurnReply struct {
	Program string
	Number  int
	Text    string
	Usage   generator.Usage
	// Chain is the hash of the history including this turn.
	Chain string
	// Remaining is the tokens left to the program's tree.
	Remaining int
	// Replayed is set when the recorded answer was sent again.
	Replayed bool `json:",omitempty"`
	Endpoint string
}

// CallReply answers Call.
type CallReply struct {
	Key         string
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool `json:",omitempty"`
}

// EndReply answers End.
type EndReply struct {
	Program string
	Reason  string
	Spent   int
}

// HistoryPage answers History.
type HistoryPage struct {
	Program string
	Agent   string
	Ended   bool
	Chain   string
	Turns   []TurnView
}

// TurnView is one turn of a history.
type TurnView struct {
	Number int
	Input  string
	Text   string
	Usage  generator.Usage
	Chain  string
}

// OutcomeView answers Outcome and Resolve. State is "Pending", "Done",
// "Unknown", "Resolved" or "Absent".
type OutcomeView struct {
	Key     string
	Service string
	State   string
	Status  int
	Body    []byte
	Note    string `json:",omitempty"`
}

// Explanation answers Explain.
type Explanation struct {
	Program  string
	Business string
	Agent    string
	// State is "Idle", "Queued", "Running", "Committing" or "Ended".
	State    string
	Reason   string
	Turns    int
	Spent    int
	Reserved int
	Budget   int
	Queued   time.Duration
	Running  time.Duration
	Waiting  time.Duration
	Endpoint string
	Position int
}

// ListReply answers List.
type ListReply struct {
	Programs []Explanation `json:",omitempty"`
	Outcomes []OutcomeView `json:",omitempty"`
	// Count is the number of programs.
	Count int
}

// Sink receives the chunks of a turn's answer, in order, before the reply.
type Sink interface {
	Chunk(chunk generator.Chunk) error
}

// Doer carries a command to its owner and returns the whole answer. A returned
// error carries a kind of internal/answerer. Ending ctx cancels the command.
type Doer interface {
	Do(ctx context.Context, command Command, sink Sink) (Reply, error)
}

// childSeparator stands between a root's id and a sub-agent's own part.
const childSeparator = "."

// Root returns the id of the root of the program's tree.
func Root(program string) string {
	root, _, _ := strings.Cut(program, childSeparator)
	return root
}

// NewChild returns the id of a sub-agent; it shares the root's shard.
func NewChild(parent, suffix string) string {
	return Root(parent) + childSeparator + suffix
}

// RoutingKey returns the string that places the command on a shard; empty
// means that any instance may serve it.
func (c Command) RoutingKey() string {
	switch {
	case c.Open != nil:
		return Root(c.Open.Program)
	case c.Turn != nil:
		return Root(c.Turn.Program)
	case c.End != nil:
		return Root(c.End.Program)
	case c.History != nil:
		return Root(c.History.Program)
	case c.Explain != nil:
		return Root(c.Explain.Program)
	case c.Call != nil && c.Call.Key != "":
		return CallRoutingKey(c.Business, c.Call.Key)
	case c.Outcome != nil:
		return CallRoutingKey(c.Business, c.Outcome.Key)
	case c.Resolve != nil:
		return CallRoutingKey(c.Business, c.Resolve.Key)
	}
	return ""
}

// CallRoutingKey returns the routing key of a call's key.
func CallRoutingKey(business, key string) string { return business + "/" + key }

// ShardCount is the number of shards that programs and keyed calls are placed on.
const ShardCount = 4096

// ShardOf returns the shard of the routing key.
func ShardOf(routingKey string) int {
	return int(xxhash.Sum64String(routingKey) % ShardCount)
}
