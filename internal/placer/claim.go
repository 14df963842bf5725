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
	// ShardPrefix is the prefix of the keys of shards' rows.
	ShardPrefix = "shard/"
	// maxClaimsPerBatch is the maximum number of shards claimed in one transaction.
	maxClaimsPerBatch = 64
)

// Shard is the value of a shard's row. The durable state of the shard is its
// snapshot followed by the entries of the sources, in order.
type Shard struct {
	Shard int
	// Snapshot is the key of the snapshot object, or empty if there is none.
	Snapshot string
	Sources  []Source
}

// Source is a range of a generation's journal. It contains the shard's entries with
// sequences greater than After and, if Closed, not greater than UpTo. While the last
// source of a shard is open, its generation owns the shard.
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
	// lastSequence is the journal's last sequence when the state machine had released
	// the shard.
	lastSequence int64
	// sourceCount is the number of sources in the shard's row.
	sourceCount int
	// snapshotBatchCount is the journal's batch count at the last snapshot, or at the
	// claim if there was none since.
	snapshotBatchCount int64
}

// shardClaim is a shard to be claimed, with the version of its row.
type shardClaim struct {
	shard   Shard
	version int64
	// alreadyClaimed is true if an earlier claim by this generation took effect.
	alreadyClaimed bool
}

func shardKey(shard int) string { return fmt.Sprintf("%s%04d", ShardPrefix, shard) }

func decodeShard(row storer.Row) (Shard, error) {
	var shard Shard
	err := json.Unmarshal(row.Value, &shard)
	return shard, eris.Wrapf(err, "decode %s", row.Key)
}

// claim claims the shards that the map assigns to this instance, except those whose
// previous owner may still commit.
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
	states, err := p.readDurableStates(ctx, claims)
	if err != nil {
		return err
	}
	if err := p.commitClaims(ctx, claims); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, c := range claims {
		group.Go(func() error { return p.restore(ctx, c, states[i]) })
	}
	return group.Wait()
}

// claimable reads the rows of the shards and closes the sources of closed
// generations. It leaves out shards whose owner may still commit.
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

// closeSources closes the open sources of closed generations and drops empty sources.
// It returns false if another instance still owns the shard.
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
			status, err := generations.lookUp(ctx, owner)
			if err != nil || !status.closed {
				return false, err
			}
			s.UpTo = status.head
			s.Closed = true
		}
		if s.UpTo > s.After {
			sources = append(sources, s)
		}
	}
	c.shard.Sources = sources
	return true, nil
}

// generationCache caches the status of generations while a batch of shards is claimed.
type generationCache struct {
	*Placer
	statuses map[Owner]generationStatus
}

type generationStatus struct {
	closed bool
	// head is the last committed sequence of a closed generation.
	head int64
}

func (c *generationCache) lookUp(ctx context.Context, owner Owner) (generationStatus, error) {
	if cached, ok := c.statuses[owner]; ok {
		return cached, nil
	}
	closed, isClosed, err := leaser.ReadClosedGeneration(ctx, c.platform.Table, owner.Instance, owner.Generation)
	if err != nil {
		return generationStatus{}, err
	}
	if !isClosed {
		err = c.fenceReleased(ctx, owner)
	}
	if err != nil {
		return generationStatus{}, err
	}
	found := generationStatus{closed: isClosed, head: closed.Head}
	c.statuses[owner] = found
	return found, nil
}

// fenceReleased fences an instance that has released its lease but still owns a
// shard. The shard can be claimed in a later round.
func (p *Placer) fenceReleased(ctx context.Context, owner Owner) error {
	p.mu.Lock()
	m, ok := p.members[owner.Instance]
	p.mu.Unlock()
	if !ok || m.lease.Generation != owner.Generation || m.lease.State != leaser.Released {
		return nil
	}
	return p.lease.Fence(ctx, m.row)
}

// commitClaims appends an open source of this generation to the shards' rows, on the
// condition that the rows have not changed since they were read.
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
		// Another instance changed a row; the next round reads the rows again.
		return errors.Join(err, p.Refresh(ctx))
	}
	return err
}

func (p *Placer) restore(ctx context.Context, c *shardClaim, s *durableState) error {
	if err := p.machine.Restore(ctx, c.shard.Shard, s.snapshot, s.allEntries()); err != nil {
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

// durableState is the durable state of one shard. The entries are grouped by source.
type durableState struct {
	snapshot []byte
	entries  [][]sharder.Entry
}

func (s *durableState) allEntries() []sharder.Entry {
	var all []sharder.Entry
	for _, entries := range s.entries {
		all = append(all, entries...)
	}
	return all
}

// readDurableStates reads the durable states of the shards. It reads the journal of
// each generation only once.
func (p *Placer) readDurableStates(ctx context.Context, claims []*shardClaim) ([]*durableState, error) {
	states := make([]*durableState, len(claims))
	ranges := map[Owner][]journalRange{}
	for i, c := range claims {
		state, err := p.readSnapshot(ctx, c.shard)
		if err != nil {
			return nil, err
		}
		states[i] = state
		for j, s := range c.shard.Sources {
			if !s.Closed {
				s.UpTo = p.lease.Lease().Head
			}
			owner := Owner{Instance: s.Instance, Generation: s.Generation}
			ranges[owner] = append(ranges[owner], journalRange{shard: c.shard.Shard, source: s, entries: &state.entries[j]})
		}
	}
	for owner, ownerRanges := range ranges {
		if err := p.readJournal(ctx, owner, ownerRanges); err != nil {
			return nil, err
		}
	}
	return states, nil
}

func (p *Placer) readSnapshot(ctx context.Context, shard Shard) (*durableState, error) {
	state := &durableState{entries: make([][]sharder.Entry, len(shard.Sources))}
	if shard.Snapshot == "" {
		return state, nil
	}
	body, err := p.platform.Objects.Get(ctx, shard.Snapshot)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", shard.Snapshot)
	}
	state.snapshot = body
	return state, nil
}

// journalRange is a source of one shard and the slice that receives its entries.
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
