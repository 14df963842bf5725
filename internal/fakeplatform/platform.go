// Package fakeplatform owns an in-memory stand-in for the platform: its table
// service, its object store and its lagging list of instances, with faults that
// tests and demonstrations set. It does not own the wire protocol, which
// internal/storer declares, nor anything that is kept in a row or an object.
package fakeplatform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// defaultSeed and streamSeed fix the generator that draws lost answers.
const (
	defaultSeed = 1
	streamSeed  = 0x9e3779b97f4a7c15
)

// errThrottled tells a request over the rate limit from one during an outage.
var errThrottled = fmt.Errorf("rate limit reached: %w", storer.ErrUnavailable)

var (
	_ storer.Table   = (*Platform)(nil)
	_ storer.Objects = (*Platform)(nil)
	_ storer.Lister  = (*Platform)(nil)
)

// Platform keeps rows, objects and listings in memory. It starts no goroutine
// and takes its time from the runtime, so it may be used inside a
// testing/synctest bubble. It is safe for concurrent use.
type Platform struct {
	log    *logger.Logger
	writes *rate.Limiter
	reads  *rate.Limiter
	// lateness is how long after its lost answer a write takes effect.
	lateness time.Duration

	mu      sync.Mutex
	random  *rand.Rand
	faults  storer.Faults
	table   table
	objects objects
	list    list
	late    []lateWrite
	counts  Counts
}

// lateWrite is a write whose answer was lost and which takes effect at due.
type lateWrite struct {
	due   time.Time
	apply func()
}

// Counts says how many requests the platform has seen, by what became of them.
type Counts struct {
	// Commits counts transactions that took effect, lost answers included.
	Commits int
	// RowWrites counts the rows that they set or deleted.
	RowWrites int
	// Conflicts counts transactions refused because a condition failed.
	Conflicts int
	// Reads counts row reads, Scans counts row scans.
	Reads int
	Scans int
	// Puts, Gets, Deletes and ObjectLists count object requests that ran.
	Puts        int
	Gets        int
	Deletes     int
	ObjectLists int
	// Lists counts reads of the list of instances.
	Lists int
	// Lost counts writes that took effect and whose answer was lost.
	Lost int
	// Throttled counts requests over a rate limit, Unavailable those refused
	// by an outage, Silenced those that were never answered.
	Throttled   int
	Unavailable int
	Silenced    int
}

// Option sets one property of a Platform.
type Option func(*Platform)

// WithSeed fixes the draws of lost answers.
func WithSeed(seed uint64) Option {
	return func(p *Platform) { p.random = rand.New(rand.NewPCG(seed, streamSeed)) }
}

// WithWriteRate bounds the writes per second; the rest is refused.
func WithWriteRate(perSecond, burst int) Option {
	return func(p *Platform) { p.writes = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithReadRate bounds the reads per second; the rest is refused.
func WithReadRate(perSecond, burst int) Option {
	return func(p *Platform) { p.reads = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithLateness delays the effect of writes whose answer is lost, so that a
// read right after the loss does not see them yet.
func WithLateness(d time.Duration) Option {
	return func(p *Platform) { p.lateness = d }
}

// WithFaults sets the faults that the platform starts with.
func WithFaults(faults storer.Faults) Option {
	return func(p *Platform) { p.faults = faults }
}

// WithLogger sets where the platform logs; it logs nothing by default.
func WithLogger(log *logger.Logger) Option {
	return func(p *Platform) { p.log = log }
}

// New returns an empty Platform.
func New(options ...Option) *Platform {
	p := &Platform{
		log:     logger.Discard(),
		writes:  rate.NewLimiter(rate.Inf, 0),
		reads:   rate.NewLimiter(rate.Inf, 0),
		table:   newTable(),
		objects: newObjects(),
	}
	WithSeed(defaultSeed)(p)
	for _, option := range options {
		option(p)
	}
	return p
}

// SetFaults sets how the platform fails from now on.
func (p *Platform) SetFaults(faults storer.Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.log.Log(FaultsSet, "Faults", faults)
}

// Faults returns the faults in force.
func (p *Platform) Faults() storer.Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the counters so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Commit implements storer.Table.
func (p *Platform) Commit(ctx context.Context, commit storer.Commit) (storer.Result, error) {
	var result storer.Result
	err := p.write(ctx, func() (func(), error) {
		if !p.table.holds(commit.Conditions) {
			p.counts.Conflicts++
			return nil, storer.ErrConflict
		}
		return func() {
			result = p.table.apply(commit.Writes)
			p.counts.Commits++
			p.counts.RowWrites += len(commit.Writes)
		}, nil
	})
	if err != nil {
		return storer.Result{}, err
	}
	return result, nil
}

// Read implements storer.Table.
func (p *Platform) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	return readWith(ctx, p, func() ([]storer.Row, error) {
		p.counts.Reads++
		return p.table.read(keys), nil
	})
}

// Scan implements storer.Table. A limit of zero or less returns all rows.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return readWith(ctx, p, func() ([]storer.Row, error) {
		p.counts.Scans++
		return p.table.scan(prefix, after, limit), nil
	})
}

// Put implements storer.Objects.
func (p *Platform) Put(ctx context.Context, key string, body []byte) error {
	return p.write(ctx, func() (func(), error) {
		return func() {
			p.objects.put(key, body)
			p.counts.Puts++
		}, nil
	})
}

// Get implements storer.Objects.
func (p *Platform) Get(ctx context.Context, key string) ([]byte, error) {
	return readWith(ctx, p, func() ([]byte, error) {
		p.counts.Gets++
		return p.objects.get(key)
	})
}

// Delete implements storer.Objects.
func (p *Platform) Delete(ctx context.Context, key string) error {
	return p.write(ctx, func() (func(), error) {
		return func() {
			p.objects.remove(key)
			p.counts.Deletes++
		}, nil
	})
}

// List implements storer.Objects. A limit of zero or less returns all keys.
func (p *Platform) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	return readWith(ctx, p, func() ([]string, error) {
		p.counts.ObjectLists++
		return p.objects.list(prefix, limit), nil
	})
}

// Instances implements storer.Lister. It returns the list as it was ListLag ago.
func (p *Platform) Instances(ctx context.Context) ([]storer.Listing, error) {
	return readWith(ctx, p, func() ([]storer.Listing, error) {
		p.counts.Lists++
		return p.list.at(time.Now().Add(-p.faults.ListLag)), nil
	})
}

// Register adds a listing or replaces the one of the same instance, as the
// launcher of an instance does. No fault touches it.
func (p *Platform) Register(listing storer.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.set(time.Now(), listing)
}

// Deregister takes an instance off the list. No fault touches it.
func (p *Platform) Deregister(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.remove(time.Now(), instance)
}
