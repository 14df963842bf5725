// Package rerouter sends calls to the platform's store directly, or through another
// instance while the store does not serve this one. It detects an unreachable
// store, so that calls fail without delay.
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
	// minReadTimeout and maxTimeout bound the timeout of reads. The store usually
	// responds within 4 to 7 ms, a slow store within a few hundred.
	minReadTimeout = 150 * time.Millisecond
	maxTimeout     = 1600 * time.Millisecond
	// minWriteWait is the minimum time after which a read checks whether the
	// response to a write was lost.
	minWriteWait = 100 * time.Millisecond
	// writeTimeout bounds a direct write. It may be queued in its partition for a
	// second, and a slow store takes a few hundred milliseconds in addition.
	writeTimeout = 2500 * time.Millisecond
	// timeoutFactor is the ratio of a timeout to the duration of the last call.
	timeoutFactor = 6
	// minBytesPerSecond is the rate at which writes are sent at least. The smallest instances have
	// links of 2.75 MB/s, which other traffic shares.
	minBytesPerSecond = 1 << 20
	// probeInterval is the time between probes while the path is not Direct.
	probeInterval = 250 * time.Millisecond
	// maxDirectProbes limits the probes that wait for the store at the same time.
	// It exceeds the number that start within maxTimeout.
	maxDirectProbes = 8
	// recentResponse is the age of the store's last response up to which a failed write
	// is no reason for a probe.
	recentResponse = 100 * time.Millisecond
	// probeTable is the table that probes read. It need not have rows.
	probeTable = "probe"
	// maxDirectFailures is the number of consecutive failed direct reads after
	// which the path is no longer Direct. All but the first are made on new connections.
	maxDirectFailures = 2
	// maxRelayedReads and maxRelayedWrites are the maximum numbers of instances that a call is
	// relayed to. Those for a write are asked one after the other.
	maxRelayedReads  = 3
	maxRelayedWrites = 2
	// hedgeDelay is the time after which a read is relayed to another instance, too.
	hedgeDelay = 100 * time.Millisecond
	// relaySearch is how long the search for an instance that reaches the store takes at most, if
	// one of those that are asked first does.
	relaySearch = (maxRelayedReads + 1) * hedgeDelay
	// relayMargin is added to the timeout of a call for its relaying.
	relayMargin = 100 * time.Millisecond
)

// probeRange is what probes read.
var probeRange = storer.Range{Table: probeTable, Limit: 1}

// errRerouted cancels a direct write that is repeated through another instance.
var errRerouted = errors.New("store calls are relayed through another instance")

// operation is a kind of call to the store.
type operation struct {
	// name is the operation in metrics.
	name    string
	isWrite bool
	// isPoll is set for reads that are repeated once there is another path.
	isPoll bool
	// wait is the time for which the store may delay its response.
	wait time.Duration
	// transfer is the time that the call may take until it has been sent.
	transfer time.Duration
}

// isRepeatable reports whether a call without a response is made again as it is.
func (o operation) isRepeatable() bool { return !o.isWrite && o.wait == 0 }

// probe is the operation of probes.
var probe = operation{name: "Probe"}

// Path is the path on which calls reach the store.
type Path int

// The paths.
const (
	// Direct means that the store responds to this instance.
	Direct Path = iota
	// Relayed means that the store responds through another instance.
	Relayed
	// Lost means that no path to the store is known.
	Lost
)

// String implements fmt.Stringer.
func (p Path) String() string { return [...]string{"Direct", "Relayed", "Lost"}[p] }

// RelayLister lists the instances that calls can be relayed to.
type RelayLister interface {
	Relays() []discoverer.Member
	Suspect(instance string)
}

// Caller calls other instances.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, method string, in, out any) error
}

// idleCloser is implemented by a store with connections, which may go silent one by one.
type idleCloser interface {
	// CloseIdle closes the idle connections, so that the next calls open new ones.
	CloseIdle()
}

// Timeouts returns a context that ends after the timeout with the cause
// context.DeadlineExceeded. That of package extender restarts while a response is under way.
type Timeouts func(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc)

// Rerouter implements storer.Rows on the path that works. It is safe for concurrent
// use.
type Rerouter struct {
	direct       storer.Rows
	closeIdle    func()
	caller       Caller
	onPathChange func(from, to Path, cause error)
	countCall    func(operation, path, result string)
	withTimeout  Timeouts

	// probeRequests is signalled when a write fails, as only a read decides whether
	// the store is reachable, and when the store refuses a read.
	probeRequests chan struct{}

	mu     sync.Mutex
	relays RelayLister
	// relayFailures has the time of the last failure by instance. Instances that
	// relayed a call since are absent.
	relayFailures map[string]time.Time
	// readTimeout bounds a read, and writeWait is the time after which the response
	// to a write counts as late. They differ because writes are queued in a busy
	// partition.
	readTimeout time.Duration
	writeWait   time.Duration
	// raisedAt is when a timeout last raised them.
	raisedAt       time.Time
	directFailures int
	// renewedAt is when the idle connections were closed after the first of directFailures
	// that had no response; zero if none of them had that reason. Reads that began earlier may
	// have used another silent connection.
	renewedAt    time.Time
	path         Path
	lastResponse time.Time
	// lastDirect is the time of the store's last response to a direct call.
	lastDirect time.Time
	// lastAccepted is the last time at which the store is known to have accepted a direct
	// call. It accepts a call that waits for changes long before it responds.
	lastAccepted time.Time
	// lastRefusal is the time of the last direct read that the store refused.
	lastRefusal time.Time
	// lostAt is when the path was last lost, and awayAt the end of the last time in which other
	// instances did not reach the store either.
	lostAt, awayAt time.Time
	// relaysFailed is set while the path is Lost and a search for a relay has ended without one.
	relaysFailed bool
	// restored is closed and replaced when the path changes from Lost.
	restored chan struct{}
	// rerouted is closed when the path becomes Relayed, and replaced when it becomes
	// Direct.
	rerouted chan struct{}
}

var _ storer.Rows = (*Rerouter)(nil)

// Option sets one property of a Rerouter.
type Option func(*Rerouter)

// WithPathObserver sets a function to be called when the path changes.
func WithPathObserver(observe func(from, to Path, cause error)) Option {
	return func(r *Rerouter) { r.onPathChange = observe }
}

// WithCallCounter sets a function to be called for each call to the store.
func WithCallCounter(count func(operation, path, result string)) Option {
	return func(r *Rerouter) { r.countCall = count }
}

// WithTimeouts sets the source of the timeouts of calls, context.WithTimeout by default.
func WithTimeouts(t Timeouts) Option { return func(r *Rerouter) { r.withTimeout = t } }

// New returns a Rerouter. SetRelays must be called before it relays. If direct has a method
// CloseIdle, it is called after a direct call without a response.
func New(direct storer.Rows, caller Caller, options ...Option) *Rerouter {
	r := &Rerouter{
		direct: direct, caller: caller, readTimeout: minReadTimeout, writeWait: minWriteWait,
		probeRequests: make(chan struct{}, 1), relayFailures: map[string]time.Time{}, rerouted: make(chan struct{}), restored: make(chan struct{}),
		onPathChange: func(Path, Path, error) {}, countCall: func(string, string, string) {}, withTimeout: context.WithTimeout, closeIdle: func() {},
	}
	if c, ok := direct.(idleCloser); ok {
		r.closeIdle = c.CloseIdle
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// SetRelays sets the source of instances that calls can be relayed to.
func (r *Rerouter) SetRelays(relays RelayLister) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays = relays
}

// Path returns the current path and the time of the store's last response.
func (r *Rerouter) Path() (Path, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path, r.lastResponse
}

// WasAway reports whether the store may have been away at some time since the given one: it was
// not reached directly, and no other instance was found that reached it.
func (r *Rerouter) WasAway(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awayAt.After(since)
}

// Restored returns a channel that is closed when a path is found after the path was Lost.
func (r *Rerouter) Restored() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restored
}

// Transact implements storer.Rows.
func (r *Rerouter) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	var version int64
	transfer := transferTime(changes)
	err := r.call(ctx, operation{name: "Transact", isWrite: true, transfer: transfer}, func(ctx context.Context) (err error) {
		watched, stop := r.watchWrite(ctx, transfer)
		defer stop()
		version, err = r.direct.Transact(watched, changes)
		if errors.Is(err, storer.ErrInDoubt) && errors.Is(context.Cause(watched), storer.ErrResponseLost) {
			return storer.ErrResponseLost
		}
		return err
	}, func(ctx context.Context, m discoverer.Member) (func(), error) {
		var out relayedTransaction
		if err := r.caller.Call(ctx, m.Address, methodTransact, relayTransaction{Changes: changes}, &out); err != nil {
			return nil, errors.Join(storer.ErrInDoubt, err)
		}
		return func() { version = out.Version }, out.err()
	})
	return version, err
}

// transferTime returns the time that a slow link may take for the changes.
func transferTime(changes []storer.Change) time.Duration {
	bytes := 0
	for _, c := range changes {
		bytes += len(c.Value)
	}
	return time.Duration(bytes) * time.Second / minBytesPerSecond
}

// watchWrite returns a context for a direct write, which takes the given time to be sent. If
// the response is late, a read distinguishes a lost response from a slow store. If the read
// succeeds in time, the context ends and the write can be repeated. Otherwise the write
// continues, as a repetition would only add to the load of the store. The read is made at once
// when the path is restored: a write that was sent during an outage of a silent store gets no
// response after it. The context also ends when the path becomes Relayed, so that the write can
// be relayed.
func (r *Rerouter) watchWrite(ctx context.Context, transfer time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	rerouted := r.rerouted
	r.mu.Unlock()
	go func() {
		for wait := r.timeout(true) + transfer; ; wait *= 2 {
			r.mu.Lock()
			restored := r.restored
			r.mu.Unlock()
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-rerouted:
				timer.Stop()
				cancel(errRerouted)
				return
			case <-restored:
				timer.Stop()
			case <-timer.C:
			}
			err := r.readAnew(ctx, minReadTimeout, minReadTimeout, func(ctx context.Context, _ bool) error {
				_, err := r.direct.List(ctx, probeRange)
				r.countCall("Watch", Direct.String(), resultName(err))
				return err
			})
			if err == nil {
				cancel(storer.ErrResponseLost)
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// readAnew calls read, and calls it again on a new connection if there is no response within the
// first timeout. A connection may be silent while new ones work.
func (r *Rerouter) readAnew(ctx context.Context, first, second time.Duration, read func(ctx context.Context, isRepeated bool) error) error {
	try := func(timeout time.Duration, isRepeated bool) error {
		bounded, stop := r.withTimeout(ctx, timeout)
		defer stop()
		return read(bounded, isRepeated)
	}
	err := try(first, false)
	if !isSilence(err) || ctx.Err() != nil {
		return err
	}
	r.closeIdle()
	return try(second, true)
}

// List implements storer.Rows.
func (r *Rerouter) List(ctx context.Context, list storer.Range) (page storer.Page, err error) {
	err = r.call(ctx, operation{name: "List"}, func(ctx context.Context) (err error) {
		page, err = r.direct.List(ctx, list)
		return err
	}, r.relayRead(methodList, relayList{Range: list}, &page))
	return page, err
}

// Changes implements storer.Rows. If there is no response, it reads again without a wait, as there
// may be changes since: on a new connection, and then on the path that Run finds within the wait.
func (r *Rerouter) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	page, err := r.changes(ctx, table, after, wait)
	if wait == 0 || !isSilence(err) || ctx.Err() != nil {
		return page, err
	}
	page, err = r.changes(ctx, table, after, 0)
	if isSilence(err) && r.awaitPath(ctx, wait) {
		return r.changes(ctx, table, after, 0)
	}
	return page, err
}

func (r *Rerouter) changes(ctx context.Context, table string, after int64, wait time.Duration) (page storer.Page, err error) {
	err = r.call(ctx, operation{name: "Changes", wait: wait, isPoll: true}, func(ctx context.Context) (err error) {
		page, err = r.direct.Changes(ctx, table, after, wait)
		return err
	}, r.relayRead(methodChanges, relayChanges{Table: table, After: after, Wait: wait}, &page))
	return page, err
}

// call makes a call on the current path. A direct read without a response is repeated
// on a new connection. If the path changes during a direct call,
// the call is repeated through another instance. A transaction can be repeated
// because of its conditions. While the path is Lost, Run looks for a path. Until its first
// search ends, calls look for one themselves; then they fail immediately.
func (r *Rerouter) call(ctx context.Context, op operation,
	direct func(context.Context) error, relayed relayedCall,
) error {
	path, _ := r.Path()
	if path == Lost && (op.isPoll || !r.isFirstSearch()) {
		return storer.ErrUnreachable
	}
	var failure error
	inDoubt := false
	if path == Direct {
		failure = r.callDirect(ctx, op, direct)
		if path, _ = r.Path(); path == Direct && op.isRepeatable() && isSilence(failure) && ctx.Err() == nil {
			failure = r.callDirect(ctx, op, direct)
		}
		if path, _ = r.Path(); isResponse(failure) || path == Direct || ctx.Err() != nil {
			return failure
		}
		if op.isPoll {
			// Run looks for a path with a shorter call.
			return failure
		}
		inDoubt = errors.Is(failure, storer.ErrInDoubt)
	}
	err := r.callRelays(ctx, op, relayed)
	if inDoubt && !isResponse(err) {
		return errors.Join(storer.ErrInDoubt, failure)
	}
	return err
}
