// Package requester defines the commands that an entry instance sends to the owner
// of a program or call, the replies, and the shards that the commands are routed
// by. The owner may be the same instance or another one; package forwarder sends
// commands to it.
package requester

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Command is one request from a caller. Exactly one of the pointer fields is set.
type Command struct {
	// Request is the id of the request, a ULID.
	Request string
	// Business is the authenticated caller's business.
	Business string
	// Timeout is the time left until the caller's deadline; zero or less means no
	// deadline.
	Timeout time.Duration `json:"Left"`
	// Hops is the number of times that the command has been forwarded.
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
	// Program is the id that the entry assigns to the new program; that of a
	// sub-agent is made by NewChild.
	Program string
	Agent   string
	// Budget is in tokens; zero means the agent's default.
	Budget int
	// Parent is set for a sub-agent, which shares the budget of its root program.
	Parent string `json:",omitempty"`
}

// Turn requests a turn of a program.
type Turn struct {
	Program string
	// Number is the turn's number, from 1; zero means the next turn.
	Number int
	// Key is the idempotency key of the turn; if it is empty, Number identifies
	// the turn.
	Key   string
	Input string
	// MaxTokens bounds the answer; zero means the agent's default.
	MaxTokens int
	// Chain is the caller's hash of the history before this turn; if it is empty,
	// the history is not checked.
	Chain string `json:",omitempty"`
}

// Call is a request to a plain service.
type Call struct {
	Service string
	// Key is the idempotency key of the call; it is required for services whose
	// calls must not be repeated.
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

// History reads a program's turns whose numbers are greater than After.
type History struct {
	Program string
	After   int
}

// Outcome reads the outcome of the call with the key.
type Outcome struct{ Key string }

// Explain reads the state of a program, the reason why it waits and how its time
// was spent.
type Explain struct{ Program string }

// Resolve records an operator's decision on a call whose outcome is unknown.
type Resolve struct {
	Key string
	// Landed is set if the operator found that the call took effect.
	Landed bool
	Note   string
}

// List lists what an instance owns.
type List struct {
	// Kind is ListPrograms, ListUnknown or ListCount.
	Kind string `json:"What"`
}

// The values of List.Kind.
const (
	// ListPrograms lists the programs with their explanations.
	ListPrograms = "Programs"
	// ListUnknown lists the calls whose outcome is unknown.
	ListUnknown = "Unknown"
	// ListCount counts the programs.
	ListCount = "Count"
)

// Drain starts a graceful shutdown of the instance.
type Drain struct{}

// Reply is the complete answer to a command. Exactly one of the pointer fields is
// set.
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

// OpenReply is the reply to Open.
type OpenReply struct {
	Program string
	// Budget is the number of tokens left to the program's tree.
	Budget int
	Chain  string
}

// TurnReply is the reply to Turn.
type TurnReply struct {
	Program string
	Number  int
	Text    string
	Usage   generator.Usage
	// Chain is the hash of the history up to and including this turn.
	Chain string
	// Remaining is the number of tokens left to the program's tree.
	Remaining int
	// Replayed is set if the answer is the recorded one of an earlier request.
	Replayed bool `json:",omitempty"`
	Endpoint string
}

// CallReply is the reply to Call.
type CallReply struct {
	Key         string
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool `json:",omitempty"`
}

// EndReply is the reply to End.
type EndReply struct {
	Program string
	Reason  string
	Spent   int
}

// HistoryPage is the reply to History.
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

// OutcomeView is the reply to Outcome and Resolve and one item of a ListReply.
// State is "Pending", "Done", "Unknown", "Resolved" or "Absent".
type OutcomeView struct {
	Key     string
	Service string
	State   string
	Status  int
	Body    []byte
	Note    string `json:",omitempty"`
}

// Explanation is the reply to Explain and one item of a ListReply.
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
	// Queued and Running are the times that turns of the program were queued and
	// running; Waiting is the rest of the time since the program was opened.
	Queued   time.Duration
	Running  time.Duration
	Waiting  time.Duration
	Endpoint string
	// Position is the position of the turn in the queue, from 1, if it is queued.
	Position int
}

// ListReply is the reply to List.
type ListReply struct {
	Programs []Explanation `json:",omitempty"`
	Outcomes []OutcomeView `json:",omitempty"`
	// Count is the number of programs.
	Count int
}

// Sink receives the chunks of a turn's answer, in order, before Do returns.
type Sink interface {
	Chunk(chunk generator.Chunk) error
}

// Doer runs a command at its owner and returns the complete answer. Errors have a
// kind of package answerer. If ctx ends, the command is canceled.
type Doer interface {
	Do(ctx context.Context, command Command, sink Sink) (Reply, error)
}

// childSeparator separates the root's id and the suffix in a sub-agent's id.
const childSeparator = "."

// Root returns the id of the root program of the program's tree.
func Root(program string) string {
	root, _, _ := strings.Cut(program, childSeparator)
	return root
}

// NewChild returns the id of a sub-agent, which is on the same shard as its root.
func NewChild(parent, suffix string) string {
	return Root(parent) + childSeparator + suffix
}

// RoutingKey returns the string whose hash selects the command's shard. If it is
// empty, any instance may run the command.
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

// ShardCount is the number of shards of programs and of calls with a key.
const ShardCount = 4096

// ShardOf returns the shard of the routing key.
func ShardOf(routingKey string) int {
	return int(xxhash.Sum64String(routingKey) % ShardCount)
}
