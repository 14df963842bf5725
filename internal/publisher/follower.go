package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	defaultPollInterval = 2 * time.Second
	// pollJitter is the fraction of the interval by which polls vary, so that the
	// instances do not read the store all at once.
	pollJitter = 0.1
	// fetchTimeout bounds one fetch of a version from the store or an instance.
	fetchTimeout = 2 * time.Second
	// startPeerSample is the number of instances that Start asks when the store
	// answers, in case the store returns an old version.
	startPeerSample = 3
	// startPeerConcurrency is the number of instances that Start asks at a time.
	startPeerConcurrency = 16
)

// ErrNotStarted is returned by Encode while no version is active.
var ErrNotStarted = errors.New("no document version is active yet")

// Peer fetches the document from other instances.
type Peer interface {
	// FetchDocument returns the result of Follower.Encode on the instance.
	FetchDocument(ctx context.Context, instance string) (encoded []byte, err error)
	// Instances returns the other instances that are presumed alive. The caller
	// may modify the slice.
	Instances() []string
}

// state is the current version. It is immutable.
type state struct {
	version *compiler.Version
	bundle  *bundle
}

// Follower keeps an instance's copy of the newest document. It never replaces a
// version by an older one. Its methods are safe for concurrent use.
type Follower struct {
	table    storer.Table
	texts    *textStore
	compiler *compiler.Compiler
	peer     Peer
	interval time.Duration
	log      *logger.Logger
	onChange []func(*compiler.Version)

	current atomic.Pointer[state]
	// applyMu serializes changes of current and the calls of onChange.
	applyMu  sync.Mutex
	observed observedVersions
	// isStoreFailing is set while reads of the store fail, so that only the first
	// failure is logged.
	isStoreFailing atomic.Bool
}

// FollowerOption sets one property of a Follower.
type FollowerOption func(*Follower)

// WithInterval sets the interval at which Run polls the store. The default is 2 s.
func WithInterval(interval time.Duration) FollowerOption {
	return func(f *Follower) { f.interval = interval }
}

// WithPeer sets the client for other instances. Start uses it to find the newest
// version, Run to fetch a newer version that the store does not return.
func WithPeer(peer Peer) FollowerOption {
	return func(f *Follower) { f.peer = peer }
}

// WithNotify adds a function that is called with each version that becomes
// current, in order and one at a time. It must not call the Follower's Start or
// Run.
func WithNotify(notify func(*compiler.Version)) FollowerOption {
	return func(f *Follower) { f.onChange = append(f.onChange, notify) }
}

// WithLogger sets where events are logged.
func WithLogger(log *logger.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// noPeer is the default Peer; it knows no other instances.
type noPeer struct{}

func (noPeer) FetchDocument(context.Context, string) ([]byte, error) {
	return nil, eris.New("no peer is configured")
}

func (noPeer) Instances() []string { return nil }

// NewFollower returns a Follower that reads manifests from the table and section
// texts from the objects.
func NewFollower(table storer.Table, objects storer.Objects, options ...FollowerOption) *Follower {
	f := &Follower{
		table:    table,
		texts:    newTextStore(objects),
		compiler: compiler.New(),
		peer:     noPeer{},
		interval: defaultPollInterval,
		log:      logger.Discard(),
		observed: newObservedVersions(),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Current returns the current version, or an empty version before the first one
// has become current.
func (f *Follower) Current() *compiler.Version {
	if s := f.current.Load(); s != nil {
		return s.version
	}
	return compiler.Empty()
}

// Started reports whether a version is current. The version may be the empty
// document.
func (f *Follower) Started() bool { return f.current.Load() != nil }

// Manifest returns the manifest of the current version.
func (f *Follower) Manifest() Manifest {
	if s := f.current.Load(); s != nil {
		return s.bundle.Manifest
	}
	return Manifest{}
}

// Encode returns the current version in the form that instances exchange.
func (f *Follower) Encode() ([]byte, error) {
	s := f.current.Load()
	if s == nil {
		return nil, ErrNotStarted
	}
	return json.Marshal(s.bundle)
}

// ObserveVersion records that the source, another instance, has the version. If
// the version is newer than the current one, Run fetches it without waiting for
// the next poll. ObserveVersion does not wait for the fetch. An empty source
// stands for the store.
func (f *Follower) ObserveVersion(number int64, source string) {
	if number > f.currentNumber() {
		f.observed.add(number, source)
	}
}

// currentNumber returns the number of the current version, or -1 if there is none.
func (f *Follower) currentNumber() int64 {
	if s := f.current.Load(); s != nil {
		return s.version.Number
	}
	return -1
}

// Start returns once the current version is at least as new as the versions of the
// store and of the instances that answer, and as every version passed to
// ObserveVersion. It retries while neither the store nor any instance answers. It
// fails only when the context ends.
func (f *Follower) Start(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryInterval
	retry.MaxInterval = f.interval
	for !f.refreshAll(ctx) {
		if !sleep(ctx, retry.NextBackOff()) {
			return eris.Wrap(ctx.Err(), "waiting for a document version")
		}
	}
	return nil
}

// refreshAll reads the store and asks other instances: all of them if the store
// does not answer, otherwise startPeerSample in case the store returned an old
// version. It reports whether the newest observed version is current.
func (f *Follower) refreshAll(ctx context.Context) bool {
	instances := f.peer.Instances()
	rand.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
	if f.refreshFromStore(ctx) == nil {
		instances = instances[:min(len(instances), startPeerSample)]
	}
	var group errgroup.Group
	group.SetLimit(startPeerConcurrency)
	for _, instance := range instances {
		group.Go(func() error {
			if err := f.refreshFromPeer(ctx, instance); err != nil {
				f.log.Log(EventPeerFailed, "Instance", instance, "Error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
	return f.Started() && f.currentNumber() >= f.observed.highest()
}

// Run keeps the current version up to date until the context ends. Start must have
// returned.
func (f *Follower) Run(ctx context.Context) {
	for f.waitForPoll(ctx) {
		f.refresh(ctx)
	}
}

func (f *Follower) waitForPoll(ctx context.Context) bool {
	factor := 1 + pollJitter*(2*rand.Float64()-1)
	timer := time.NewTimer(time.Duration(float64(f.interval) * factor))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-f.observed.wake:
	}
	return true
}

// refresh reads the store, then asks the instances that have a version newer than
// the one that the store returned.
func (f *Follower) refresh(ctx context.Context) {
	err := f.refreshFromStore(ctx)
	f.logStoreResult(err)
	for _, source := range f.observed.sourcesAbove(f.currentNumber()) {
		if err := f.refreshFromPeer(ctx, source); err != nil {
			f.log.Log(EventPeerFailed, "Instance", source, "Error", err)
		}
	}
}

func (f *Follower) logStoreResult(err error) {
	if err == nil {
		f.isStoreFailing.Store(false)
		return
	}
	if !f.isStoreFailing.Swap(true) {
		f.log.Log(EventUnreadable, "Error", err)
	}
}

// refreshFromStore activates the store's version if it is newer than the current
// one.
func (f *Follower) refreshFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(storer.WithPriority(ctx, storer.PriorityDocument), fetchTimeout)
	defer cancel()
	rows, err := f.table.Read(ctx, headKey)
	if err != nil {
		return err
	}
	var manifest Manifest
	if rows[0].Version != 0 {
		if err := decode(rows[0].Value, &manifest); err != nil {
			return err
		}
	}
	if manifest.Version < f.currentNumber() {
		f.log.Log(EventStaleRead, "Version", manifest.Version, "InForce", f.currentNumber())
	}
	if manifest.Version <= f.currentNumber() {
		return nil
	}
	b, err := newBundle(ctx, f.texts, manifest)
	if err != nil {
		return err
	}
	return f.activate(b)
}

func (f *Follower) refreshFromPeer(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	body, err := f.peer.FetchDocument(ctx, instance)
	if err != nil {
		return err
	}
	b, err := decodeBundle(body)
	if err != nil {
		return err
	}
	return f.activate(b)
}

// activate compiles the bundle and makes it the current version, unless the
// current version is at least as new.
func (f *Follower) activate(b *bundle) error {
	if b.Manifest.Version <= f.currentNumber() {
		return nil
	}
	version, err := b.compile(f.compiler)
	if err != nil {
		f.log.Log(EventUncompilable, "Version", b.Manifest.Version, "Error", err)
		return err
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if version.Number <= f.currentNumber() {
		return nil
	}
	f.current.Store(&state{version: version, bundle: b})
	f.observed.removeUpTo(version.Number)
	f.log.Log(EventInForce, "Version", version.Number, "Operator", b.Manifest.Operator)
	for _, notify := range f.onChange {
		notify(version)
	}
	return nil
}
