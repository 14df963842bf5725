// Package reconciler reconciles engines with the document: it compares the
// models, adapters and role that an engine serves with the desired ones, and
// sends orders until they agree. A FenceSource decides which engines the
// instance may order, and an IntentLog stores intents; package claimer
// implements both.
//
// Reconciliation is level-triggered. The effects of a lost, duplicate or late
// order are detected and corrected when the engine's state is next read.
// Engines that check fencing numbers reject late orders of a former holder. For
// other engines, each order is first recorded as an intent with its deadline. A
// new holder sends no orders until the deadlines of all recorded intents have
// passed, and reading the state periodically corrects orders that arrive even
// later.
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
	defaultInterval  = 5 * time.Second
	defaultDeadline  = 10 * time.Second
	defaultLoadRate  = rate.Limit(0.5)
	defaultLoadBurst = 2
	// maxConcurrentEngines bounds the engines that are reconciled at a time.
	maxConcurrentEngines = 8
	// maxPasses bounds how often one reconciliation reads the state and sends orders.
	maxPasses = 4
)

// Reasons for which an engine is not in its desired state; match them with errors.Is.
var (
	// ErrNotHolder means that this instance may not order the engine.
	ErrNotHolder = errors.New("this instance does not hold the engine")
	// ErrOrdersInFlight means that orders of a former holder may still be in flight.
	ErrOrdersInFlight = errors.New("orders of a former holder may still be in flight")
	// ErrNotConverged means that the engine needed orders at every read of its
	// state, so that the reconciliation stopped.
	ErrNotConverged = errors.New("engine did not reach its desired state")

	errDeadlinePassed = errors.New("order deadline passed before the order was sent")
)

// Client reads the state of engines and sends orders to them.
// *dispatcher.Dispatcher implements it.
type Client interface {
	SendOrder(ctx context.Context, endpoint *compiler.Endpoint, order generator.Order) (generator.OrderReport, error)
	State(ctx context.Context, endpoint *compiler.Endpoint) (generator.OrderReport, error)
}

// FenceSource provides the fencing numbers of the engines that this instance may order.
type FenceSource interface {
	// Fence returns the engine's fencing number, and false if this instance may
	// not order the engine. A later holder's number is higher.
	Fence(endpoint string) (int64, bool)
}

// Intent is the record of an order that may have been sent.
type Intent struct {
	Endpoint string
	Order    generator.Order
	// Deadline is the time, counted from before the intent was recorded, after
	// which the sender does not send the order.
	Deadline time.Duration
}

// IntentLog stores the intents of orders to engines that do not check fencing numbers.
type IntentLog interface {
	// Record stores the intent durably. It fails if the instance's fencing
	// number is no longer the newest.
	Record(ctx context.Context, intent Intent) error
	// Pending returns the engine's intents of all holders that were not removed.
	Pending(ctx context.Context, endpoint string) ([]Intent, error)
	// Remove removes the engine's intents with fencing numbers up to fence.
	Remove(ctx context.Context, endpoint string, fence int64) error
}

// Reconciler reconciles engines with their desired states. It is safe for
// concurrent use.
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

// engineState is the state of the reconciliation of one engine under one
// fencing number.
type engineState struct {
	// reconciling is locked while the engine is reconciled.
	reconciling sync.Mutex
	fence       int64
	// hasReadIntents is set once the intents of former holders were read.
	hasReadIntents bool
	// safeAt is when the deadlines of all these intents have passed.
	safeAt time.Time
	// hasIntents is set if there may be intents to remove.
	hasIntents bool
	// converged is guarded by the Reconciler's mutex.
	converged bool
}

// Option sets one property of a Reconciler.
type Option func(*Reconciler)

// WithLogger sets the logger.
func WithLogger(l *logger.Logger) Option { return func(r *Reconciler) { r.log = l } }

// WithInterval sets the time between reconciliations of each engine.
func WithInterval(d time.Duration) Option { return func(r *Reconciler) { r.interval = d } }

// WithDeadline limits the time from before an order's intent is recorded until the
// engine has answered the order.
func WithDeadline(d time.Duration) Option { return func(r *Reconciler) { r.deadline = d } }

// WithLoadRate limits the rate, in orders per second, and the burst of orders of
// this instance that make engines read from the weight store.
func WithLoadRate(limit rate.Limit, burst int) Option {
	return func(r *Reconciler) { r.loadLimiter = rate.NewLimiter(limit, burst) }
}

// New returns a Reconciler of the engines in the version that current returns.
// current returns nil while no version is in force.
func New(current func() *compiler.Version, client Client, fences FenceSource, intents IntentLog, options ...Option) *Reconciler {
	r := &Reconciler{
		current: current, client: client, fences: fences, intents: intents,
		log: logger.Discard(), interval: defaultInterval, deadline: defaultDeadline,
		loadLimiter: rate.NewLimiter(defaultLoadRate, defaultLoadBurst),
		engines:     map[string]*engineState{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// SetLoadRate changes the rate limit of orders that read from the weight store,
// for example when the number of instances that share the store changes.
func (r *Reconciler) SetLoadRate(limit rate.Limit) { r.loadLimiter.SetLimit(limit) }

// Converged reports whether the engine was in its desired state after the last
// reconciliation.
func (r *Reconciler) Converged(endpoint string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.engines[endpoint]
	return e != nil && e.converged
}

// Run reconciles the engines that this instance holds until ctx is canceled.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		r.reconcileAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reconcileAll reconciles each held engine once.
func (r *Reconciler) reconcileAll(ctx context.Context) {
	version := r.current()
	if version == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngines)
	for _, endpoint := range heldEngines(version, r.fences) {
		group.Go(func() error {
			err := r.Reconcile(ctx, endpoint, DesiredStateOf(version, endpoint))
			if err != nil && ctx.Err() == nil {
				r.log.Log(engineNotInLine, "Endpoint", endpoint.Name, "Cause", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// heldEngines returns the engines that this instance may order, sorted by name.
// Leaving engines are excluded.
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
