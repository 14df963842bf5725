// Package placer assigns shards to instances. It tracks the membership, keeps the
// shard map, fences instances that have failed and takes over their shards, hands
// shards over between live instances, takes snapshots of shards, and deletes journal
// batches and snapshots that are no longer needed. Every claim and every change of
// the map is committed under the lease of this instance.
package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// DefaultPeriod is the default time between rounds of Run.
	DefaultPeriod = 250 * time.Millisecond
	// DefaultStabilizationPeriod is the default minimum age of a member to which
	// shards are moved.
	DefaultStabilizationPeriod = 3 * time.Second
	// DefaultHeartbeatTimeout is the default time without a heartbeat after which a
	// member is suspect.
	DefaultHeartbeatTimeout = 3 * time.Second
	// DefaultMaxHandovers is the maximum number of concurrent handovers of an
	// instance that is not leaving.
	DefaultMaxHandovers = 64
	// DefaultSnapshotBatches is the default number of committed journal batches
	// after which a snapshot of a shard is due.
	DefaultSnapshotBatches = 256
	// DefaultSweepPeriod is the default time between sweeps.
	DefaultSweepPeriod = 30 * time.Second

	maxMapAge             = 3 * time.Second
	minScanInterval       = time.Second
	scanIntervalPerMember = 30 * time.Millisecond
	heartbeatInterval     = time.Second
	stepTimeout           = 10 * time.Second
	// watcherCount is the number of instances that send heartbeats to an instance
	// and fence it once its lease has expired.
	watcherCount = 6
)

// Lease is the lease of this instance.
type Lease interface {
	Commit(ctx context.Context, change leaser.Change) error
	Lease() leaser.Lease
	Fence(ctx context.Context, row storer.Row) error
	Confirmed() bool
	Fenced() bool
}

// Journal reports the progress of this instance's journal.
type Journal interface {
	// BatchCount returns the number of committed batches.
	BatchCount() int64
	// LastSequence returns the last sequence that was assigned.
	LastSequence() int64
}

// Heartbeater exchanges heartbeats with other instances.
type Heartbeater interface {
	Heartbeat(ctx context.Context, address string, beat forwarder.Heartbeat) (forwarder.Heartbeat, error)
}

// Platform contains the platform services that a Placer uses.
type Platform struct {
	Table   storer.Table
	Objects storer.Objects
	Lister  storer.Lister
}

// Placer implements sharder.Locator, forwarder.Placer and
// forwarder.HeartbeatHandler. Its methods are safe for concurrent use; Run must be
// called only once.
type Placer struct {
	lease    Lease
	journal  Journal
	platform Platform
	machine  sharder.StateMachine
	peers    Heartbeater
	log      *logger.Logger

	shardCount          int
	period              time.Duration
	stabilizationPeriod time.Duration
	heartbeatTimeout    time.Duration
	maxHandovers        int
	snapshotBatches     int64
	sweepPeriod         time.Duration
	reportInstanceCount func(n int)
	documentVersion     func() int64
	load                func() int64

	observer *leaser.Observer
	started  time.Time
	// wake starts the next round of Run early.
	wake chan struct{}
	// refreshSlot serializes refreshes of the shard map. It has capacity 1 and
	// contains a value while a refresh is in progress.
	refreshSlot chan struct{}

	mu          sync.Mutex
	members     map[string]*member
	assignments assignmentCache
	lastScan    time.Time
	shardMap    ShardMap
	mapVersion  int64
	// mapRead is when the read that returned shardMap began.
	mapRead time.Time
	// latestEpoch is the highest epoch reported by heartbeats.
	latestEpoch int64
	held        map[int]*heldShard
	runContext  context.Context
	// drainContext is nil until Drain is called.
	drainContext context.Context
	fenced       bool
}

var (
	_ sharder.Locator            = (*Placer)(nil)
	_ forwarder.Placer           = (*Placer)(nil)
	_ forwarder.HeartbeatHandler = (*Placer)(nil)
)

// Option configures a Placer.
type Option func(*Placer)

// WithShards sets the number of shards, which must be equal on all instances.
func WithShards(n int) Option { return func(p *Placer) { p.shardCount = n } }

// WithPeriod sets the time between rounds of Run.
func WithPeriod(d time.Duration) Option { return func(p *Placer) { p.period = d } }

// WithStabilizationPeriod sets the time for which an instance must have been a member
// before shards are moved to it.
func WithStabilizationPeriod(d time.Duration) Option {
	return func(p *Placer) { p.stabilizationPeriod = d }
}

// WithHeartbeatTimeout sets the time without a heartbeat after which an instance is
// suspect.
func WithHeartbeatTimeout(d time.Duration) Option { return func(p *Placer) { p.heartbeatTimeout = d } }

// WithSnapshotBatches sets the number of committed journal batches after which a
// snapshot of a shard is due.
func WithSnapshotBatches(n int64) Option { return func(p *Placer) { p.snapshotBatches = n } }

// WithSweepPeriod sets the time between sweeps, which delete unreferenced data.
func WithSweepPeriod(d time.Duration) Option { return func(p *Placer) { p.sweepPeriod = d } }

// WithLeaseTimes sets the TTL of leases and the margin that must pass after it before a
// lease is considered expired.
func WithLeaseTimes(ttl, margin time.Duration) Option {
	return func(p *Placer) { p.observer = leaser.NewObserver(ttl, margin) }
}

// WithInstanceCount sets the function that is called with the number of instances
// that hold a lease, after each scan.
func WithInstanceCount(report func(n int)) Option {
	return func(p *Placer) { p.reportInstanceCount = report }
}

// WithDocumentVersion sets the function that returns the document version to report
// in heartbeats.
func WithDocumentVersion(version func() int64) Option {
	return func(p *Placer) { p.documentVersion = version }
}

// WithLoad sets the function that returns the load to report in heartbeats.
func WithLoad(load func() int64) Option { return func(p *Placer) { p.load = load } }

// WithLogger sets the logger; the default discards all events.
func WithLogger(log *logger.Logger) Option { return func(p *Placer) { p.log = log } }

// New returns a Placer for the instance that holds the lease, which must be acquired
// before Run is called.
func New(lease Lease, journal Journal, platform Platform, machine sharder.StateMachine, peers Heartbeater, options ...Option) *Placer {
	p := &Placer{
		lease:               lease,
		journal:             journal,
		platform:            platform,
		machine:             machine,
		peers:               peers,
		log:                 logger.Discard(),
		shardCount:          requester.ShardCount,
		period:              DefaultPeriod,
		stabilizationPeriod: DefaultStabilizationPeriod,
		heartbeatTimeout:    DefaultHeartbeatTimeout,
		maxHandovers:        DefaultMaxHandovers,
		snapshotBatches:     DefaultSnapshotBatches,
		sweepPeriod:         DefaultSweepPeriod,
		reportInstanceCount: func(int) {},
		documentVersion:     func() int64 { return 0 },
		load:                func() int64 { return 0 },
		observer:            leaser.NewObserver(leaser.DefaultTTL, leaser.DefaultMargin),
		started:             time.Now(),
		wake:                make(chan struct{}, 1),
		refreshSlot:         make(chan struct{}, 1),
		members:             map[string]*member{},
		held:                map[int]*heldShard{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run maintains the membership and the shard map until ctx is done. It returns
// leaser.ErrFenced once another generation holds the lease.
func (p *Placer) Run(ctx context.Context) error {
	var background sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer background.Wait()
	defer cancel()
	p.mu.Lock()
	p.runContext = ctx
	p.mu.Unlock()
	background.Go(func() { p.sendHeartbeats(ctx) })
	background.Go(func() { p.runSweeps(ctx) })
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	for {
		if p.lease.Fenced() {
			p.markFenced()
			return leaser.ErrFenced
		}
		p.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-p.wake:
		}
	}
}

// round runs each step once. A failed step runs again in the next round.
func (p *Placer) round(ctx context.Context) {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"Load", p.refreshIfDue},
		{"Scan", p.scanIfDue},
		{"Watch", p.fenceExpired},
		{"Propose", p.propose},
		{"Release", p.release},
		{"Record", p.commitReleases},
		{"Claim", p.claim},
		{"Snapshot", p.takeSnapshots},
	}
	for _, step := range steps {
		err := p.withStepTimeout(ctx, step.run)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if errors.Is(err, leaser.ErrFenced) {
			return
		}
		p.log.Log(eventStepFailed, "Step", step.name, "Cause", err)
	}
}

func (p *Placer) withStepTimeout(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return step(ctx)
}

func (p *Placer) markFenced() {
	p.mu.Lock()
	p.fenced = true
	p.held = map[int]*heldShard{}
	p.mu.Unlock()
	p.machine.Fenced()
}

// Locate implements sharder.Locator.
func (p *Placer) Locate(shard int) sharder.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.held[shard]; ok && h.state == serving {
		lease := p.lease.Lease()
		return sharder.Placement{Instance: lease.Instance, Address: lease.Address, Local: true, Ready: true}
	}
	owner := p.shardMap.Owner(shard)
	if owner.Instance == "" || owner == p.self() {
		return sharder.Placement{Instance: owner.Instance}
	}
	m, ok := p.members[owner.Instance]
	if !ok || m.lease.Generation != owner.Generation {
		return sharder.Placement{Instance: owner.Instance}
	}
	return sharder.Placement{Instance: owner.Instance, Address: m.lease.Address, Ready: true}
}

// ServedShardCount returns the number of shards that this instance serves.
func (p *Placer) ServedShardCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.held {
		if h.state == serving {
			n++
		}
	}
	return n
}

// Epoch returns the epoch of the shard map in use.
func (p *Placer) Epoch() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shardMap.Epoch
}

func (p *Placer) self() Owner {
	lease := p.lease.Lease()
	return Owner{Instance: lease.Instance, Generation: lease.Generation}
}

func (p *Placer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
