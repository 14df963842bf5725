package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonstand/wigeonstand/internal/committer"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// ShardPrefix starts the key of every shard's row.
	ShardPrefix = "shard/"
	// maxClaimsPerBatch bounds the shards that are replayed and claimed together.
	maxClaimsPerBatch = 64
)

// Shard is the value of a shard's row. The durable state of the shard is its
// snapshot and, after it, the entries of the sources in order.
type Shard struct {
	Shard int
	// Snapshot is the key of the snapshot object, empty if there is none.
	Snapshot string
	Sources  []Source
}

// Source is a part of a generation's journal. It holds the shard's entries with
// sequences greater than After and, once Closed, not greater than UpTo. The owner
// of the shard is the generation of the last source while it is open.
type Source struct {
	Instance   string
	Generation int64
	After      int64
	UpTo       int64
	Closed     bool
}

type state int

const (
	serving state = iota
	releasing
	released
)

// heldShard is a shard that this instance has claimed and restored.
type heldShard struct {
	shard int
	state state
	// target is the instance that the shard is handed over to.
	target string
	// lastSequence is the journal's lastSequence sequence when the machine let go of the shard.
	lastSequence int64
	// sourceCount is the number of sourceCount of the shard's row.
	sourceCount int
	// snapshotBatchCount is the journal's count when the last snapshot was taken.
	snapshotBatchCount int64
}

// shardClaim is a shard that is being shardClaim.
type shardClaim struct {
	shard   Shard
	version int64
	// alreadyClaimed is set if an earlier claim of this generation took effect.
	alreadyClaimed bool
}

func shardKey(shard int) string { return fmt.Sprintf("%s%04d", ShardPrefix, shard) }

func decodeShard(row storer.Row) (Shard, error) {
	var shard Shard
	err := json.Unmarshal(row.Value, &shard)
	return shard, eris.Wrapf(err, "decode %s", row.Key)
}

// claim takes the shards that the map gives to this instance, as far as their
// earlier owners can commit nothing any more.
func (p *Placer) claim(ctx context.Context) error {
	pending := p.unclaimedShards()
	for len(pending) > 0 {
		n := min(maxClaimsPerBatch, len(pending))
		if err := p.claimBatch(ctx, pending[:n]); err != nil {
			return err
		}
		pending = pending[n:]
	}
	return nil
}

func (p *Placer) unclaimedShards() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drainContext != nil || p.fenced {
		return nil
	}
	self := p.self()
	var unclaimed []int
	for shard := range p.shardCount {
		if _, ok := p.held[shard]; !ok && p.shardMap.Owner(shard) == self {
			unclaimed = append(unclaimed, shard)
		}
	}
	return unclaimed
}

func (p *Placer) claimBatch(ctx context.Context, shards []int) error {
	claims, err := p.claimable(ctx, shards)
	if err != nil || len(claims) == 0 {
		return err
	}
	replays, err := p.replay(ctx, claims)
	if err != nil {
		return err
	}
	if err := p.commitClaims(ctx, claims); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, c := range claims {
		group.Go(func() error { return p.restore(ctx, c, replays[i]) })
	}
	return group.Wait()
}

// claimable reads the rows of the shards, closes their sources where the
// generation is over, and leaves out those with an owner that may still commit.
func (p *Placer) claimable(ctx context.Context, shards []int) ([]*shardClaim, error) {
	keys := make([]string, len(shards))
	for i, shard := range shards {
		keys[i] = shardKey(shard)
	}
	rows, err := p.platform.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	generations := &generationCache{Placer: p, statuses: map[Owner]generationStatus{}}
	var claims []*shardClaim
	for i, row := range rows {
		c := &shardClaim{shard: Shard{Shard: shards[i]}, version: row.Version}
		if row.Version != 0 {
			if c.shard, err = decodeShard(row); err != nil {
				return nil, err
			}
		}
		claimable, err := c.closeSources(ctx, p.self(), generations)
		if err != nil {
			return nil, err
		}
		if claimable {
			claims = append(claims, c)
		}
	}
	return claims, nil
}

// closeSources says whether the shard has no owner other than this instance.
func (c *shardClaim) closeSources(ctx context.Context, self Owner, generations *generationCache) (bool, error) {
	var sources []Source
	for _, s := range c.shard.Sources {
		owner := Owner{Instance: s.Instance, Generation: s.Generation}
		if !s.Closed && owner == self {
			c.alreadyClaimed = true
			sources = append(sources, s)
			continue
		}
		if !s.Closed {
			e, err := generations.lookUp(ctx, owner)
			if err != nil || !e.closed {
				return false, err
			}
			s.UpTo = e.head
			s.Closed = true
		}
		if s.UpTo > s.After {
			sources = append(sources, s)
		}
	}
	c.shard.Sources = sources
	return true, nil
}

// generationCache remembers how far closed generations had committed.
type generationCache struct {
	*Placer
	statuses map[Owner]generationStatus
}

type generationStatus struct {
	closed bool
	head   int64
}

func (e *generationCache) lookUp(ctx context.Context, owner Owner) (generationStatus, error) {
	if cached, ok := e.statuses[owner]; ok {
		return cached, nil
	}
	closed, isClosed, err := leaser.ReadClosedGeneration(ctx, e.platform.Table, owner.Instance, owner.Generation)
	if err != nil {
		return generationStatus{}, err
	}
	if !isClosed {
		err = e.fenceReleased(ctx, owner)
	}
	if err != nil {
		return generationStatus{}, err
	}
	found := generationStatus{closed: isClosed, head: closed.Head}
	e.statuses[owner] = found
	return found, nil
}

// fenceReleased takes away the lease of an instance that has stopped, but left a
// shard behind. The shard can be claimed in a later round.
func (p *Placer) fenceReleased(ctx context.Context, owner Owner) error {
	p.mu.Lock()
	m, ok := p.members[owner.Instance]
	p.mu.Unlock()
	if !ok || m.lease.Generation != owner.Generation || m.lease.State != leaser.Released {
		return nil
	}
	return p.lease.Fence(ctx, m.row)
}

// commitClaims appends this instance to the sources of the shards, under its
// lease and only if the rows are as they were read.
func (p *Placer) commitClaims(ctx context.Context, claims []*shardClaim) error {
	lease := p.lease.Lease()
	var change leaser.Change
	for _, c := range claims {
		if c.alreadyClaimed {
			continue
		}
		c.shard.Sources = append(c.shard.Sources, Source{
			Instance:   lease.Instance,
			Generation: lease.Generation,
			After:      lease.Head,
		})
		key := shardKey(c.shard.Shard)
		change.Conditions = append(change.Conditions, storer.Condition{Key: key, Version: c.version})
		change.Writes = append(change.Writes, storer.Write{Key: key, Value: encode(c.shard)})
	}
	if len(change.Writes) == 0 {
		return nil
	}
	err := p.lease.Commit(ctx, change)
	if errors.Is(err, storer.ErrConflict) {
		// Somebody else changed a row; the next round reads them again.
		return errors.Join(err, p.Refresh(ctx))
	}
	return err
}

func (p *Placer) restore(ctx context.Context, c *shardClaim, r *replay) error {
	if err := p.machine.Restore(ctx, c.shard.Shard, r.snapshot, r.allEntries()); err != nil {
		return eris.Wrapf(err, "restore shard %d", c.shard.Shard)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fenced {
		return leaser.ErrFenced
	}
	p.held[c.shard.Shard] = &heldShard{
		shard:              c.shard.Shard,
		sourceCount:        len(c.shard.Sources),
		snapshotBatchCount: p.journal.BatchCount(),
	}
	p.log.Log(eventShardClaimed, "Shard", c.shard.Shard, "Sources", len(c.shard.Sources))
	return nil
}

// replay is the durable state of one shard; entries are kept by source.
type replay struct {
	snapshot []byte
	entries  [][]sharder.Entry
}

func (r *replay) allEntries() []sharder.Entry {
	var all []sharder.Entry
	for _, entries := range r.entries {
		all = append(all, entries...)
	}
	return all
}

// replay reads the durable states of the shards, each generation's journal once.
func (p *Placer) replay(ctx context.Context, claims []*shardClaim) ([]*replay, error) {
	replays := make([]*replay, len(claims))
	ranges := map[Owner][]journalRange{}
	for i, c := range claims {
		r, err := p.readSnapshot(ctx, c.shard)
		if err != nil {
			return nil, err
		}
		replays[i] = r
		for j, s := range c.shard.Sources {
			if !s.Closed {
				s.UpTo = p.lease.Lease().Head
			}
			owner := Owner{Instance: s.Instance, Generation: s.Generation}
			ranges[owner] = append(ranges[owner], journalRange{shard: c.shard.Shard, source: s, entries: &r.entries[j]})
		}
	}
	for owner, ownerRanges := range ranges {
		if err := p.readJournal(ctx, owner, ownerRanges); err != nil {
			return nil, err
		}
	}
	return replays, nil
}

func (p *Placer) readSnapshot(ctx context.Context, shard Shard) (*replay, error) {
	r := &replay{entries: make([][]sharder.Entry, len(shard.Sources))}
	if shard.Snapshot == "" {
		return r, nil
	}
	body, err := p.platform.Objects.Get(ctx, shard.Snapshot)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", shard.Snapshot)
	}
	r.snapshot = body
	return r, nil
}

// journalRange is one shard's interest in a generation's journal.
type journalRange struct {
	shard   int
	source  Source
	entries *[]sharder.Entry
}

func (p *Placer) readJournal(ctx context.Context, owner Owner, ranges []journalRange) error {
	combined := committer.Source{
		Instance:   owner.Instance,
		Generation: owner.Generation,
		After:      ranges[0].source.After,
		UpTo:       ranges[0].source.UpTo,
	}
	byShard := map[int][]journalRange{}
	for _, r := range ranges {
		combined.After = min(combined.After, r.source.After)
		combined.UpTo = max(combined.UpTo, r.source.UpTo)
		byShard[r.shard] = append(byShard[r.shard], r)
	}
	wanted := func(shard int) bool { return len(byShard[shard]) > 0 }
	visit := func(sequence int64, entry sharder.Entry) error {
		for _, r := range byShard[entry.Shard] {
			if sequence > r.source.After && sequence <= r.source.UpTo {
				*r.entries = append(*r.entries, entry)
			}
		}
		return nil
	}
	store := committer.Store{Table: p.platform.Table, Objects: p.platform.Objects}
	return committer.Read(ctx, store, combined, wanted, visit)
}
