// Package executor runs the decision core of a shard owner in an actor. The
// actor passes events to the core one at a time; the executor performs the
// resulting actions: journal appends, requests to engines and services, and
// replies to callers. Decisions are made in package decider, and package placer
// assigns shards to instances.
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

// Observer learns how requests to endpoints went.
type Observer interface {
	// RecordResult says how a request went; err is the dispatcher's.
	RecordResult(endpoint string, took time.Duration, err error)
	RecordTokenGap(endpoint string, gap time.Duration)
}

// Escrow draws tokens of a business's budget for this instance.
type Escrow interface {
	// Draw returns the tokens granted, zero if the budget is spent.
	Draw(ctx context.Context, business string, tokens, limit int) (int, error)
	// Return gives unspent tokens back.
	Return(ctx context.Context, business string, tokens int) error
}

const (
	// tickInterval is how often deadlines are looked at.
	tickInterval = 50 * time.Millisecond
	// replyMargin and answerPart set how long before the caller's deadline the
	// core answers: the margin, or a part of a short time.
	replyMargin        = 250 * time.Millisecond
	replyMarginDivisor = 4
	// cancelGracePeriod is how long a canceled stream may take to account for itself.
	cancelGracePeriod = 2 * time.Second
	// controlTimeout bounds a cancel, a release, a status query and a draw.
	controlTimeout = 5 * time.Second
	// revokeTimeout bounds the wait for a shard that was cut to become durable.
	revokeTimeout = 10 * time.Second
)

// Executor runs one decision core. It implements sharder.StateMachine and requester.Doer.
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

	// The fields below belong to the actor.
	tickets          []ticket
	lastDurable      ticket
	durableTicket    int64
	releasing        map[int][]chan struct{}
	pendingSnapshots []pendingSnapshot
}

// ticket maps an append of the core to the journal's sequence.
type ticket struct {
	number   int64
	sequence int64
}

// pendingSnapshot waits for its snapshot to be durable.
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

// pendingCommand is one caller that waits for the answer to a command.
type pendingCommand struct {
	outbox     *outbox
	reply      chan decider.Answer
	startedAt  time.Time
	firstToken sync.Once
}

// Option sets one property of an Owner.
type Option func(*Executor)

// WithLogger sets where events are logged.
func WithLogger(log *logger.Logger) Option { return func(o *Executor) { o.log = log } }

// WithMeter sets where answers, retries and tokens are counted.
func WithMeter(m *meter.Meter) Option { return func(o *Executor) { o.meter = m } }

// WithObserver sets who learns how requests to endpoints went.
func WithObserver(observer Observer) Option { return func(o *Executor) { o.observer = observer } }

// WithEscrow sets who draws business budgets; without it every draw fails.
func WithEscrow(escrow Escrow) Option { return func(o *Executor) { o.escrow = escrow } }

// WithLeaseConfirmed sets the check that the lease is confirmed, asked before a call
// that may not be repeated is sent.
func WithLeaseConfirmed(confirmed func() bool) Option {
	return func(o *Executor) { o.leaseConfirmed = confirmed }
}

// New returns an Owner that serves nothing before Start.
func New(core *decider.Core, endpoints EndpointClient, current func() *compiler.Version, options ...Option) *Executor {
	o := &Executor{
		core: core, client: endpoints, currentVersion: current, observer: nopObserver{}, escrow: noEscrow{},
		leaseConfirmed: func() bool { return true }, backlogFull: func() bool { return false },
		log: logger.Discard(), pending: map[string]*pendingCommand{},
		attempts: map[string]context.CancelFunc{}, releasing: map[int][]chan struct{}{},
	}
	for _, option := range options {
		option(o)
	}
	if o.meter == nil {
		o.meter = meter.New()
	}
	return o
}

// Start runs the actor until ctx ends. Full says that the journal's backlog is
// at its bound; new work is refused then.
func (e *Executor) Start(ctx context.Context, journal sharder.Journal, full func() bool) {
	e.journal = journal
	if full != nil {
		e.backlogFull = full
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	e.pid = e.system.Root.Spawn(actor.PropsFromFunc(e.receive))
	e.tasks.Go(e.tick)
}

// Stop ends the actor and everything that it has in flight.
func (e *Executor) Stop() {
	e.stopOnce.Do(func() {
		e.cancel()
		_ = e.system.Root.StopFuture(e.pid).Wait()
		e.tasks.Wait()
		e.system.Shutdown()
	})
}

// ReturnEscrow returns the unspent part of the businesses' budgets. It is for a
// planned stop, once all shards are gone; Stop waits for it.
func (e *Executor) ReturnEscrow(ctx context.Context) {
	done := make(chan struct{})
	e.system.Root.Send(e.pid, returnAllEscrow{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Send hands an event to the core.
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
		return requester.Reply{}, answerer.New(answerer.BacklogFull, "too much waits to be made durable")
	}
	w := &pendingCommand{outbox: newOutbox(sink), reply: make(chan decider.Answer, 1), startedAt: time.Now()}
	if !e.register(command.Request, w) {
		return requester.Reply{}, answerer.New(answerer.BadRequest, "the request id is in use")
	}
	defer e.unregister(command.Request)
	e.Send(decider.CommandReceived{Command: command, Deadline: replyDeadline(command)})
	defer context.AfterFunc(ctx, func() { e.Send(decider.RequestCanceled{Request: command.Request}) })()
	for {
		select {
		case <-w.outbox.ready:
			w.outbox.forward()
		case answer := <-w.reply:
			w.outbox.forward()
			return e.complete(w, command, answer)
		case <-ctx.Done():
			return requester.Reply{}, callerGoneError(command, ctx.Err())
		case <-e.ctx.Done():
			return requester.Reply{}, stoppedError(command)
		}
	}
}

// callerGoneError says what is known of a command whose caller no longer waits: a call may
// have been dispatched, and a turn may still be completed.
func callerGoneError(command requester.Command, cause error) error {
	if command.Call != nil {
		return answerer.Wrap(answerer.OutcomeUnknown, cause, "the caller no longer waits")
	}
	return answerer.Wrap(answerer.Canceled, cause, "the caller no longer waits")
}

// stoppedError says what is known of a command that the instance's end cut.
func stoppedError(command requester.Command) error {
	if command.Call != nil {
		return answerer.New(answerer.OutcomeUnknown, "the instance has stopped")
	}
	return answerer.New(answerer.NotDurable, "the instance has stopped")
}

// needsJournal says whether the command starts work that must become durable.
func needsJournal(command requester.Command) bool {
	return command.Open != nil || command.Turn != nil || command.Call != nil
}

// replyDeadline returns the time at which the core answers at the latest, somewhat
// before the caller stops waiting; zero for no bound.
func replyDeadline(command requester.Command) time.Time {
	if command.Timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(command.Timeout - min(command.Timeout/replyMarginDivisor, replyMargin))
}

func (e *Executor) register(request string, w *pendingCommand) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending[request] != nil {
		return false
	}
	e.pending[request] = w
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

func (e *Executor) complete(w *pendingCommand, command requester.Command, answer decider.Answer) (requester.Reply, error) {
	if answer.Err != nil {
		return requester.Reply{}, answer.Err
	}
	if command.Turn != nil {
		e.meter.TurnSeconds.WithLabelValues(command.Business).Observe(time.Since(w.startedAt).Seconds())
	}
	return answer.Reply, nil
}
