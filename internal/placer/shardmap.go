package placer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// ShardMapKey is the key of the shard map's row.
const ShardMapKey = "shards/map"

// proposerCount is the number of instances that propose maps. A small number avoids
// conflicts.
const proposerCount = 3

// noOwner is the index of a shard without an owner.
const noOwner = -1

// Owner is one generation of an instance.
type Owner struct {
	Instance   string
	Generation int64
}

// ShardMap assigns each shard to an instance. An instance serves a shard only after it
// has claimed the shard's row. The shards of a live instance are reassigned only by that
// instance.
type ShardMap struct {
	// Epoch is incremented with each change.
	Epoch int64
	// CommitID is the ID of the commit that wrote the row.
	CommitID string
	Members  []Owner
	// Owners contains, for each shard, the index of its owner in Members, or -1.
	Owners []int
}

// Owner returns the owner of the shard, or the zero Owner if it has none.
func (m ShardMap) Owner(shard int) Owner {
	if shard >= len(m.Owners) || m.Owners[shard] == noOwner {
		return Owner{}
	}
	return m.Members[m.Owners[shard]]
}

// nextEpoch returns a map with the given owners and the next epoch.
func (m ShardMap) nextEpoch(owners []Owner) ShardMap {
	n := ShardMap{Epoch: m.Epoch + 1, CommitID: ulid.Make().String(), Owners: make([]int, len(owners))}
	index := map[Owner]int{{}: noOwner}
	for shard, owner := range owners {
		i, ok := index[owner]
		if !ok {
			i = len(n.Members)
			index[owner] = i
			n.Members = append(n.Members, owner)
		}
		n.Owners[shard] = i
	}
	return n
}

// owners returns the owner of each of n shards.
func (m ShardMap) owners(n int) []Owner {
	owners := make([]Owner, n)
	for shard := range owners {
		owners[shard] = m.Owner(shard)
	}
	return owners
}

func decodeMap(row storer.Row) (ShardMap, error) {
	if row.Version == 0 {
		return ShardMap{}, nil
	}
	var m ShardMap
	err := json.Unmarshal(row.Value, &m)
	return m, eris.Wrap(err, "decode shard map")
}

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "encode row"))
	}
	return body
}

// Refresh reads the shard map from the store.
func (p *Placer) Refresh(ctx context.Context) error {
	select {
	case p.refreshSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.refreshSlot }()
	started := time.Now()
	rows, err := p.platform.Table.Read(ctx, ShardMapKey)
	if err != nil {
		return err
	}
	m, err := decodeMap(rows[0])
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Epoch >= p.shardMap.Epoch {
		p.shardMap = m
		p.mapVersion = rows[0].Version
		p.mapRead = started
	}
	return nil
}

func (p *Placer) refreshIfDue(ctx context.Context) error {
	p.mu.Lock()
	due := p.latestEpoch > p.shardMap.Epoch || time.Since(p.mapRead) >= maxMapAge
	p.mu.Unlock()
	if !due {
		return nil
	}
	return p.Refresh(ctx)
}

// liveMembers returns the names of the members that may own shards: those that are live,
// not leaving, and whose lease has not expired. With stableOnly, it leaves out members
// that joined within the stabilization period. The own lease does not expire by the rows
// read: the last renewal may be later, and while the store is away, the rows of others seem
// valid for longer at times.
func (p *Placer) liveMembers(stableOnly bool) []string {
	self := p.lease.Lease().Instance
	var names []string
	for _, name := range p.leaseHolders() {
		m := p.members[name]
		if m.lease.State != leaser.Live || m.leaving {
			continue
		}
		if name != self && p.observer.Expired(name, m.row.Version) {
			continue
		}
		if stableOnly && time.Since(m.joined) < p.stabilizationPeriod {
			continue
		}
		names = append(names, name)
	}
	return names
}

// propose assigns shards that have no owner, or whose owner no longer holds its lease,
// to live instances.
func (p *Placer) propose(ctx context.Context) error {
	p.mu.Lock()
	current, version := p.shardMap, p.mapVersion
	next, changed := p.reassign()
	p.mu.Unlock()
	if !changed {
		return nil
	}
	m := current.nextEpoch(next)
	err := p.commitMap(ctx, m, version)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrInDoubt) {
		return p.Refresh(ctx)
	}
	if err != nil {
		return err
	}
	p.log.Log(eventMapChanged, "Epoch", m.Epoch)
	return p.Refresh(ctx)
}

// commitMap writes the map under the lease, on the condition that the row still has the
// given version.
func (p *Placer) commitMap(ctx context.Context, m ShardMap, version int64) error {
	return p.lease.Commit(ctx, leaser.Change{
		Conditions: []storer.Condition{{Key: ShardMapKey, Version: version}},
		Writes:     []storer.Write{{Key: ShardMapKey, Value: encode(m)}},
	})
}

// reassign returns the new owners of all shards and whether any has changed.
func (p *Placer) reassign() ([]Owner, bool) {
	if p.mapRead.IsZero() || p.lastScan.IsZero() || time.Since(p.started) < p.stabilizationPeriod {
		return nil, false
	}
	if p.drainContext != nil || rank(p.leaseHolders(), ShardMapKey, p.lease.Lease().Instance) >= proposerCount {
		return nil, false
	}
	owners := p.shardMap.owners(p.shardCount)
	stable := p.assignments.get(p.liveMembers(true))
	all := p.assignments.get(p.liveMembers(false))
	changed := false
	for shard, owner := range owners {
		if owner.Instance != "" && !p.isGenerationOver(owner) {
			continue
		}
		name := all.instanceFor(shard)
		if name != owner.Instance {
			name = stable.instanceFor(shard)
		}
		if name == "" {
			continue
		}
		owners[shard] = Owner{Instance: name, Generation: p.members[name].lease.Generation}
		changed = true
	}
	return owners, changed
}

// isGenerationOver reports whether the generation is known to no longer hold its lease.
func (p *Placer) isGenerationOver(owner Owner) bool {
	m, ok := p.members[owner.Instance]
	if !ok {
		return p.lastScan.After(p.mapRead)
	}
	if m.lease.Generation != owner.Generation {
		return m.lease.Generation > owner.Generation
	}
	return m.lease.State == leaser.Released || m.lease.State == leaser.Fenced
}
