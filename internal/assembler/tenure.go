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
	// acquireRetry is the time between attempts to take a lease.
	acquireRetry = time.Second
	// fencedLinger is how long calls that a replaced owner has sent may still take.
	fencedLinger = 30 * time.Second
	// holdPeriod is how often the engines to be ordered are looked at.
	holdPeriod = 2 * time.Second
	// engineKey starts the routing key that places an engine's orders on a shard.
	engineKey = "engine/"
)

// tenure is what lives for one generation of the instance's lease.
type tenure struct {
	lease   *leaser.Leaser
	journal *committer.Committer
	owner   *executor.Executor
	placer  *placer.Placer
	// claimer says which engines this generation orders, and reconciler sends the orders.
	claimer    *claimer.Claimer
	reconciler *reconciler.Reconciler
}

// newTenure takes the lease under a new generation and builds what depends on it.
func (d *daemon) newTenure(ctx context.Context) (*tenure, error) {
	address := d.peerAddress()
	lease := leaser.New(d.store, d.settings.Instance, address.String(), d.settings.DataCentre,
		leaser.WithTTL(d.settings.Lease.TTL), leaser.WithLogger(d.log))
	if err := lease.Acquire(ctx); err != nil {
		return nil, eris.Wrap(err, "acquire lease")
	}
	held := lease.Lease()
	holder := fmt.Sprintf("%s-%d", held.Instance, held.Generation)
	journal := committer.New(lease, d.store,
		committer.WithInterval(d.commitInterval), committer.WithLogger(d.log),
		committer.WithBacklogBytes(d.settings.Limits.BacklogBytes))
	version := d.follower.Current()
	core := decider.New(version, queuer.New(version.Policy), router.New(version.Policy, uint64(held.Generation)),
		limiter.NewRetryBudget(uint64(held.Generation)),
		decider.WithIDPrefix(holder), decider.WithDataCentre(d.settings.DataCentre))
	work := executor.New(core, d.dispatcher, d.follower.Current,
		executor.WithLogger(d.log), executor.WithMeter(d.meter), executor.WithObserver(d.prober),
		executor.WithEscrow(escrower.New(d.store, holder)), executor.WithLeaseConfirmed(lease.Confirmed))
	places := placer.New(lease, journal, placer.Platform{Table: d.store, Objects: d.store, Lister: d.store}, work, listeningPeers{d},
		placer.WithLogger(d.log), placer.WithInstanceCount(d.store.SetInstanceCount),
		placer.WithLeaseTimes(d.settings.Lease.TTL, d.settings.Lease.TTL/leaseMarginPart),
		placer.WithDocumentVersion(func() int64 { return d.follower.Current().Number }))
	intents := claimer.New(d.store, holder)
	return &tenure{
		lease: lease, journal: journal, owner: work, placer: places, claimer: intents,
		reconciler: reconciler.New(d.follower.Current, d.dispatcher, intents, intents, reconciler.WithLogger(d.log)),
	}, nil
}

// leaseMarginPart is the part of the TTL that a taker waits beyond it.
const leaseMarginPart = 5

func (d *daemon) peerAddress() netip.AddrPort {
	if d.settings.PeerAddress.IsValid() {
		return d.settings.PeerAddress
	}
	return d.settings.PeerListen
}

// commitInterval is the time between group commits: the setting, or what the
// platform's write budget leaves to this instance if that is longer.
func (d *daemon) commitInterval() time.Duration {
	return max(d.settings.Commit.Interval, d.store.WriteInterval())
}

// run serves until ctx ends or the lease is taken away.
func (t *tenure) run(ctx context.Context, d *daemon) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, 3)
	var work sync.WaitGroup
	work.Go(func() { errs <- t.lease.Run(ctx) })
	work.Go(func() { errs <- t.journal.Run(ctx, t.owner) })
	work.Go(func() { errs <- t.placer.Run(ctx) })
	work.Go(func() { _ = t.reconciler.Run(ctx) })
	work.Go(func() { t.holdEngines(ctx, d) })
	err := <-errs
	if errors.Is(err, leaser.ErrFenced) {
		t.owner.Fenced()
	}
	cancel()
	work.Wait()
	return err
}

// holdEngines takes the right to order the engines whose shard this instance
// owns, and lets go of the others.
func (t *tenure) holdEngines(ctx context.Context, d *daemon) {
	ticker := time.NewTicker(holdPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := t.claimer.Claim(storer.WithPriority(ctx, storer.PrioritySweep), t.engines(d)); err != nil {
			d.log.Log(eventHoldFailed, "Cause", err)
		}
	}
}

// engines returns the names of the engines whose shard is served here.
func (t *tenure) engines(d *daemon) []string {
	var names []string
	for name, endpoint := range d.follower.Current().Endpoints {
		if endpoint.Service == "" && t.placer.Locate(requester.ShardOf(engineKey+name)).Local {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// serveTenures takes one lease after another until ctx ends.
func (d *daemon) serveTenures(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := d.newTenure(ctx)
		if err != nil {
			d.log.Log(eventLeaseFailed, "Cause", err)
			pause(ctx, acquireRetry)
			continue
		}
		t.owner.Start(context.WithoutCancel(ctx), t.journal, t.journal.IsFull)
		d.tenure.Store(t)
		t.owner.Send(decider.VersionChanged{Version: d.follower.Current()})
		d.log.Log(eventLeaseTaken, "Generation", t.lease.Lease().Generation)
		err = t.run(ctx, d)
		if ctx.Err() != nil {
			return
		}
		d.tenure.CompareAndSwap(t, nil)
		d.log.Log(eventTenureEnded, "Cause", err)
		d.work.Go(func() { t.linger(ctx) })
	}
}

// linger lets calls that were sent before the lease was lost end.
func (t *tenure) linger(ctx context.Context) {
	pause(ctx, fencedLinger)
	t.owner.Stop()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// local serves commands by the owner of the present generation.
type local struct{ daemon *daemon }

// Do implements requester.Doer.
func (l local) Do(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
	if command.Drain != nil {
		l.daemon.drainOnce.Do(func() { close(l.daemon.draining) })
		return requester.Reply{}, nil
	}
	t := l.daemon.tenure.Load()
	if t == nil {
		return requester.Reply{}, answerer.New(answerer.Moved, "the instance holds no lease")
	}
	return t.owner.Do(ctx, command, sink)
}

// places answers where shards are by the present generation.
type places struct{ daemon *daemon }

// Locate implements forwarder.Placer.
func (p places) Locate(shard int) sharder.Placement {
	if t := p.daemon.tenure.Load(); t != nil {
		return t.placer.Locate(shard)
	}
	return sharder.Placement{}
}

// Refresh implements forwarder.Placer.
func (p places) Refresh(ctx context.Context) error {
	if t := p.daemon.tenure.Load(); t != nil {
		return t.placer.Refresh(ctx)
	}
	return nil
}

// HandleHeartbeat implements forwarder.HeartbeatHandler.
func (p places) HandleHeartbeat(beat forwarder.Heartbeat) forwarder.Heartbeat {
	p.daemon.follower.ObserveVersion(beat.DocumentVersion, beat.Instance)
	if t := p.daemon.tenure.Load(); t != nil {
		return t.placer.HandleHeartbeat(beat)
	}
	return forwarder.Heartbeat{}
}
