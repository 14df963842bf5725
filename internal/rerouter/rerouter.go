// Package rerouter owns how this instance reaches the platform's store: directly,
// through another instance while the store turns this one away, or not at all.
// It does not own what is read or written.
package rerouter

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// patienceLeast and patienceMost bound the wait for one answer. The usual
	// answer takes 4 to 7 ms; a slow store some hundred.
	patienceLeast = 150 * time.Millisecond
	patienceMost  = 1600 * time.Millisecond
	// writePatienceLeast is how long a write is waited for before a read tells
	// whether its answer was lost.
	writePatienceLeast = 100 * time.Millisecond
	// writeMost bounds the wait for a write: a partition queues for a second,
	// and a slow store takes some hundred milliseconds beside.
	writeMost = 2500 * time.Millisecond
	// patienceFactor is the wait for an answer over the time of the last one.
	patienceFactor = 6
	// probeInterval is the time between direct tries while the store is not
	// reached directly.
	probeInterval = 250 * time.Millisecond
	// probeTable is the table that probes read; it may be empty.
	probeTable = "probe"
	// failuresToLose is how many direct calls in a row fail before the store
	// counts as not reached directly.
	failuresToLose = 2
	// relayTries is how many other instances are asked for one call.
	relayTries = 2
	// relayMargin is what a relayed call takes beside the store's answer.
	relayMargin = 100 * time.Millisecond
)

// errLeft ends a direct write when another instance is to take it.
var errLeft = errors.New("the store is reached through another instance")

// operation is a kind of call to the store.
type operation struct {
	// name counts the call.
	name    string
	isWrite bool
	// wait is how long the store itself waits before it answers.
	wait time.Duration
}

// Path is how the store is reached.
type Path int

// The ways.
const (
	// Direct calls are answered.
	Direct Path = iota
	// Relayed calls are answered through another instance.
	Relayed
	// Lost means that no call is answered.
	Lost
)

// String implements fmt.Stringer.
func (w Path) String() string { return [...]string{"Direct", "Relayed", "Lost"}[w] }

// RelayLister lists instances that may reach the store.
type RelayLister interface {
	Relays() []discoverer.Member
	Suspect(instance string)
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// Rerouter implements storer.Rows. It is safe for concurrent use.
type Rerouter struct {
	direct storer.Rows
	caller Caller
	notify func(from, to Path, cause error)
	count  func(operation, way, result string)

	// doubtful is signalled by a write that failed, for a probe to decide.
	doubtful chan struct{}

	mu     sync.Mutex
	relays RelayLister
	// unfit says when instances failed to relay a call last.
	unfit map[string]time.Time
	// reads and writes are the waits for the answer to a call. Writes queue in
	// their partition when it is pressed, so that the two differ.
	reads    time.Duration
	writes   time.Duration
	failures int
	way      Path
	answered time.Time
	// left is closed while the store is reached through another instance.
	left chan struct{}
}

var _ storer.Rows = (*Rerouter)(nil)

// Option sets one property of a Rerouter.
type Option func(*Rerouter)

// WithPathObserver sets what is called when the way changes.
func WithPathObserver(notify func(from, to Path, cause error)) Option {
	return func(r *Rerouter) { r.notify = notify }
}

// WithCallCounter sets what counts each call.
func WithCallCounter(count func(operation, way, result string)) Option {
	return func(r *Rerouter) { r.count = count }
}

// New returns a Rerouter. SetRelays must be called before it relays.
func New(direct storer.Rows, caller Caller, options ...Option) *Rerouter {
	r := &Rerouter{
		direct: direct, caller: caller, reads: patienceLeast, writes: writePatienceLeast,
		doubtful: make(chan struct{}, 1), unfit: map[string]time.Time{}, left: make(chan struct{}),
		notify: func(Path, Path, error) {}, count: func(string, string, string) {},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// SetRelays sets the instances that may reach the store in place of this one.
func (r *Rerouter) SetRelays(relays RelayLister) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays = relays
}

// Path returns how the store was reached last, and when it last answered.
func (r *Rerouter) Path() (Path, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.way, r.answered
}

// Transact implements storer.Rows.
func (r *Rerouter) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	var version int64
	err := r.reach(ctx, operation{name: "Transact", isWrite: true}, func(ctx context.Context) (err error) {
		watched, stop := r.watch(ctx)
		defer stop()
		version, err = r.direct.Transact(watched, changes)
		if errors.Is(err, storer.ErrInDoubt) && errors.Is(context.Cause(watched), storer.ErrAnswerLost) {
			return storer.ErrAnswerLost
		}
		return err
	}, func(ctx context.Context, m discoverer.Member) error {
		var out relayedTransaction
		if err := r.caller.Call(ctx, m.Address, methodTransact, relayTransaction{Changes: changes}, &out); err != nil {
			return errors.Join(storer.ErrInDoubt, err)
		}
		version = out.Version
		return out.err()
	})
	return version, err
}

// watch returns a context for a write. When the answer is late, a read tells a
// lost answer from a slow store: if it is answered in time, the context ends, and
// the write can be sent again; else the write is waited for, as sending it again
// would only press on the store. It ends too when the store is reached through
// another instance, which then takes the write.
func (r *Rerouter) watch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	left := r.left
	r.mu.Unlock()
	go func() {
		for wait := r.wait(true); ; wait *= 2 {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-left:
				timer.Stop()
				cancel(errLeft)
				return
			case <-timer.C:
			}
			probe, stop := context.WithTimeout(ctx, patienceLeast)
			_, err := r.direct.List(probe, storer.Range{Table: probeTable, Limit: 1})
			stop()
			r.count("Watch", Direct.String(), resultOf(err))
			if err == nil {
				cancel(storer.ErrAnswerLost)
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// List implements storer.Rows.
func (r *Rerouter) List(ctx context.Context, list storer.Range) (page storer.Page, err error) {
	err = r.reach(ctx, operation{name: "List"}, func(ctx context.Context) (err error) {
		page, err = r.direct.List(ctx, list)
		return err
	}, r.relayRead(methodList, relayList{Range: list}, &page))
	return page, err
}

// Changes implements storer.Rows.
func (r *Rerouter) Changes(ctx context.Context, table string, after int64, wait time.Duration) (page storer.Page, err error) {
	err = r.reach(ctx, operation{name: "Changes", wait: wait}, func(ctx context.Context) (err error) {
		page, err = r.direct.Changes(ctx, table, after, wait)
		return err
	}, r.relayRead(methodChanges, relayChanges{Table: table, After: after, Wait: wait}, &page))
	return page, err
}

// reach makes one call on the way that is known to work. A transaction may be
// made twice, directly and through another instance, which its expectations
// allow. While the store is lost, calls fail at once and Run looks for a way.
func (r *Rerouter) reach(ctx context.Context, op operation,
	direct func(context.Context) error, relayed func(context.Context, discoverer.Member) error,
) error {
	way, _ := r.Path()
	if way == Lost {
		return storer.ErrUnreachable
	}
	var failure error
	doubt := false
	if way == Direct {
		failure = r.tryDirect(ctx, op, direct)
		if way, _ = r.Path(); isAnswer(failure) || way == Direct || ctx.Err() != nil {
			return failure
		}
		doubt = errors.Is(failure, storer.ErrInDoubt)
	}
	err := r.tryRelays(ctx, op, relayed)
	if doubt && !isAnswer(err) {
		return errors.Join(storer.ErrInDoubt, failure)
	}
	return err
}

// Run looks for a better way to the store until ctx ends.
func (r *Rerouter) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if way, _ := r.Path(); way == Direct {
				continue
			}
		case <-r.doubtful:
		}
		r.probe(ctx)
	}
}

// probe reads a row that need not exist.
func (r *Rerouter) probe(ctx context.Context) {
	list := storer.Range{Table: probeTable, Limit: 1}
	for range failuresToLose {
		err := r.tryDirect(ctx, operation{name: "Probe"}, func(ctx context.Context) error {
			_, err := r.direct.List(ctx, list)
			return err
		})
		if isAnswer(err) || ctx.Err() != nil {
			return
		}
		if way, _ := r.Path(); way != Direct {
			break
		}
	}
	if way, _ := r.Path(); way != Lost {
		return
	}
	// Its failure leaves the way as it is: lost.
	_ = r.tryRelays(ctx, operation{name: "Probe"}, r.relayRead(methodList, relayList{Range: list}, new(storer.Page)))
}

// tryDirect calls the store itself. Only reads decide whether it is reached: a
// write may fail because its partition is pressed.
func (r *Rerouter) tryDirect(ctx context.Context, op operation, call func(context.Context) error) error {
	start := time.Now()
	limit := r.wait(op.isWrite) + op.wait
	if op.isWrite {
		limit = writeMost
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := call(bounded)
	r.count(op.name, Direct.String(), resultOf(err))
	if ctx.Err() != nil {
		return err // The caller's own limit says nothing about the store.
	}
	ok := isAnswer(err)
	r.adapt(op, ok, errors.Is(err, storer.ErrInDoubt) && time.Since(start) >= limit, time.Since(start))
	switch {
	case ok:
		r.turn(Direct, nil)
	case op.isWrite:
		select {
		case r.doubtful <- struct{}{}:
		default:
		}
	default:
		r.mu.Lock()
		r.failures++
		lost := r.failures >= failuresToLose && r.way == Direct
		r.mu.Unlock()
		if lost {
			r.turn(Lost, err)
		}
	}
	return err
}

// adapt sets the waits for the next answers by how the last call went. A store
// that is slow with one kind of call is slow with the other.
func (r *Rerouter) adapt(op operation, ok, timedOut bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case ok && op.wait > 0:
		r.failures = 0 // How long it took says nothing.
	case ok && op.isWrite:
		r.failures = 0
		r.writes = min(max(patienceFactor*took, writePatienceLeast), patienceMost)
	case ok:
		r.failures = 0
		r.reads = min(max(patienceFactor*took, patienceLeast), patienceMost)
	case timedOut:
		r.reads = min(2*r.reads, patienceMost)
		r.writes = min(2*r.writes, patienceMost)
	}
}

func (r *Rerouter) wait(isWrite bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isWrite {
		return r.writes
	}
	return r.reads
}

// turn takes note of the way of the last call.
func (r *Rerouter) turn(to Path, cause error) {
	r.mu.Lock()
	from := r.way
	r.way = to
	if to != Lost {
		r.answered = time.Now()
	}
	if from != to {
		r.mark(to)
	}
	r.mu.Unlock()
	if from != to {
		r.notify(from, to, cause)
	}
}

// mark closes left when the way turns to another instance, and opens it anew when
// it is direct again.
func (r *Rerouter) mark(to Path) {
	isClosed := false
	select {
	case <-r.left:
		isClosed = true
	default:
	}
	switch {
	case to == Relayed && !isClosed:
		close(r.left)
	case to == Direct && isClosed:
		r.left = make(chan struct{})
	}
}

// isAnswer says whether the store itself answered.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrInvalid) || errors.Is(err, storer.ErrVersionExpired)
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return "OK"
	case errors.Is(err, storer.ErrConflict):
		return "Conflict"
	case errors.Is(err, storer.ErrVersionExpired):
		return "Forgotten"
	case errors.Is(err, storer.ErrInvalid):
		return "Invalid"
	case errors.Is(err, storer.ErrInDoubt):
		return "InDoubt"
	}
	return "Unavailable"
}
