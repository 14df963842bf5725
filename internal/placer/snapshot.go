package placer

import (
	"context"
	"errors"
	"fmt"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// SnapshotPrefix starts the key of every snapshot object.
	SnapshotPrefix = "snapshot/"
	// snapshotsAtOnce bounds the snapshots that are taken in one round.
	snapshotsAtOnce = 8
)

// snapshotKey returns a key that is never used again, so that a snapshot no
// row refers to can be deleted without regard to a later one.
func snapshotKey(shard int, owner Owner, sequence int64) string {
	return fmt.Sprintf("%s%04d/%s/%020d/%020d-%s",
		SnapshotPrefix, shard, owner.Instance, owner.Generation, sequence, ulid.Make())
}

// taken is a snapshot that was written but is not yet referred to.
type taken struct {
	holding  *holding
	row      Shard
	version  int64
	replaced string
	batches  int64
}

// snapshot takes the snapshots that are due. A takeover then reads, for each
// shard, one snapshot and the journal objects written since.
func (p *Placer) snapshot(ctx context.Context) error {
	due, err := p.readRows(ctx, p.due())
	if err != nil {
		return err
	}
	var all []taken
	for _, h := range due {
		t, ok, err := p.take(ctx, h)
		if err != nil {
			return err
		}
		if ok {
			all = append(all, t)
		}
	}
	if len(all) == 0 {
		return nil
	}
	if err := p.commitSnapshots(ctx, all); err != nil {
		return err
	}
	return p.deleteReplaced(ctx, all)
}

func (p *Placer) due() []*holding {
	batches := p.journal.BatchCount()
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*holding
	for _, h := range p.held {
		if h.state != serving {
			continue
		}
		if batches-h.batches >= p.snapshotBatches || h.sources > 1 {
			due = append(due, h)
		}
		if len(due) == snapshotsAtOnce {
			break
		}
	}
	return due
}

// take writes one snapshot object. It is not ok if the snapshot holds entries
// that are not durable yet.
func (p *Placer) take(ctx context.Context, o owned) (taken, bool, error) {
	batches := p.journal.BatchCount()
	shard := o.row.Shard
	body, sequence, err := p.machine.Snapshot(ctx, shard)
	if err != nil {
		return taken{}, false, eris.Wrapf(err, "snapshot of shard %d", shard)
	}
	if sequence > p.lease.Lease().Head {
		return taken{}, false, nil
	}
	self := p.self()
	last := o.row.Sources[len(o.row.Sources)-1]
	key := snapshotKey(shard, self, sequence)
	if err := p.platform.Objects.Put(ctx, key, body); err != nil {
		return taken{}, false, err
	}
	row := Shard{Shard: shard, Snapshot: key, Sources: []Source{{
		Instance:   self.Instance,
		Generation: self.Generation,
		After:      max(last.After, sequence),
	}}}
	return taken{
		holding: o.holding, row: row, version: o.version, replaced: o.row.Snapshot, batches: batches,
	}, true, nil
}

// commitSnapshots makes the shards' rows refer to the snapshots.
func (p *Placer) commitSnapshots(ctx context.Context, all []taken) error {
	var change leaser.Change
	for _, t := range all {
		key := shardKey(t.row.Shard)
		change.Conditions = append(change.Conditions, storer.Condition{Key: key, Version: t.version})
		change.Writes = append(change.Writes, storer.Write{Key: key, Value: encode(t.row)})
	}
	if err := p.lease.Commit(ctx, change); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range all {
		t.holding.sources = len(t.row.Sources)
		t.holding.batches = t.batches
	}
	return nil
}

func (p *Placer) deleteReplaced(ctx context.Context, all []taken) error {
	ctx = storer.WithPriority(ctx, storer.PrioritySweep)
	var failures []error
	for _, t := range all {
		if t.replaced != "" {
			failures = append(failures, p.platform.Objects.Delete(ctx, t.replaced))
		}
	}
	return errors.Join(failures...)
}
