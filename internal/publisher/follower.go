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
	defaultInterval = 2 * time.Second
	// intervalSpread keeps the instances from asking the store all at once.
	intervalSpread = 0.1
	// fetchTimeout bounds one request to the store or to another instance.
	fetchTimeout = 2 * time.Second
	// startSample is how many instances are asked at the start besides the store.
	startSample = 3
	// startParallel is how many instances are asked at once.
	startParallel = 16
)

// ErrNotStarted is returned by Encode before Start has returned.
var ErrNotStarted = errors.New("the document is not known yet")

// Peer fetches the document from other instances.
type Peer interface {
	// FetchDocument returns what Encode gives on the instance.
	FetchDocument(ctx context.Context, instance string) (encoded []byte, err error)
	// Instances returns the other instances that are believed to be alive, in
	// a new slice.
	Instances() []string
}

// state is the version in force. It is never changed.
type state struct {
	version *compiler.Version
	bundle  *bundle
}

// Follower keeps an instance's copy of the newest document. It never goes back
// to an older version. Its methods are safe for concurrent use.
type Follower struct {
	table    storer.Table
	texts    *texts
	compiler *compiler.Compiler
	peer     Peer
	interval time.Duration
	log      *logger.Logger
	notify   []func(*compiler.Version)

	current atomic.Pointer[state]
	// apply serializes changes of current and the calls of notify.
	apply  sync.Mutex
	offers offers
	// failing is set while the store cannot be read, so that it is logged once.
	failing atomic.Bool
}

// FollowerOption sets one property of a Follower.
type FollowerOption func(*Follower)

// WithInterval sets the time between two looks at the store.
func WithInterval(interval time.Duration) FollowerOption {
	return func(f *Follower) { f.interval = interval }
}

// WithPeer names the way to other instances, which are asked while the store
// is not reachable.
func WithPeer(peer Peer) FollowerOption {
	return func(f *Follower) { f.peer = peer }
}

// WithNotify adds a function that is called with each version put in force, in
// order and one at a time. It must not call the Follower's Start or Run.
func WithNotify(notify func(*compiler.Version)) FollowerOption {
	return func(f *Follower) { f.notify = append(f.notify, notify) }
}

// WithLogger sets where events are logged.
func WithLogger(log *logger.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// noPeer stands in where there is no way to other instances.
type noPeer struct{}

func (noPeer) FetchDocument(context.Context, string) ([]byte, error) {
	return nil, eris.New("there is no way to other instances")
}

func (noPeer) Instances() []string { return nil }

// NewFollower returns a Follower of the document in the table and the objects.
func NewFollower(table storer.Table, objects storer.Objects, options ...FollowerOption) *Follower {
	f := &Follower{
		table:    table,
		texts:    newTexts(objects),
		compiler: compiler.New(),
		peer:     noPeer{},
		interval: defaultInterval,
		log:      logger.Discard(),
		offers:   newOffers(),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Current returns the version in force, which is an empty one before Start has returned.
func (f *Follower) Current() *compiler.Version {
	if s := f.current.Load(); s != nil {
		return s.version
	}
	return compiler.Empty()
}

// Started says whether a version, perhaps an explicitly empty one, is in force.
func (f *Follower) Started() bool { return f.current.Load() != nil }

// Manifest returns the manifest of the version in force.
func (f *Follower) Manifest() Manifest {
	if s := f.current.Load(); s != nil {
		return s.bundle.Manifest
	}
	return Manifest{}
}

// Encode returns the version in force for another instance.
func (f *Follower) Encode() ([]byte, error) {
	s := f.current.Load()
	if s == nil {
		return nil, ErrNotStarted
	}
	return json.Marshal(s.bundle)
}

// ObserveVersion says that the source, another instance, has the version; if it is newer
// than the one in force it is fetched at once. ObserveVersion does not wait for that. An
// empty source stands for the store.
func (f *Follower) ObserveVersion(number int64, source string) {
	if number > f.number() {
		f.offers.add(number, source)
	}
}

// number returns the version in force, or -1 if there is none yet.
func (f *Follower) number() int64 {
	if s := f.current.Load(); s != nil {
		return s.version.Number
	}
	return -1
}

// Start returns once a version is in force that is at least as new as any that
// the store, the instances that answer and the offers so far tell of. While
// neither the store nor any instance answers it waits.
func (f *Follower) Start(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = defaultRetryFirst
	retry.MaxInterval = f.interval
	for !f.refreshAll(ctx) {
		if !sleep(ctx, retry.NextBackOff()) {
			return eris.Wrap(ctx.Err(), "waiting for the document")
		}
	}
	return nil
}

// refreshAll asks the store and other instances, all of them if the store does
// not answer and a few in case its answer is old otherwise. It says
// whether the newest version that was told of is in force.
func (f *Follower) refreshAll(ctx context.Context) bool {
	instances := f.peer.Instances()
	rand.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
	if f.refreshFromStore(ctx) == nil {
		instances = instances[:min(len(instances), startSample)]
	}
	var group errgroup.Group
	group.SetLimit(startParallel)
	for _, instance := range instances {
		group.Go(func() error {
			if err := f.refreshFromPeer(ctx, instance); err != nil {
				f.log.Log(EventPeerFailed, "Instance", instance, "Error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
	return f.Started() && f.number() >= f.offers.highest()
}

// Run follows the document until the context ends. Start must have returned.
func (f *Follower) Run(ctx context.Context) {
	for f.wait(ctx) {
		f.refresh(ctx)
	}
}

func (f *Follower) wait(ctx context.Context) bool {
	spread := 1 + intervalSpread*(2*rand.Float64()-1)
	timer := time.NewTimer(time.Duration(float64(f.interval) * spread))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-f.offers.wake:
	}
	return true
}

// refresh asks the store, and those who offered a newer version if the store
// does not give it.
func (f *Follower) refresh(ctx context.Context) {
	err := f.refreshFromStore(ctx)
	f.logStore(err)
	for _, source := range f.offers.above(f.number()) {
		if err := f.refreshFromPeer(ctx, source); err != nil {
			f.log.Log(EventPeerFailed, "Instance", source, "Error", err)
		}
	}
}

func (f *Follower) logStore(err error) {
	if err == nil {
		f.failing.Store(false)
		return
	}
	if !f.failing.Swap(true) {
		f.log.Log(EventUnreadable, "Error", err)
	}
}

// refreshFromStore puts the store's version in force if it is newer.
func (f *Follower) refreshFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(storer.WithPriority(ctx, storer.PriorityDocument), fetchTimeout)
	defer cancel()
	rows, err := f.table.Read(ctx, keyHead)
	if err != nil {
		return err
	}
	var manifest Manifest
	if rows[0].Version != 0 {
		if err := decode(rows[0].Value, &manifest); err != nil {
			return err
		}
	}
	if manifest.Version < f.number() {
		f.log.Log(EventStaleRead, "Version", manifest.Version, "InForce", f.number())
	}
	if manifest.Version <= f.number() {
		return nil
	}
	b, err := newBundle(ctx, f.texts, manifest)
	if err != nil {
		return err
	}
	return f.put(b)
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
	return f.put(b)
}

// put compiles the bundle and puts it in force unless a version at least as
// new is.
func (f *Follower) put(b *bundle) error {
	if b.Manifest.Version <= f.number() {
		return nil
	}
	version, err := b.compile(f.compiler)
	if err != nil {
		f.log.Log(EventUncompilable, "Version", b.Manifest.Version, "Error", err)
		return err
	}
	f.apply.Lock()
	defer f.apply.Unlock()
	if version.Number <= f.number() {
		return nil
	}
	f.current.Store(&state{version: version, bundle: b})
	f.offers.settle(version.Number)
	f.log.Log(EventInForce, "Version", version.Number, "Operator", b.Manifest.Operator)
	for _, notify := range f.notify {
		notify(version)
	}
	return nil
}
