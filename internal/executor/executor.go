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
	// tickPeriod is how often deadlines are looked at.
	tickPeriod = 50 * time.Millisecond
	// answerMargin and answerPart set how long before the caller's deadline the
	// core answers: the margin, or a part of a short time.
	answerMargin = 250 * time.Millisecond
	answerPart   = 4
	// settleTime is how long a canceled stream may take to account for itself.
	settleTime = 2 * time.Second
	// controlTimeout bounds a cancel, a release, a status query and a draw.
	controlTimeout = 5 * time.Second
	// cutTimeout bounds the wait for a shard that was cut to become durable.
	cutTimeout = 10 * time.Second
)

// Executor runs one decision core. It implements sharder.StateMachine and requester.Doer.
type Executor struct {
	core      *decider.Core
	endpoints EndpointClient
	observer  Observer
	escrow    Escrow
	confirmed func() bool
	current   func() *compiler.Version
	log       *logger.Logger
	meter     *meter.Meter

	journal sharder.Journal
	full    func() bool
	system  *actor.ActorSystem
	pid     *actor.PID
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup
	stop    sync.Once
	fenced  atomic.Bool

	mu       sync.Mutex
	waiting  map[string]*waiter
	attempts map[string]context.CancelFunc

	// The fields below belong to the actor.
	tickets []ticket
	durable ticket
	reached int64
	leaving map[int][]chan struct{}
	views   []viewer
}

// ticket maps an append of the core to the journal's sequence.
type ticket struct {
	number   int64
	sequence int64
}

// viewer waits for its snapshot to be durable.
type viewer struct {
	ticket int64
	reply  chan<- snapshot
	result snapshot
}

type snapshot struct {
	body     []byte
	sequence int64
	err      error
}

// waiter is one caller that waits for the answer to a command.
type waiter struct {
	box   *outbox
	reply chan decider.Answer
	began time.Time
	first sync.Once
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

// WithConfirmed sets the check that the lease is confirmed, asked before a call
// that may not be repeated is sent.
func WithConfirmed(confirmed func() bool) Option {
	return func(o *Executor) { o.confirmed = confirmed }
}

// New returns an Owner that serves nothing before Start.
func New(core *decider.Core, endpoints EndpointClient, current func() *compiler.Version, options ...Option) *Executor {
	o := &Executor{
		core: core, endpoints: endpoints, current: current, observer: silentObserver{}, escrow: noEscrow{},
		confirmed: func() bool { return true }, full: func() bool { return false },
		log: logger.Discard(), waiting: map[string]*waiter{},
		attempts: map[string]context.CancelFunc{}, leaving: map[int][]chan struct{}{},
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
func (o *Executor) Start(ctx context.Context, journal sharder.Journal, full func() bool) {
	o.journal = journal
	if full != nil {
		o.full = full
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogs))
	o.pid = o.system.Root.Spawn(actor.PropsFromFunc(o.receive))
	o.work.Go(o.tick)
}

// Stop ends the actor and everything that it has in flight.
func (o *Executor) Stop() {
	o.stop.Do(func() {
		o.cancel()
		_ = o.system.Root.StopFuture(o.pid).Wait()
		o.work.Wait()
		o.system.Shutdown()
	})
}

// ReturnEscrow returns the unspent part of the businesses' budgets. It is for a
// planned stop, once all shards are gone; Stop waits for it.
func (o *Executor) ReturnEscrow(ctx context.Context) {
	done := make(chan struct{})
	o.system.Root.Send(o.pid, giveBack{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Send hands an event to the core.
func (o *Executor) Send(event decider.Event) { o.system.Root.Send(o.pid, event) }

func (o *Executor) tick() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
			o.Send(decider.Tick{})
		}
	}
}

// Do implements requester.Doer for shards that this instance owns.
func (o *Executor) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	if admits(command) && o.full() {
		return requester.Reply{}, answerer.New(answerer.BacklogFull, "too much waits to be made durable")
	}
	w := &waiter{box: newOutbox(sink), reply: make(chan decider.Answer, 1), began: time.Now()}
	if !o.enter(command.Request, w) {
		return requester.Reply{}, answerer.New(answerer.BadRequest, "the request id is in use")
	}
	defer o.exit(command.Request)
	o.Send(decider.CommandReceived{Command: command, Deadline: deadline(command)})
	defer context.AfterFunc(ctx, func() { o.Send(decider.RequestCanceled{Request: command.Request}) })()
	for {
		select {
		case <-w.box.ready:
			w.box.forward()
		case answer := <-w.reply:
			w.box.forward()
			return o.deliver(w, command, answer)
		case <-ctx.Done():
			return requester.Reply{}, gone(command, ctx.Err())
		case <-o.ctx.Done():
			return requester.Reply{}, stopped(command)
		}
	}
}

// gone says what is known of a command whose caller no longer waits: a call may
// have been dispatched, and a turn may still be completed.
func gone(command requester.Command, cause error) error {
	if command.Call != nil {
		return answerer.Wrap(answerer.OutcomeUnknown, cause, "the caller no longer waits")
	}
	return answerer.Wrap(answerer.Canceled, cause, "the caller no longer waits")
}

// stopped says what is known of a command that the instance's end cut.
func stopped(command requester.Command) error {
	if command.Call != nil {
		return answerer.New(answerer.OutcomeUnknown, "the instance has stopped")
	}
	return answerer.New(answerer.NotDurable, "the instance has stopped")
}

// admits says whether the command starts work that must become durable.
func admits(command requester.Command) bool {
	return command.Open != nil || command.Turn != nil || command.Call != nil
}

// deadline returns the time at which the core answers at the latest, somewhat
// before the caller stops waiting; zero for no bound.
func deadline(command requester.Command) time.Time {
	if command.Timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(command.Timeout - min(command.Timeout/answerPart, answerMargin))
}

func (o *Executor) enter(request string, w *waiter) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting[request] != nil {
		return false
	}
	o.waiting[request] = w
	return true
}

func (o *Executor) exit(request string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, request)
}

func (o *Executor) waiter(request string) *waiter {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waiting[request]
}

func (o *Executor) deliver(w *waiter, command requester.Command, answer decider.Answer) (requester.Reply, error) {
	if answer.Err != nil {
		return requester.Reply{}, answer.Err
	}
	if command.Turn != nil {
		o.meter.TurnSeconds.WithLabelValues(command.Business).Observe(time.Since(w.began).Seconds())
	}
	return answer.Reply, nil
}
