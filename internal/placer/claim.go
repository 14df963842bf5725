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
	// claimsAtOnce bounds the shards that are replayed and claimed together.
	claimsAtOnce = 64
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

// holding is a shard that this instance has claimed and restored.
type holding struct {
	shard int
	state state
	// target is the instance that the shard is handed over to.
	target string
	// last is the journal's last sequence when the machine let go of the shard.
	last int64
	// sources is the number of sources of the shard's row.
	sources int
	// batches is the journal's count when the last snapshot was taken.
	batches int64
}

// claimed is a shard that is being claimed.
type claimed struct {
	shard   Shard
	version int64
	// own is set if an earlier claim of this generation took effect.
	own bool
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
	wanted := p.wanted()
	for len(wanted) > 0 {
		n := min(claimsAtOnce, len(wanted))
		if err := p.claimSome(ctx, wanted[:n]); err != nil {
			return err
		}
		wanted = wanted[n:]
	}
	return nil
}

func (p *Placer) wanted() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining != nil || p.fenced {
		return nil
	}
	self := p.self()
	var wanted []int
	for shard := range p.shards {
		if _, ok := p.held[shard]; !ok && p.shardMap.Owner(shard) == self {
			wanted = append(wanted, shard)
		}
	}
	return wanted
}

func (p *Placer) claimSome(ctx context.Context, shards []int) error {
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
func (p *Placer) claimable(ctx context.Context, shards []int) ([]*claimed, error) {
	keys := make([]string, len(shards))
	for i, shard := range shards {
		keys[i] = shardKey(shard)
	}
	rows, err := p.platform.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	ends := &ends{Placer: p, known: map[Owner]end{}}
	var claims []*claimed
	for i, row := range rows {
		c := &claimed{shard: Shard{Shard: shards[i]}, version: row.Version}
		if row.Version != 0 {
			if c.shard, err = decodeShard(row); err != nil {
				return nil, err
			}
		}
		free, err := c.closeSources(ctx, p.self(), ends)
		if err != nil {
			return nil, err
		}
		if free {
			claims = append(claims, c)
		}
	}
	return claims, nil
}

// closeSources says whether the shard has no owner other than this instance.
func (c *claimed) closeSources(ctx context.Context, self Owner, ends *ends) (bool, error) {
	var sources []Source
	for _, s := range c.shard.Sources {
		owner := Owner{Instance: s.Instance, Generation: s.Generation}
		if !s.Closed && owner == self {
			c.own = true
			sources = append(sources, s)
			continue
		}
		if !s.Closed {
			e, err := ends.find(ctx, owner)
			if err != nil || !e.over {
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

// ends remembers how far closed generations had committed.
type ends struct {
	*Placer
	known map[Owner]end
}

type end struct {
	over bool
	head int64
}

func (e *ends) find(ctx context.Context, owner Owner) (end, error) {
	if known, ok := e.known[owner]; ok {
		return known, nil
	}
	closed, over, err := leaser.ReadClosedGeneration(ctx, e.platform.Table, owner.Instance, owner.Generation)
	if err != nil {
		return end{}, err
	}
	if !over {
		err = e.fenceReleased(ctx, owner)
	}
	if err != nil {
		return end{}, err
	}
	found := end{over: over, head: closed.Head}
	e.known[owner] = found
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
func (p *Placer) commitClaims(ctx context.Context, claims []*claimed) error {
	lease := p.lease.Lease()
	var change leaser.Change
	for _, c := range claims {
		if c.own {
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

func (p *Placer) restore(ctx context.Context, c *claimed, r *replay) error {
	if err := p.machine.Restore(ctx, c.shard.Shard, r.snapshot, r.all()); err != nil {
		return eris.Wrapf(err, "restore shard %d", c.shard.Shard)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fenced {
		return leaser.ErrFenced
	}
	p.held[c.shard.Shard] = &holding{
		shard:   c.shard.Shard,
		sources: len(c.shard.Sources),
		batches: p.journal.BatchCount(),
	}
	p.log.Log(eventShardClaimed, "Shard", c.shard.Shard, "Sources", len(c.shard.Sources))
	return nil
}

// replay is the durable state of one shard; entries are kept by source.
type replay struct {
	snapshot []byte
	entries  [][]sharder.Entry
}

func (r *replay) all() []sharder.Entry {
	var all []sharder.Entry
	for _, entries := range r.entries {
		all = append(all, entries...)
	}
	return all
}

// replay reads the durable states of the shards, each generation's journal once.
func (p *Placer) replay(ctx context.Context, claims []*claimed) ([]*replay, error) {
	replays := make([]*replay, len(claims))
	parts := map[Owner][]part{}
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
			parts[owner] = append(parts[owner], part{shard: c.shard.Shard, source: s, into: &r.entries[j]})
		}
	}
	for owner, of := range parts {
		if err := p.readParts(ctx, owner, of); err != nil {
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

// part is one shard's interest in a generation's journal.
type part struct {
	shard  int
	source Source
	into   *[]sharder.Entry
}

func (p *Placer) readParts(ctx context.Context, owner Owner, parts []part) error {
	whole := committer.Source{
		Instance:   owner.Instance,
		Generation: owner.Generation,
		After:      parts[0].source.After,
		UpTo:       parts[0].source.UpTo,
	}
	byShard := map[int][]part{}
	for _, part := range parts {
		whole.After = min(whole.After, part.source.After)
		whole.UpTo = max(whole.UpTo, part.source.UpTo)
		byShard[part.shard] = append(byShard[part.shard], part)
	}
	wanted := func(shard int) bool { return len(byShard[shard]) > 0 }
	visit := func(sequence int64, entry sharder.Entry) error {
		for _, part := range byShard[entry.Shard] {
			if sequence > part.source.After && sequence <= part.source.UpTo {
				*part.into = append(*part.into, entry)
			}
		}
		return nil
	}
	store := committer.Store{Table: p.platform.Table, Objects: p.platform.Objects}
	return committer.Read(ctx, store, whole, wanted, visit)
}
