// Package decider implements the state machine of the programs and keyed calls
// of an instance's shards: the order of turns, histories, budgets, at-most-once
// calls, dispatching to endpoints and the release of engine memory.
//
// A Core takes events and returns the actions that its caller, package executor,
// has to carry out. It does no I/O and starts no goroutine, but reads the clock.
package decider

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/limiter"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/router"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// RetryBudget limits the retries of each business.
type RetryBudget interface {
	// Earn counts a first attempt; share is the share of first attempts that may
	// be retried.
	Earn(now time.Time, business string, share float64)
	// Spend reports whether a retry may be made, and counts it.
	Spend(now time.Time, business string) bool
	// Backoff returns the delay before the given retry, counted from 1, with jitter.
	Backoff(retry int) time.Duration
}

// Core holds the durable and volatile state of the shards that the instance owns.
// It is not safe for concurrent use.
type Core struct {
	settings    settings
	version     *compiler.Version
	queue       queuer.Queue
	router      router.Router
	retryBudget RetryBudget

	shards    map[int]*shard
	releasing map[int]*shard
	// programCount is the number of programs in shards.
	programCount int
	requests     map[string]*request
	// turns holds the active turns by turn ID; attempts holds those in flight, and
	// calls the calls in flight, by attempt ID.
	turns     map[string]*activeTurn
	attempts  map[string]*activeTurn
	calls     map[string]*invocation
	endpoints map[string]*endpoint
	escrows   map[string]*escrow

	// ticket is that of the last append, committed that of the last durable one.
	ticket          int64
	committed       int64
	commitCallbacks []commitCallback
	lastID          int64
	storeDown       bool
	storeDownSince  time.Time
	fenced          bool
	actions         []Action

	// pendingReleases are the ended programs that engines may still hold memory for.
	pendingReleases map[string]bool
	// sweepPart selects the shards that the last tick scanned for idle programs.
	sweepPart      int
	feasibility    *limiter.AdmissionController
	enginesVersion *compiler.Version
	enginesByModel map[string][]*compiler.Endpoint
}

// settings are the parameters of a Core.
type settings struct {
	idPrefix           string
	dataCentre         string
	queueLimit         int
	pendingLimit       int
	maxAttempts        int
	allowanceIncrement int
	commitTimeout      time.Duration
	releaseRetryDelay  time.Duration
}

const (
	defaultQueueLimit         = 4096
	defaultPendingLimit       = 8
	defaultMaxAttempts        = 3
	defaultAllowanceIncrement = 4096
	defaultCommitTimeout      = 10 * time.Second
	defaultReleaseRetryDelay  = 30 * time.Second
)

// Option sets a parameter of a Core.
type Option func(*settings)

// WithIDPrefix sets the prefix of attempt IDs. It must be unique to the process.
func WithIDPrefix(prefix string) Option { return func(s *settings) { s.idPrefix = prefix } }

// WithDataCentre sets the data centre that the instance is in.
func WithDataCentre(name string) Option { return func(s *settings) { s.dataCentre = name } }

// WithAllowanceIncrement sets how many tokens beyond a turn's worst case a
// program's durable allowance is raised by.
func WithAllowanceIncrement(tokens int) Option {
	return func(s *settings) { s.allowanceIncrement = tokens }
}

// WithCommitTimeout sets how long the store may be down before finished turns
// that are not yet durable are refused.
func WithCommitTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.commitTimeout = timeout }
}

// New returns a Core without shards.
func New(version *compiler.Version, queue queuer.Queue, endpointRouter router.Router, retryBudget RetryBudget, options ...Option) *Core {
	c := &Core{
		settings: settings{
			idPrefix: "core", queueLimit: defaultQueueLimit, pendingLimit: defaultPendingLimit,
			maxAttempts: defaultMaxAttempts, allowanceIncrement: defaultAllowanceIncrement,
			commitTimeout: defaultCommitTimeout, releaseRetryDelay: defaultReleaseRetryDelay,
		},
		version: version, queue: queue, router: endpointRouter, retryBudget: retryBudget,
		shards: map[int]*shard{}, releasing: map[int]*shard{}, requests: map[string]*request{}, turns: map[string]*activeTurn{},
		attempts: map[string]*activeTurn{}, calls: map[string]*invocation{},
		endpoints: map[string]*endpoint{}, escrows: map[string]*escrow{}, pendingReleases: map[string]bool{}, feasibility: limiter.NewAdmissionController(),
	}
	for _, option := range options {
		option(&c.settings)
	}
	return c
}

// request is a command that has no answer yet.
type request struct {
	id             string
	business       string
	deadline       time.Time
	turn           *activeTurn
	pendingProgram *program
	call           *invocation
}

// commitCallback runs once the append with the ticket is durable.
type commitCallback struct {
	ticket int64
	run    func()
}

// Handle processes an event and returns the actions to carry out, in order.
func (c *Core) Handle(event Event) []Action {
	if c.fenced {
		return c.refuseFenced(event)
	}
	c.handle(event)
	c.dispatchQueued()
	c.feasibility.SetBacklog(time.Now(), c.queue.Len())
	c.finishReleases()
	return c.takeActions()
}

// Counts are the numbers of items that a Core holds.
type Counts struct {
	Shards   int
	Programs int
	Queued   int
	// Attempts and Calls count the attempts in flight at engines and at services.
	Attempts int
	Calls    int
}

// Counts returns the numbers of items that the core holds.
func (c *Core) Counts() Counts {
	return Counts{
		Shards: len(c.shards), Programs: c.programCount, Queued: c.queue.Len(),
		Attempts: len(c.attempts), Calls: len(c.calls),
	}
}

func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) handle(event Event) {
	switch e := event.(type) {
	case CommandReceived:
		c.receiveCommand(e)
	case RequestCanceled:
		c.cancelRequest(e.Request)
	case AppendsCommitted:
		c.commit(e.Ticket)
	case InstanceFenced:
		c.fence()
	case GenerateCompleted:
		c.generateCompleted(e)
	case GenerateFailed:
		c.generateFailed(e)
	case InvokeCompleted:
		c.invokeCompleted(e)
	case InvokeFailed:
		c.invokeFailed(e)
	case StatusReceived:
		c.statusReceived(e)
	case VersionChanged:
		c.version = e.Version
	case EndpointsChanged:
		c.endpointsChanged(e.Views)
	case HoldingsReported:
		c.reconcileHoldings(e)
	case MemoryReleased:
		c.memoryReleased(e)
	case PrefixEvicted:
		c.prefixEvicted(e)
	case EscrowDrawn:
		c.escrowDrawn(e)
	case StoreHealthChanged:
		c.storeHealthChanged(e.Down)
	case ShardReleaseRequested:
		c.releaseShard(e.Shard)
	case ShardRevoked:
		c.revokeShard(e.Shard)
	case AllShardsReleased:
		c.returnEscrows()
	case Tick:
		c.tick()
	}
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// append applies the records to the shard's state and emits an Append of them.
// onDurable, if not nil, runs once they are durable.
func (c *Core) append(shardNumber int, onDurable func(), records ...recorder.Record) {
	s := c.shards[shardNumber]
	entries := make([]sharder.Entry, 0, len(records))
	for _, r := range records {
		if err := s.state.apply(r); err != nil {
			panic(fmt.Sprintf("decider: cannot apply a record of its own: %v", err))
		}
		entries = append(entries, newEntry(shardNumber, r))
	}
	c.ticket++
	s.lastTicket = c.ticket
	c.emit(Append{Ticket: c.ticket, Entries: entries})
	if onDurable != nil {
		c.afterCommit(c.ticket, onDurable)
	}
}

// afterCommit calls run once the append with the ticket is durable. Callbacks
// run in the order of their tickets.
func (c *Core) afterCommit(ticket int64, run func()) {
	at := len(c.commitCallbacks)
	for at > 0 && c.commitCallbacks[at-1].ticket > ticket {
		at--
	}
	c.commitCallbacks = slices.Insert(c.commitCallbacks, at, commitCallback{ticket: ticket, run: run})
}

func (c *Core) commit(ticket int64) {
	if ticket <= c.committed {
		return
	}
	c.committed = ticket
	count := 0
	for count < len(c.commitCallbacks) && c.commitCallbacks[count].ticket <= ticket {
		count++
	}
	ready := c.commitCallbacks[:count]
	c.commitCallbacks = append([]commitCallback(nil), c.commitCallbacks[count:]...)
	for _, callback := range ready {
		callback.run()
	}
}

func (c *Core) receiveCommand(e CommandReceived) {
	command := e.Command
	if c.requests[command.Request] != nil {
		return
	}
	r := &request{id: command.Request, business: command.Business, deadline: e.Deadline}
	c.requests[r.id] = r
	if key := command.RoutingKey(); key != "" {
		s := c.shards[requester.ShardOf(key)]
		if s == nil || (s.releasing && startsWork(command)) {
			c.refuse(r, answerer.New(answerer.Moved, "the shard is served by another instance"))
			return
		}
	}
	c.execute(r, command)
}

// startsWork reports whether the command starts new work.
func startsWork(command requester.Command) bool {
	return command.Open != nil || command.Turn != nil || command.Call != nil
}

func (c *Core) execute(r *request, command requester.Command) {
	switch {
	case command.Open != nil:
		c.openProgram(r, command.Open)
	case command.Turn != nil:
		c.requestTurn(r, command.Turn)
	case command.Call != nil:
		c.invoke(r, command.Call)
	case command.End != nil:
		c.endProgram(r, command.End)
	case command.History != nil:
		c.readHistory(r, command.History)
	case command.Outcome != nil:
		c.readOutcome(r, command.Outcome)
	case command.Explain != nil:
		c.explain(r, command.Explain)
	case command.Resolve != nil:
		c.resolve(r, command.Resolve)
	case command.List != nil:
		c.list(r, command.List)
	default:
		c.refuse(r, answerer.New(answerer.BadRequest, "the command is empty"))
	}
}

func (c *Core) refuse(r *request, err *answerer.Error) {
	if c.requests[r.id] == nil {
		return
	}
	delete(c.requests, r.id)
	c.emit(Answer{Request: r.id, Err: err})
}

func (c *Core) reply(r *request, reply requester.Reply) {
	if c.requests[r.id] == nil {
		return
	}
	delete(c.requests, r.id)
	c.emit(Answer{Request: r.id, Reply: reply})
}

func (c *Core) cancelRequest(id string) {
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	c.detach(r, answerer.Canceled)
}

// detach removes an answered or canceled request from the program, turn or call
// that it waits for.
func (c *Core) detach(r *request, kind answerer.Kind) {
	if r.pendingProgram != nil {
		r.pendingProgram.live.removePending(r)
	}
	if r.call != nil {
		r.call.removeWaiter(r)
	}
	if r.turn != nil {
		c.removeTurnWaiter(r.turn, r, kind)
	}
}

// refuseFenced refuses commands after another instance has taken over the shards.
func (c *Core) refuseFenced(event Event) []Action {
	e, ok := event.(CommandReceived)
	if !ok {
		return nil
	}
	return []Action{Answer{
		Request: e.Command.Request,
		Err:     answerer.New(answerer.Moved, "another instance has taken over the shards of this one"),
	}}
}

// nextID returns an ID that is unique across processes.
func (c *Core) nextID() string {
	c.lastID++
	return fmt.Sprintf("%s-%d", c.settings.idPrefix, c.lastID)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func sortedPrograms(m map[string]*program) []*program {
	all := make([]*program, 0, len(m))
	for _, id := range sortedKeys(m) {
		all = append(all, m[id])
	}
	return all
}

func sortedCalls(m map[string]*call) []*call {
	all := make([]*call, 0, len(m))
	for _, id := range sortedKeys(m) {
		all = append(all, m[id])
	}
	return all
}
