// Package executor runs the decision core of this instance's shards in an actor.
// The actor passes events to the core one at a time; the executor performs the
// resulting actions: journal appends, requests to engines and services, and replies
// to callers. Decisions are made in package decider, and package placer assigns
// shards to instances.
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// EndpointClient sends requests to engines and services.
type EndpointClient interface {
	Generate(ctx context.Context, endpoint *compiler.Endpoint, request generator.GenerateRequest, sink requester.Sink) (string, generator.Usage, error)
	Cancel(ctx context.Context, endpoint *compiler.Endpoint, request string) error
	Release(ctx context.Context, endpoint *compiler.Endpoint, program string) error
	Call(ctx context.Context, service *compiler.Service, endpoint *compiler.Endpoint, call requester.Call) (dispatcher.Response, error)
	Status(ctx context.Context, service *compiler.Service, endpoint *compiler.Endpoint, key string) (dispatcher.Response, error)
}

// Observer records the results and timings of requests to endpoints.
type Observer interface {
	// RecordResult records the duration of a request and its error, which is nil or
	// from package dispatcher.
	RecordResult(endpoint string, took time.Duration, err error)
	// RecordTokenGap records the time between two chunks of a stream.
	RecordTokenGap(endpoint string, gap time.Duration)
}

// Escrow reserves tokens of a business's budget for this instance.
type Escrow interface {
	// Draw reserves up to tokens of a budget of limit tokens and returns the number
	// granted, which is zero if the budget is exhausted.
	Draw(ctx context.Context, business string, tokens, limit int) (int, error)
	// Return releases unspent tokens to the budget.
	Return(ctx context.Context, business string, tokens int) error
}

const (
	// tickInterval is the time between two checks of the deadlines.
	tickInterval = 50 * time.Millisecond
	// The core answers before the caller's deadline, by replyMargin or by the
	// timeout divided by replyMarginDivisor, whichever is shorter.
	replyMargin        = 250 * time.Millisecond
	replyMarginDivisor = 4
	// cancelGracePeriod bounds a cancel request and the time in which the canceled
	// stream may still end and report its usage.
	cancelGracePeriod = 2 * time.Second
	// controlTimeout bounds a memory release, a status query, and a draw or return
	// of escrow.
	controlTimeout = 5 * time.Second
	// revokeTimeout bounds the wait until a revoked shard is durable.
	revokeTimeout = 10 * time.Second
)

// Executor runs one decision core. It implements sharder.StateMachine and
// requester.Doer, and is safe for concurrent use once Start has returned.
type Executor struct {
	core           *decider.Core
	client         EndpointClient
	observer       Observer
	escrow         Escrow
	leaseConfirmed func() bool
	currentVersion func() *compiler.Version
	log            *logger.Logger
	meter          *meter.Meter

	journal     sharder.Journal
	backlogFull func() bool
	system      *actor.ActorSystem
	pid         *actor.PID
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	stopOnce    sync.Once
	fenced      atomic.Bool

	mu       sync.Mutex
	pending  map[string]*pendingCommand
	attempts map[string]context.CancelFunc

	// The fields below are accessed by the actor only.
	tickets          []ticket
	lastDurable      ticket
	durableTicket    int64
	releasing        map[int][]chan struct{}
	pendingSnapshots []pendingSnapshot
}

// ticket maps the ticket number of an append of the core to its journal sequence.
type ticket struct {
	number   int64
	sequence int64
}

// pendingSnapshot is a snapshot that is sent once its last append is durable.
type pendingSnapshot struct {
	ticket int64
	reply  chan<- snapshotResult
	result snapshotResult
}

type snapshotResult struct {
	body     []byte
	sequence int64
	err      error
}

// pendingCommand is a command whose caller waits for the answer.
type pendingCommand struct {
	outbox     *outbox
	reply      chan decider.Answer
	startedAt  time.Time
	firstToken sync.Once
}

// Option configures an Executor.
type Option func(*Executor)

// WithLogger sets the logger. Events are discarded by default.
func WithLogger(log *logger.Logger) Option { return func(e *Executor) { e.log = log } }

// WithMeter sets the metrics of turns, retries, tokens and the core's state.
func WithMeter(m *meter.Meter) Option { return func(e *Executor) { e.meter = m } }

// WithObserver sets the observer of requests to endpoints.
func WithObserver(observer Observer) Option { return func(e *Executor) { e.observer = observer } }

// WithEscrow sets the escrow of the business budgets. Without it every draw fails.
func WithEscrow(escrow Escrow) Option { return func(e *Executor) { e.escrow = escrow } }

// WithLeaseConfirmed sets the check that the lease is confirmed. It is called before
// a call that must not run twice is sent; if it returns false, the call is not sent.
func WithLeaseConfirmed(confirmed func() bool) Option {
	return func(e *Executor) { e.leaseConfirmed = confirmed }
}

// New returns an Executor. Start must be called before any other method.
func New(core *decider.Core, client EndpointClient, currentVersion func() *compiler.Version, options ...Option) *Executor {
	e := &Executor{
		core: core, client: client, currentVersion: currentVersion, observer: nopObserver{}, escrow: noEscrow{},
		leaseConfirmed: func() bool { return true }, backlogFull: func() bool { return false },
		log: logger.Discard(), pending: map[string]*pendingCommand{},
		attempts: map[string]context.CancelFunc{}, releasing: map[int][]chan struct{}{},
	}
	for _, option := range options {
		option(e)
	}
	if e.meter == nil {
		e.meter = meter.New()
	}
	return e
}

// Start starts the actor, which runs until Stop. Tasks end when ctx is done. New
// work is refused while backlogFull, which may be nil, reports that the journal's
// backlog has reached its limit.
func (e *Executor) Start(ctx context.Context, journal sharder.Journal, backlogFull func() bool) {
	e.journal = journal
	if backlogFull != nil {
		e.backlogFull = backlogFull
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	e.pid = e.system.Root.Spawn(actor.PropsFromFunc(e.receive))
	e.tasks.Go(e.tick)
}

// Stop cancels the tasks in flight, stops the actor and waits for both.
func (e *Executor) Stop() {
	e.stopOnce.Do(func() {
		e.cancel()
		_ = e.system.Root.StopFuture(e.pid).Wait()
		e.tasks.Wait()
		e.system.Shutdown()
	})
}

// ReturnEscrow returns the unspent tokens of the business budgets. It is called in a
// planned shutdown after all shards have been released, and blocks until the tokens
// are returned or ctx is done.
func (e *Executor) ReturnEscrow(ctx context.Context) {
	done := make(chan struct{})
	e.system.Root.Send(e.pid, returnAllEscrow{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Send queues an event for the core.
func (e *Executor) Send(event decider.Event) { e.system.Root.Send(e.pid, event) }

func (e *Executor) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.Send(decider.Tick{})
		}
	}
}

// Do implements requester.Doer for shards that this instance owns.
func (e *Executor) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	if needsJournal(command) && e.backlogFull() {
		return requester.Reply{}, answerer.New(answerer.BacklogFull, "the journal's backlog has reached its limit")
	}
	p := &pendingCommand{outbox: newOutbox(sink), reply: make(chan decider.Answer, 1), startedAt: time.Now()}
	if !e.register(command.Request, p) {
		return requester.Reply{}, answerer.New(answerer.BadRequest, "another request with this ID is in progress")
	}
	defer e.unregister(command.Request)
	e.Send(decider.CommandReceived{Command: command, Deadline: replyDeadline(command)})
	defer context.AfterFunc(ctx, func() { e.Send(decider.RequestCanceled{Request: command.Request}) })()
	for {
		select {
		case <-p.outbox.ready:
			p.outbox.forward()
		case answer := <-p.reply:
			p.outbox.forward()
			return e.complete(p, command, answer)
		case <-ctx.Done():
			return requester.Reply{}, callerGoneError(command, ctx.Err())
		case <-e.ctx.Done():
			return requester.Reply{}, stoppedError(command)
		}
	}
}

// callerGoneError returns the error of a command whose caller has gone. A call may
// have been sent, so its outcome is unknown; a turn may still be completed.
func callerGoneError(command requester.Command, cause error) error {
	if command.Call != nil {
		return answerer.Wrap(answerer.OutcomeUnknown, cause, "the caller disconnected or its deadline passed")
	}
	return answerer.Wrap(answerer.Canceled, cause, "the caller disconnected or its deadline passed")
}

// stoppedError returns the error of a command in progress when the executor stops.
func stoppedError(command requester.Command) error {
	if command.Call != nil {
		return answerer.New(answerer.OutcomeUnknown, "the instance stopped before the command completed")
	}
	return answerer.New(answerer.NotDurable, "the instance stopped before the command completed")
}

// needsJournal reports whether the command starts work that must become durable.
func needsJournal(command requester.Command) bool {
	return command.Open != nil || command.Turn != nil || command.Call != nil
}

// replyDeadline returns the time by which the core must answer, which is before the
// caller's deadline. It is zero if the command has no timeout.
func replyDeadline(command requester.Command) time.Time {
	if command.Timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(command.Timeout - min(command.Timeout/replyMarginDivisor, replyMargin))
}

// register returns false if a command with the request ID is pending.
func (e *Executor) register(request string, p *pendingCommand) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending[request] != nil {
		return false
	}
	e.pending[request] = p
	return true
}

func (e *Executor) unregister(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, request)
}

func (e *Executor) lookUp(request string) *pendingCommand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pending[request]
}

func (e *Executor) complete(p *pendingCommand, command requester.Command, answer decider.Answer) (requester.Reply, error) {
	if answer.Err != nil {
		return requester.Reply{}, answer.Err
	}
	if command.Turn != nil {
		e.meter.TurnSeconds.WithLabelValues(command.Business).Observe(time.Since(p.startedAt).Seconds())
	}
	return answer.Reply, nil
}
