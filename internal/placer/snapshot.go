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
	// SnapshotPrefix is the prefix of the keys of snapshot objects.
	SnapshotPrefix = "snapshot/"
	// maxSnapshotsPerRound is the maximum number of snapshots taken in one round.
	maxSnapshotsPerRound = 8
)

// snapshotKey returns a unique key, so that deleting an unreferenced snapshot can never
// delete a later one.
func snapshotKey(shard int, owner Owner, sequence int64) string {
	return fmt.Sprintf("%s%04d/%s/%020d/%020d-%s",
		SnapshotPrefix, shard, owner.Instance, owner.Generation, sequence, ulid.Make())
}

// pendingSnapshot is a snapshot that was written but is not yet referenced by a row.
type pendingSnapshot struct {
	held        *heldShard
	row         Shard
	version     int64
	previousKey string
	batchCount  int64
}

// takeSnapshots takes the snapshots that are due, so that a takeover reads, for each
// shard, one snapshot and only the journal batches committed since.
func (p *Placer) takeSnapshots(ctx context.Context) error {
	due, err := p.readOwnedRows(ctx, p.snapshotsDue())
	if err != nil {
		return err
	}
	var all []pendingSnapshot
	for _, o := range due {
		t, ok, err := p.writeSnapshot(ctx, o)
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
	return p.deletePrevious(ctx, all)
}

// snapshotsDue returns served shards with enough batches since the last snapshot, or
// with more than one source.
func (p *Placer) snapshotsDue() []*heldShard {
	batches := p.journal.BatchCount()
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*heldShard
	for _, h := range p.held {
		if h.state != serving {
			continue
		}
		if batches-h.snapshotBatchCount >= p.snapshotBatches || h.sourceCount > 1 {
			due = append(due, h)
		}
		if len(due) == maxSnapshotsPerRound {
			break
		}
	}
	return due
}

// writeSnapshot writes one snapshot object. It returns false, and writes nothing, if the
// snapshot includes entries that are not durable yet.
func (p *Placer) writeSnapshot(ctx context.Context, o ownedShard) (pendingSnapshot, bool, error) {
	batches := p.journal.BatchCount()
	shard := o.row.Shard
	body, sequence, err := p.machine.Snapshot(ctx, shard)
	if err != nil {
		return pendingSnapshot{}, false, eris.Wrapf(err, "snapshot of shard %d", shard)
	}
	if sequence > p.lease.Lease().Head {
		return pendingSnapshot{}, false, nil
	}
	self := p.self()
	last := o.row.Sources[len(o.row.Sources)-1]
	key := snapshotKey(shard, self, sequence)
	if err := p.platform.Objects.Put(ctx, key, body); err != nil {
		return pendingSnapshot{}, false, err
	}
	row := Shard{Shard: shard, Snapshot: key, Sources: []Source{{
		Instance:   self.Instance,
		Generation: self.Generation,
		After:      max(last.After, sequence),
	}}}
	return pendingSnapshot{
		held: o.held, row: row, version: o.version, previousKey: o.row.Snapshot, batchCount: batches,
	}, true, nil
}

// commitSnapshots updates the shards' rows to reference the snapshots.
func (p *Placer) commitSnapshots(ctx context.Context, all []pendingSnapshot) error {
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
		t.held.sourceCount = len(t.row.Sources)
		t.held.snapshotBatchCount = t.batchCount
	}
	return nil
}

func (p *Placer) deletePrevious(ctx context.Context, all []pendingSnapshot) error {
	ctx = storer.WithPriority(ctx, storer.PrioritySweep)
	var failures []error
	for _, t := range all {
		if t.previousKey != "" {
			failures = append(failures, p.platform.Objects.Delete(ctx, t.previousKey))
		}
	}
	return errors.Join(failures...)
}
