package placer

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// releaseTimeout bounds a handover whose context has no deadline.
	releaseTimeout = 10 * time.Minute
)

// Drain hands over all shards to other instances and then marks the lease as released.
// Requests in flight are aborted only when ctx is done. Run must be running until Drain
// returns.
func (p *Placer) Drain(ctx context.Context) error {
	p.mu.Lock()
	if p.drainContext == nil {
		p.drainContext = ctx
	}
	p.mu.Unlock()
	p.signal()
	// Handovers committed shortly after the deadline of ctx still spare the other
	// instances a takeover.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(deadlineOf(ctx))+stepTimeout)
	defer cancel()
	if err := p.commitState(bounded, leaser.Leaving); err != nil {
		return err
	}
	p.signal()
	if err := p.awaitHandovers(bounded); err != nil {
		return err
	}
	return p.commitState(bounded, leaser.Released)
}

func deadlineOf(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(releaseTimeout)
}

func (p *Placer) commitState(ctx context.Context, state leaser.State) error {
	for {
		err := p.lease.Commit(storer.WithPriority(ctx, storer.PriorityLease), leaser.Change{State: state})
		if err == nil || errors.Is(err, leaser.ErrFenced) {
			return err
		}
		if !sleep(ctx, drainPollInterval) {
			return eris.Wrapf(err, "mark the lease %s", state)
		}
	}
}

func (p *Placer) awaitHandovers(ctx context.Context) error {
	for {
		p.mu.Lock()
		n, fenced := len(p.held), p.fenced
		p.mu.Unlock()
		if fenced {
			return leaser.ErrFenced
		}
		if n == 0 {
			return nil
		}
		if !sleep(ctx, drainPollInterval) {
			return eris.Errorf("%d shards were not handed over", n)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// release starts the handover of shards that belong on other instances.
func (p *Placer) release(context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.shardsToRelease() {
		h.state = releasing
		p.startRelease(h)
	}
	return nil
}

// shardsToRelease sets the targets of the shards to hand over now and returns them.
func (p *Placer) shardsToRelease() []*heldShard {
	self := p.self()
	allowed := p.maxHandovers
	for _, h := range p.held {
		if h.state != serving {
			allowed--
		}
	}
	stable := map[string]bool{}
	for _, name := range p.liveMembers(true) {
		stable[name] = true
	}
	all := p.assignments.get(p.liveMembers(false))
	var releasable []*heldShard
	for shard, h := range p.held {
		if h.state != serving {
			continue
		}
		owner := p.shardMap.Owner(shard)
		target := all.instanceFor(shard)
		switch {
		case owner != self:
			// Another instance considered this one failed and changed the map.
			h.target = owner.Instance
		case p.drainContext != nil:
			h.target = p.drainTarget(shard, self.Instance)
		case allowed > 0 && target != "" && target != self.Instance && stable[target] && !p.isSuspect(p.members[target]):
			h.target = target
			allowed--
		default:
			continue
		}
		releasable = append(releasable, h)
	}
	return releasable
}

// drainTarget returns the instance that the shard is assigned to without this one.
func (p *Placer) drainTarget(shard int, self string) string {
	var others []string
	for _, name := range p.liveMembers(false) {
		if name != self && !p.isSuspect(p.members[name]) {
			others = append(others, name)
		}
	}
	return p.assignments.get(others).instanceFor(shard)
}

// startRelease releases the shard from the state machine in the background.
func (p *Placer) startRelease(h *heldShard) {
	parent := p.drainContext
	if parent == nil {
		parent = p.runContext
	}
	bounded, cancel := context.WithDeadline(parent, deadlineOf(parent))
	go func() {
		defer cancel()
		if err := p.machine.Release(bounded, h.shard); err != nil {
			p.log.Log(eventReleaseCut, "Shard", h.shard, "Cause", err)
		}
		last := p.journal.LastSequence()
		p.mu.Lock()
		h.state = released
		h.lastSequence = last
		p.mu.Unlock()
		p.signal()
	}()
}

// commitReleases closes the sources of released shards and assigns them to their
// targets in the map, in one transaction. A shard is included only once all entries
// appended before its release are durable, so that entries of aborted requests are not
// left out.
func (p *Placer) commitReleases(ctx context.Context) error {
	head := p.lease.Lease().Head
	p.mu.Lock()
	var drained []*heldShard
	for _, h := range p.held {
		if h.state == released && h.lastSequence <= head {
			drained = append(drained, h)
		}
	}
	p.mu.Unlock()
	if len(drained) == 0 {
		return nil
	}
	if err := p.Refresh(ctx); err != nil {
		return err
	}
	owned, err := p.readOwnedRows(ctx, drained)
	if err != nil {
		return err
	}
	if len(owned) > 0 {
		if err := p.lease.Commit(ctx, p.releaseChange(owned)); err != nil {
			return err
		}
	}
	p.mu.Lock()
	for _, h := range drained {
		delete(p.held, h.shard)
		p.log.Log(eventShardReleased, "Shard", h.shard, "Target", h.target)
	}
	p.mu.Unlock()
	return p.Refresh(ctx)
}

// ownedShard is a held shard with its row and the version of the row.
type ownedShard struct {
	held    *heldShard
	row     Shard
	version int64
}

// readOwnedRows reads the rows of the shards and leaves out those that this generation
// no longer owns, for example after a release whose response was lost.
func (p *Placer) readOwnedRows(ctx context.Context, all []*heldShard) ([]ownedShard, error) {
	if len(all) == 0 {
		return nil, nil
	}
	keys := make([]string, len(all))
	for i, h := range all {
		keys[i] = shardKey(h.shard)
	}
	rows, err := p.platform.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	self := p.self()
	var found []ownedShard
	for i, row := range rows {
		shard, err := decodeShard(row)
		if err != nil {
			return nil, err
		}
		if shard.ownedBy(self) {
			found = append(found, ownedShard{held: all[i], row: shard, version: row.Version})
		}
	}
	return found, nil
}

func (s Shard) ownedBy(owner Owner) bool {
	if len(s.Sources) == 0 {
		return false
	}
	last := s.Sources[len(s.Sources)-1]
	return !last.Closed && last.Instance == owner.Instance && last.Generation == owner.Generation
}

func (p *Placer) releaseChange(shards []ownedShard) leaser.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	lease := p.lease.Lease()
	self := Owner{Instance: lease.Instance, Generation: lease.Generation}
	owners := p.shardMap.owners(p.shardCount)
	var change leaser.Change
	moved := false
	for _, o := range shards {
		shard := o.row.Shard
		key := shardKey(shard)
		change.Conditions = append(change.Conditions, storer.Condition{Key: key, Version: o.version})
		change.Writes = append(change.Writes, storer.Write{Key: key, Value: encode(o.row.withLastSourceClosed(lease.Head))})
		if owners[shard] == self {
			owners[shard] = p.ownerOf(o.held.target)
			moved = true
		}
	}
	if moved {
		change.Conditions = append(change.Conditions, storer.Condition{Key: ShardMapKey, Version: p.mapVersion})
		change.Writes = append(change.Writes, storer.Write{Key: ShardMapKey, Value: encode(p.shardMap.nextEpoch(owners))})
	}
	return change
}

// withLastSourceClosed returns the row with its last source closed at head.
func (s Shard) withLastSourceClosed(head int64) Shard {
	c := s
	c.Sources = append([]Source(nil), s.Sources...)
	last := &c.Sources[len(c.Sources)-1]
	last.UpTo = head
	last.Closed = true
	return c
}

// ownerOf returns the current generation of the member, or the zero Owner unless it is
// live.
func (p *Placer) ownerOf(name string) Owner {
	m, ok := p.members[name]
	if !ok || m.lease.State != leaser.Live {
		return Owner{}
	}
	return Owner{Instance: name, Generation: m.lease.Generation}
}
