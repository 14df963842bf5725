package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/claimer"
	"github.com/wigeonstand/wigeonstand/internal/committer"
	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/escrower"
	"github.com/wigeonstand/wigeonstand/internal/executor"
	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/limiter"
	"github.com/wigeonstand/wigeonstand/internal/placer"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/reconciler"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/router"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	acquireRetryInterval = time.Second
	// fencedGracePeriod is how long calls of a fenced generation may stay in flight.
	fencedGracePeriod = 30 * time.Second
	claimInterval     = 2 * time.Second
	// engineKeyPrefix and an engine's name are the routing key of the engine's orders.
	engineKeyPrefix = "engine/"
)

// generation holds the components that live for one generation of the instance's lease.
type generation struct {
	leaser    *leaser.Leaser
	committer *committer.Committer
	executor  *executor.Executor
	placer    *placer.Placer
	// claimer claims engines for this generation, and reconciler sends them orders.
	claimer    *claimer.Claimer
	reconciler *reconciler.Reconciler
}

// newGeneration acquires the lease under a new generation and builds the components that
// depend on it.
func (d *daemon) newGeneration(ctx context.Context) (*generation, error) {
	address := d.peerAddress()
	lease := leaser.New(d.store, d.settings.Instance, address.String(), d.settings.DataCentre,
		leaser.WithTTL(d.settings.Lease.TTL), leaser.WithLogger(d.log))
	if err := lease.Acquire(ctx); err != nil {
		return nil, eris.Wrap(err, "acquire lease")
	}
	held := lease.Lease()
	holder := fmt.Sprintf("%s-%d", held.Instance, held.Generation)
	groupCommitter := committer.New(lease, d.store,
		committer.WithInterval(d.commitInterval), committer.WithLogger(d.log),
		committer.WithBacklogBytes(d.settings.Limits.BacklogBytes))
	version := d.follower.Current()
	core := decider.New(version, queuer.New(version.Policy), router.New(version.Policy, uint64(held.Generation)),
		limiter.NewRetryBudget(uint64(held.Generation)),
		decider.WithIDPrefix(holder), decider.WithDataCentre(d.settings.DataCentre))
	exec := executor.New(core, d.dispatcher, d.follower.Current,
		executor.WithLogger(d.log), executor.WithMeter(d.meter), executor.WithObserver(d.prober),
		executor.WithEscrow(escrower.New(d.store, holder)), executor.WithLeaseConfirmed(lease.Confirmed))
	shardPlacer := placer.New(lease, groupCommitter, placer.Platform{Table: d.store, Objects: d.store, Lister: d.store}, exec, heartbeater{d},
		placer.WithLogger(d.log), placer.WithInstanceCount(d.store.SetInstanceCount),
		placer.WithLeaseTimes(d.settings.Lease.TTL, d.settings.Lease.TTL/leaseMarginDivisor),
		placer.WithDocumentVersion(func() int64 { return d.follower.Current().Number }))
	engineClaimer := claimer.New(d.store, holder)
	return &generation{
		leaser: lease, committer: groupCommitter, executor: exec, placer: shardPlacer, claimer: engineClaimer,
		reconciler: reconciler.New(d.follower.Current, d.dispatcher, engineClaimer, engineClaimer, reconciler.WithLogger(d.log)),
	}, nil
}

// leaseMarginDivisor sets the margin after the TTL before another instance's lease is
// considered expired: TTL / leaseMarginDivisor.
const leaseMarginDivisor = 5

func (d *daemon) peerAddress() netip.AddrPort {
	if d.settings.PeerAddress.IsValid() {
		return d.settings.PeerAddress
	}
	return d.settings.PeerListen
}

// commitInterval returns the time between group commits: the configured interval, or the
// one that this instance's share of the store's write rate allows if that is longer.
func (d *daemon) commitInterval() time.Duration {
	return max(d.settings.Commit.Interval, d.store.WriteInterval())
}

// run runs the components until ctx is done or the leaser, the committer or the placer
// fails, and returns that error.
func (g *generation) run(ctx context.Context, d *daemon) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, 3)
	var tasks sync.WaitGroup
	tasks.Go(func() { errs <- g.leaser.Run(ctx) })
	tasks.Go(func() { errs <- g.committer.Run(ctx, g.executor) })
	tasks.Go(func() { errs <- g.placer.Run(ctx) })
	tasks.Go(func() { _ = g.reconciler.Run(ctx) })
	tasks.Go(func() { g.claimEngines(ctx, d) })
	err := <-errs
	if errors.Is(err, leaser.ErrFenced) {
		g.executor.Fenced()
	}
	cancel()
	tasks.Wait()
	return err
}

// claimEngines periodically claims the engines whose shard this instance owns and drops
// the claims on all others.
func (g *generation) claimEngines(ctx context.Context, d *daemon) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := g.claimer.Claim(storer.WithPriority(ctx, storer.PrioritySweep), g.localEngines(d)); err != nil {
			d.log.Log(eventClaimFailed, "Cause", err)
		}
	}
}

// localEngines returns the sorted names of the engines whose shard this instance owns.
func (g *generation) localEngines(d *daemon) []string {
	var names []string
	for name, endpoint := range d.follower.Current().Endpoints {
		if endpoint.Service == "" && g.placer.Locate(requester.ShardOf(engineKeyPrefix+name)).Local {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// serveGenerations acquires the lease and serves under it, again after each loss of the
// lease, until ctx is done.
func (d *daemon) serveGenerations(ctx context.Context) {
	for ctx.Err() == nil {
		g, err := d.newGeneration(ctx)
		if err != nil {
			d.log.Log(eventAcquireFailed, "Cause", err)
			sleep(ctx, acquireRetryInterval)
			continue
		}
		g.executor.Start(context.WithoutCancel(ctx), g.committer, g.committer.IsFull)
		d.generation.Store(g)
		g.executor.Send(decider.VersionChanged{Version: d.follower.Current()})
		d.log.Log(eventLeaseAcquired, "Generation", g.leaser.Lease().Generation)
		err = g.run(ctx, d)
		if ctx.Err() != nil {
			return
		}
		d.generation.CompareAndSwap(g, nil)
		d.log.Log(eventLeaseLost, "Cause", err)
		d.work.Go(func() { g.stopAfterGracePeriod(ctx) })
	}
}

// stopAfterGracePeriod stops the executor after fencedGracePeriod, so that calls sent
// before the lease was lost can finish.
func (g *generation) stopAfterGracePeriod(ctx context.Context) {
	sleep(ctx, fencedGracePeriod)
	g.executor.Stop()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// localDoer implements requester.Doer with the executor of the current generation. A
// drain command requests the graceful shutdown of this instance.
type localDoer struct{ daemon *daemon }

// Do implements requester.Doer.
func (l localDoer) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	if command.Drain != nil {
		l.daemon.drainOnce.Do(func() { close(l.daemon.drainRequested) })
		return requester.Reply{}, nil
	}
	g := l.daemon.generation.Load()
	if g == nil {
		return requester.Reply{}, answerer.New(answerer.Moved, "the instance holds no lease")
	}
	return g.executor.Do(ctx, command, sink)
}

// shardLocator implements the forwarder's interfaces with the placer of the current
// generation. Without a generation no shard has an owner.
type shardLocator struct{ daemon *daemon }

// Locate implements forwarder.Placer.
func (l shardLocator) Locate(shard int) sharder.Placement {
	if g := l.daemon.generation.Load(); g != nil {
		return g.placer.Locate(shard)
	}
	return sharder.Placement{}
}

// Refresh implements forwarder.Placer.
func (l shardLocator) Refresh(ctx context.Context) error {
	if g := l.daemon.generation.Load(); g != nil {
		return g.placer.Refresh(ctx)
	}
	return nil
}

// HandleHeartbeat implements forwarder.HeartbeatHandler.
func (l shardLocator) HandleHeartbeat(beat forwarder.Heartbeat) forwarder.Heartbeat {
	l.daemon.follower.ObserveVersion(beat.DocumentVersion, beat.Instance)
	if g := l.daemon.generation.Load(); g != nil {
		return g.placer.HandleHeartbeat(beat)
	}
	return forwarder.Heartbeat{}
}
