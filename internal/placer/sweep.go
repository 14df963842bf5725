package placer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/wigeonstand/wigeonstand/internal/committer"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// sweepRows bounds the rows deleted by one transaction.
	sweepRows = 100
	// sweepObjects bounds the objects deleted in one sweep of a generation.
	sweepObjects = 200
	// snapshotList bounds one listing of snapshots.
	snapshotList = 4096
)

// sweepIfDue deletes what no shard's row refers to, on one instance at a time.
// Two sweeps at once do no harm.
func (p *Placer) sweepIfDue(ctx context.Context) error {
	p.mu.Lock()
	names := p.holders()
	due := time.Since(p.swept) >= p.sweepPeriod && rank(names, "sweep", p.lease.Lease().Instance) == 0
	if due {
		p.swept = time.Now()
	}
	p.mu.Unlock()
	if !due {
		return nil
	}
	s := &sweep{Placer: p, needed: map[Owner]int64{}, snapshots: map[string]bool{}}
	return s.run(storer.WithPriority(ctx, storer.PrioritySweep))
}

// sweep is one pass over the generations.
type sweep struct {
	*Placer
	// needed is, by generation, the lowest After of a source that refers to it.
	needed map[Owner]int64
	// snapshots holds the keys of the snapshots referred to.
	snapshots map[string]bool
}

// run reads the leases before the shards' rows: a claim made since has an After
// that is not lower than the head read. References to closed generations only
// become fewer.
func (s *sweep) run(ctx context.Context) error {
	leases, err := scanAll(ctx, s.platform.Table, leaser.KeyPrefix)
	if err != nil {
		return err
	}
	closed, err := scanAll(ctx, s.platform.Table, leaser.ClosedPrefix)
	if err != nil {
		return err
	}
	if err := s.readReferences(ctx); err != nil {
		return err
	}
	over := map[string]bool{}
	var failures []error
	for _, row := range leases {
		failures = append(failures, s.sweepLive(ctx, row))
	}
	for _, row := range closed {
		over[closedName(row)] = true
		failures = append(failures, s.sweepClosed(ctx, row))
	}
	failures = append(failures, s.sweepSnapshots(ctx, over))
	return errors.Join(failures...)
}

// closedName returns the instance and the generation of a closed generation's
// record, as they also stand in the keys of its snapshots.
func closedName(row storer.Row) string {
	return strings.TrimPrefix(row.Key, leaser.ClosedPrefix)
}

// sweepSnapshots deletes the snapshots of closed generations that no shard refers
// to. A live generation deletes its own: it alone knows which it is about to use.
func (s *sweep) sweepSnapshots(ctx context.Context, over map[string]bool) error {
	keys, err := s.platform.Objects.List(ctx, SnapshotPrefix, snapshotList)
	if err != nil {
		return err
	}
	_, err = s.deleteObjects(ctx, keys, func(key string) bool {
		return !s.snapshots[key] && over[snapshotOwner(key)]
	})
	return err
}

func (s *sweep) readReferences(ctx context.Context) error {
	rows, err := scanAll(ctx, s.platform.Table, ShardPrefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		shard, err := decodeShard(row)
		if err != nil {
			return err
		}
		s.snapshots[shard.Snapshot] = true
		for _, source := range shard.Sources {
			owner := Owner{Instance: source.Instance, Generation: source.Generation}
			if after, ok := s.needed[owner]; !ok || source.After < after {
				s.needed[owner] = source.After
			}
		}
	}
	return nil
}

// sweepLive deletes the batches of a held lease that every snapshot covers.
func (s *sweep) sweepLive(ctx context.Context, row storer.Row) error {
	lease, err := leaser.Decode(row)
	if err != nil {
		return err
	}
	owner := Owner{Instance: lease.Instance, Generation: lease.Generation}
	limit := lease.Head
	if after, ok := s.needed[owner]; ok {
		limit = min(limit, after)
	}
	_, err = s.deleteBatches(ctx, owner, committer.ObjectKey(owner.Instance, owner.Generation, limit))
	return err
}

// sweepClosed deletes the batches of a closed generation that are not needed any
// more and, once nothing refers to it, its record.
func (s *sweep) sweepClosed(ctx context.Context, row storer.Row) error {
	closed, err := leaser.DecodeClosed(row)
	if err != nil {
		return err
	}
	owner := Owner{Instance: closed.Instance, Generation: closed.Generation}
	if after, ok := s.needed[owner]; ok {
		_, err := s.deleteBatches(ctx, owner, committer.ObjectKey(owner.Instance, owner.Generation, after))
		return err
	}
	prefix := committer.GenerationPrefix(owner.Instance, owner.Generation)
	more, err := s.deleteBatches(ctx, owner, prefix+"~")
	if err != nil || more || s.hasSnapshot(row) {
		return err
	}
	return s.deleteRows(ctx, []storer.Row{row})
}

// deleteBatches deletes the generation's batches up to the key and says whether
// there may be more.
func (s *sweep) deleteBatches(ctx context.Context, owner Owner, upTo string) (bool, error) {
	prefix := committer.GenerationPrefix(owner.Instance, owner.Generation)
	rows, err := s.platform.Table.Scan(ctx, prefix, "", sweepRows)
	if err != nil {
		return false, err
	}
	rows = rowsUpTo(rows, upTo)
	if err := s.deleteRows(ctx, rows); err != nil {
		return false, err
	}
	keys, err := s.platform.Objects.List(ctx, prefix, sweepObjects)
	if err != nil {
		return false, err
	}
	deleted, err := s.deleteObjects(ctx, keys, func(key string) bool { return key <= upTo })
	return len(rows) == sweepRows || deleted == sweepObjects, err
}

// hasSnapshot says whether a shard refers to a snapshot of the closed generation;
// its record is kept until then, so that the snapshot is deleted in the end.
func (s *sweep) hasSnapshot(row storer.Row) bool {
	name := closedName(row)
	for key := range s.snapshots {
		if snapshotOwner(key) == name {
			return true
		}
	}
	return false
}

func rowsUpTo(rows []storer.Row, upTo string) []storer.Row {
	for i, row := range rows {
		if row.Key > upTo {
			return rows[:i]
		}
	}
	return rows
}

func (s *sweep) deleteRows(ctx context.Context, rows []storer.Row) error {
	if len(rows) == 0 {
		return nil
	}
	commit := storer.Commit{ID: ulid.Make().String()}
	for _, row := range rows {
		commit.Writes = append(commit.Writes, storer.Write{Key: row.Key, Delete: true})
	}
	_, err := s.platform.Table.Commit(ctx, commit)
	return err
}

func (s *sweep) deleteObjects(ctx context.Context, keys []string, stale func(string) bool) (int, error) {
	deleted := 0
	for _, key := range keys {
		if !stale(key) {
			continue
		}
		if err := s.platform.Objects.Delete(ctx, key); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// snapshotOwner returns the generation that wrote a snapshot, from its key.
func snapshotOwner(key string) string {
	parts := strings.Split(key, "/")
	if len(parts) < 4 {
		return ""
	}
	return fmt.Sprintf("%s/%s", parts[2], parts[3])
}
