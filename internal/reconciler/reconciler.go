// Package reconciler owns the orders to engines: it compares what an engine
// serves with what it is to serve, and sends orders until both agree and stay
// so. It does not own who may order an engine, nor how intents are stored.
//
// Orders are level-triggered. An order that was lost, doubled or late is seen
// when the engine's state is read back, and put right. The fencing number keeps
// a former holder's late orders out where engines check it. Where they don't,
// each order is recorded as an intent first, a successor waits until the
// recorded orders can no longer be under way by their senders' own deadlines,
// and the state goes on being read back.
package reconciler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const (
	defaultInterval = 5 * time.Second
	defaultDeadline = 10 * time.Second
	defaultLoads    = rate.Limit(0.5)
	defaultBurst    = 2
	// maxConcurrentEngines bounds the engines that are brought into line at a time.
	maxConcurrentEngines = 8
	// maxPasses bounds how often in a row an engine's state is read and ordered.
	maxPasses = 4
)

// The reasons for which an engine is not in line yet, told apart with errors.Is.
var (
	// ErrNotHolder means that this instance may not order the engine.
	ErrNotHolder = errors.New("engine is ordered by another instance")
	// ErrOrdersInFlight means that orders of a former holder may still be under way.
	ErrOrdersInFlight = errors.New("orders of a former holder are waited out")
	// ErrNotConverged means that the engine's state changed again after the orders.
	ErrNotConverged = errors.New("engine's state did not become stable")

	errDeadlinePassed = errors.New("the order's deadline passed before it was sent")
)

// Client reaches the engines; *dispatcher.Dispatcher is one.
type Client interface {
	SendOrder(ctx context.Context, endpoint *compiler.Endpoint, order generator.Order) (generator.OrderReport, error)
	State(ctx context.Context, endpoint *compiler.Endpoint) (generator.OrderReport, error)
}

// FenceSource says which engines this instance may order.
type FenceSource interface {
	// Fence returns the fencing number, and false if another instance orders
	// the engine. A later holder's number is higher.
	Fence(endpoint string) (int64, bool)
}

// Intent is an order that may be sent, or has been.
type Intent struct {
	Endpoint string
	Order    generator.Order
	// Deadline is the time, from before the intent was recorded, after which
	// its sender does not send the order any more.
	Deadline time.Duration
}

// IntentLog records orders to engines that do not check fencing numbers.
type IntentLog interface {
	// Record makes the intent durable. It fails if the instance's fencing
	// number is no longer the newest.
	Record(ctx context.Context, intent Intent) error
	// Pending returns the engine's intents that are not settled, of all holders.
	Pending(ctx context.Context, endpoint string) ([]Intent, error)
	// Remove removes the engine's intents up to the fencing number.
	Remove(ctx context.Context, endpoint string, fence int64) error
}

// Reconciler brings engines into line. It is safe for concurrent use.
type Reconciler struct {
	current     func() *compiler.Version
	client      Client
	fences      FenceSource
	intents     IntentLog
	log         *logger.Logger
	interval    time.Duration
	deadline    time.Duration
	loadLimiter *rate.Limiter

	mutex   sync.Mutex
	engines map[string]*engineState
}

// engineState is what is known of one engine under one fencing number.
type engineState struct {
	// reconciling is held while the engine is brought into line.
	reconciling sync.Mutex
	fence       int64
	// hasReadIntents says that the intents of former holders were read.
	hasReadIntents bool
	// safeAt is when the last of them is waited out.
	safeAt time.Time
	// hasIntents says that there are intents to settle.
	hasIntents bool
	// converged is guarded by the Orderer's mutex.
	converged bool
}

// Option sets one property of an Orderer.
type Option func(*Reconciler)

// WithLogger sets where events are logged.
func WithLogger(l *logger.Logger) Option { return func(o *Reconciler) { o.log = l } }

// WithInterval sets how often the state of each engine is read back.
func WithInterval(d time.Duration) Option { return func(o *Reconciler) { o.interval = d } }

// WithDeadline bounds the time from before an intent is recorded to the end of its order.
func WithDeadline(d time.Duration) Option { return func(o *Reconciler) { o.deadline = d } }

// WithLoadRate bounds the orders of this instance that make engines read from
// the weight store: so many a second, and so many at once.
func WithLoadRate(limit rate.Limit, burst int) Option {
	return func(o *Reconciler) { o.loadLimiter = rate.NewLimiter(limit, burst) }
}

// New returns a Reconciler of the engines in the version that current returns.
func New(current func() *compiler.Version, client Client, fences FenceSource, intents IntentLog, options ...Option) *Reconciler {
	o := &Reconciler{
		current: current, client: client, fences: fences, intents: intents,
		log: logger.Discard(), interval: defaultInterval, deadline: defaultDeadline,
		loadLimiter: rate.NewLimiter(defaultLoads, defaultBurst),
		engines:     map[string]*engineState{},
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// SetLoadRate changes the bound on reads from the weight store, for when the
// number of instances that share the store changes.
func (o *Reconciler) SetLoadRate(limit rate.Limit) { o.loadLimiter.SetLimit(limit) }

// Converged reports whether the engine was in line when it was last looked at.
func (o *Reconciler) Converged(endpoint string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t := o.engines[endpoint]
	return t != nil && t.converged
}

// Run brings the engines that this instance holds into line until ctx ends.
func (o *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.interval)
	defer ticker.Stop()
	for {
		o.reconcileAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reconcileAll looks at each held engine once.
func (o *Reconciler) reconcileAll(ctx context.Context) {
	version := o.current()
	if version == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngines)
	for _, endpoint := range heldEngines(version, o.fences) {
		group.Go(func() error {
			err := o.Reconcile(ctx, endpoint, DesiredStateOf(version, endpoint))
			if err != nil && ctx.Err() == nil {
				o.log.Log(notInLine, "Endpoint", endpoint.Name, "Cause", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// heldEngines returns the engines that may be ordered, by name.
func heldEngines(version *compiler.Version, fences FenceSource) []*compiler.Endpoint {
	var engines []*compiler.Endpoint
	for name, endpoint := range version.Endpoints {
		if endpoint.Service != "" || endpoint.Leaving {
			continue
		}
		if _, ok := fences.Fence(name); ok {
			engines = append(engines, endpoint)
		}
	}
	slices.SortFunc(engines, func(a, b *compiler.Endpoint) int { return compare(a.Name, b.Name) })
	return engines
}
