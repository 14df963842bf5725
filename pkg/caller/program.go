package caller

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/oklog/ulid/v2"
)

// Usage is the token usage of one turn.
type Usage struct {
	Prompt int
	// Cached is the number of prompt tokens that the engine had in its cache.
	Cached    int
	Generated int
}

// Answer is the complete answer to a turn.
type Answer struct {
	Program string
	Number  int
	Text    string
	Usage   Usage
	// Chain is the hash of the history including this turn.
	Chain string
	// Remaining is the number of tokens left in the budget that the program shares
	// with its sub-agents.
	Remaining int
	// Replayed is true if the answer is the recorded one of an earlier request.
	Replayed bool
	Endpoint string
}

// Turn is one turn of a program's history.
type Turn struct {
	Number int
	Input  string
	Text   string
	Usage  Usage
	Chain  string
}

// History is a list of turns of a program.
type History struct {
	Program string
	Agent   string
	Ended   bool
	Chain   string
	Turns   []Turn
}

// EndResult is the result of ending a program.
type EndResult struct {
	Program string
	Reason  string
	// Spent is the number of tokens that the program used.
	Spent int
}

// Program is a handle of an agent program. Its turns must be taken one after another,
// because each turn sends the hash of the history that it continues.
type Program struct {
	client *Client
	id     string

	mutex sync.Mutex
	chain string
}

// OpenOption configures a program that is opened.
type OpenOption func(*openRequest)

type openRequest struct {
	Agent  string
	Budget int
	Parent string
	Key    string
}

// WithBudget limits the tokens used by the program and its sub-agents.
func WithBudget(tokens int) OpenOption { return func(r *openRequest) { r.Budget = tokens } }

// WithParent makes the program a sub-agent that shares the parent's budget.
func WithParent(parent *Program) OpenOption { return func(r *openRequest) { r.Parent = parent.id } }

// WithOpenKey makes the open idempotent: the same key opens the same program.
func WithOpenKey(key string) OpenOption { return func(r *openRequest) { r.Key = key } }

// Open opens a program of the agent.
func (c *Client) Open(ctx context.Context, agent string, options ...OpenOption) (*Program, error) {
	request := openRequest{Agent: agent, Key: ulid.Make().String()}
	for _, option := range options {
		option(&request)
	}
	var opened struct {
		Program string
		Budget  int
		Chain   string
	}
	if err := c.do(ctx, http.MethodPost, "/v1/programs", request, &opened); err != nil {
		return nil, err
	}
	return &Program{client: c, id: opened.Program, chain: opened.Chain}, nil
}

// Program returns a handle of a program that was opened before. The first turn taken
// with it does not check the history.
func (c *Client) Program(id string) *Program { return &Program{client: c, id: id} }

// ID returns the program's id.
func (p *Program) ID() string { return p.id }

func (p *Program) path(rest string) string {
	return "/v1/programs/" + url.PathEscape(p.id) + rest
}

// TurnOption configures a turn.
type TurnOption func(*turnRequest)

type turnRequest struct {
	Number    int
	Key       string
	Input     string
	MaxTokens int
	Chain     string
	Stream    bool
}

// WithNumber sets the turn's number, from 1.
func WithNumber(n int) TurnOption { return func(r *turnRequest) { r.Number = n } }

// WithTurnKey sets the idempotency key of the turn. The default is a new key for each
// turn.
func WithTurnKey(key string) TurnOption { return func(r *turnRequest) { r.Key = key } }

// WithMaxTokens limits the number of tokens of the answer.
func WithMaxTokens(n int) TurnOption { return func(r *turnRequest) { r.MaxTokens = n } }

func (p *Program) newTurn(input string, stream bool, options []TurnOption) turnRequest {
	request := turnRequest{Key: ulid.Make().String(), Input: input, Chain: p.lastChain(), Stream: stream}
	for _, option := range options {
		option(&request)
	}
	return request
}

// Ask takes a turn and returns the complete answer.
func (p *Program) Ask(ctx context.Context, input string, options ...TurnOption) (Answer, error) {
	var answer Answer
	request := p.newTurn(input, false, options)
	if err := p.client.do(ctx, http.MethodPost, p.path("/turns"), request, &answer); err != nil {
		return Answer{}, err
	}
	p.setChain(answer.Chain)
	return answer, nil
}

// History returns the turns with numbers greater than after.
func (p *Program) History(ctx context.Context, after int) (History, error) {
	var history History
	query := url.Values{"After": {strconv.Itoa(after)}}
	err := p.client.do(ctx, http.MethodGet, p.path("/history?"+query.Encode()), nil, &history)
	return history, err
}

// End ends the program and its sub-agents.
func (p *Program) End(ctx context.Context) (EndResult, error) {
	var ended EndResult
	err := p.client.do(ctx, http.MethodDelete, p.path(""), nil, &ended)
	return ended, err
}

func (p *Program) lastChain() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.chain
}

func (p *Program) setChain(chain string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.chain = chain
}
