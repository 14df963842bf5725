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

// proposers is the number of instances that propose maps, so that few conflict.
const proposers = 3

// nobody is the index of a shard without an owner.
const nobody = -1

// Owner is one generation of an instance.
type Owner struct {
	Instance   string
	Generation int64
}

// ShardMap says which instance is to serve each shard. An instance serves a shard only
// after it has claimed the shard's own row. A shard of a live instance is given
// away by that instance alone.
type ShardMap struct {
	// Epoch grows by one with each change.
	Epoch int64
	// CommitID is the id of the commit that wrote the row.
	CommitID string
	Members  []Owner
	// Owners is the index in Members of each shard's owner, -1 for none.
	Owners []int
}

// Owner returns the owner of the shard; it is zero for none.
func (m ShardMap) Owner(shard int) Owner {
	if shard >= len(m.Owners) || m.Owners[shard] == nobody {
		return Owner{}
	}
	return m.Members[m.Owners[shard]]
}

// next returns a map of the next epoch with the owners given.
func (m ShardMap) next(owners []Owner) ShardMap {
	n := ShardMap{Epoch: m.Epoch + 1, CommitID: ulid.Make().String(), Owners: make([]int, len(owners))}
	index := map[Owner]int{{}: nobody}
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
		panic(eris.Wrap(err, "encode a row of the placer"))
	}
	return body
}

// Refresh reads the shard map anew.
func (p *Placer) Refresh(ctx context.Context) error {
	select {
	case p.loading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.loading }()
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
		p.version = rows[0].Version
		p.loaded = started
	}
	return nil
}

func (p *Placer) loadIfDue(ctx context.Context) error {
	p.mu.Lock()
	due := p.heard > p.shardMap.Epoch || time.Since(p.loaded) >= mapAge
	p.mu.Unlock()
	if !due {
		return nil
	}
	return p.Refresh(ctx)
}

// live returns the names of the members that may own shards. If settled is
// set, those seen for less than the settling time or now suspect are left out.
func (p *Placer) live(settled bool) []string {
	var names []string
	for _, name := range p.holders() {
		m := p.members[name]
		if m.lease.State != leaser.Live || m.leaving {
			continue
		}
		if p.observer.Expired(name, m.row.Version) {
			continue
		}
		if settled && time.Since(m.since) < p.settle {
			continue
		}
		names = append(names, name)
	}
	return names
}

// propose gives the shards that have no owner, or one whose generation is over,
// to live instances.
func (p *Placer) propose(ctx context.Context) error {
	p.mu.Lock()
	current, version := p.shardMap, p.version
	next, changed := p.reassign()
	p.mu.Unlock()
	if !changed {
		return nil
	}
	m := current.next(next)
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

// commitMap writes the map if the row still has the version, under the lease.
func (p *Placer) commitMap(ctx context.Context, m ShardMap, version int64) error {
	return p.lease.Commit(ctx, leaser.Change{
		Conditions: []storer.Condition{{Key: ShardMapKey, Version: version}},
		Writes:     []storer.Write{{Key: ShardMapKey, Value: encode(m)}},
	})
}

// reassign returns the owners that the map ought to have and whether it differs.
func (p *Placer) reassign() ([]Owner, bool) {
	if p.loaded.IsZero() || p.scanned.IsZero() || time.Since(p.started) < p.settle {
		return nil, false
	}
	if p.draining != nil || rank(p.holders(), ShardMapKey, p.lease.Lease().Instance) >= proposers {
		return nil, false
	}
	owners := p.shardMap.owners(p.shards)
	settled := p.rings.of(p.live(true))
	all := p.rings.of(p.live(false))
	changed := false
	for shard, owner := range owners {
		if owner.Instance != "" && !p.over(owner) {
			continue
		}
		name := all.place(shard)
		if name != owner.Instance {
			name = settled.place(shard)
		}
		if name == "" {
			continue
		}
		owners[shard] = Owner{Instance: name, Generation: p.members[name].lease.Generation}
		changed = true
	}
	return owners, changed
}

// over says whether the generation is known to hold no lease any more.
func (p *Placer) over(owner Owner) bool {
	m, ok := p.members[owner.Instance]
	if !ok {
		return p.scanned.After(p.loaded)
	}
	if m.lease.Generation != owner.Generation {
		return m.lease.Generation > owner.Generation
	}
	return m.lease.State == leaser.Released || m.lease.State == leaser.Fenced
}
