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
	// rowsPerDelete is the maximum number of rows deleted by one transaction.
	rowsPerDelete = 100
	// objectsPerList is the maximum length of a list of a generation's objects.
	objectsPerList = 200
	// snapshotsPerList is the maximum length of a list of snapshots.
	snapshotsPerList = 4096
	// leaseRowRetention is the time for which the lease row of a departed instance is
	// kept.
	leaseRowRetention = 10 * time.Minute
)

// runSweeps periodically deletes data that no shard's row references, until ctx is done.
// Each instance sweeps its own generation and a part of the closed ones.
func (p *Placer) runSweeps(ctx context.Context) {
	ctx = storer.WithPriority(ctx, storer.PrioritySweep)
	for sleep(ctx, p.sweepPeriod) {
		s := &sweep{Placer: p, neededAfter: map[Owner]int64{}, snapshots: map[string]bool{}}
		if err := p.withStepTimeout(ctx, s.run); err != nil && ctx.Err() == nil {
			p.log.Log(eventStepFailed, "Step", "Sweep", "Cause", err)
		}
	}
}

// isResponsible reports whether this instance sweeps the subject. Concurrent sweeps of
// the same subject by two instances are harmless.
func (s *sweep) isResponsible(subject string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rank(s.leaseHolders(), subject, s.lease.Lease().Instance) == 0
}

// sweep is the state of one sweep.
type sweep struct {
	*Placer
	// neededAfter maps each generation to the lowest After of the sources that
	// reference it.
	neededAfter map[Owner]int64
	// snapshots contains the keys of the snapshots that shards' rows reference.
	snapshots map[string]bool
}

// run performs the sweep. It reads the head of this generation before the shards' rows,
// so that claims made in between have an After that is not lower. The references to
// closed generations can only decrease.
func (s *sweep) run(ctx context.Context) error {
	lease := s.lease.Lease()
	closed, err := scanAll(ctx, s.platform.Table, leaser.ClosedGenerationPrefix)
	if err != nil {
		return err
	}
	if err := s.readReferences(ctx); err != nil {
		return err
	}
	failures := []error{s.sweepOwn(ctx, lease)}
	closedNames := map[string]bool{}
	for _, row := range closed {
		closedNames[generationName(row)] = true
		if s.isResponsible(generationName(row)) {
			failures = append(failures, s.sweepClosed(ctx, row))
		}
	}
	if s.isResponsible(SnapshotPrefix) {
		failures = append(failures, s.sweepSnapshots(ctx, closedNames), s.deleteLeaseRows(ctx, closedNames))
	}
	return errors.Join(failures...)
}

// deleteLeaseRows deletes the lease rows of departed instances of which no data remains.
// If such an instance starts again, its generation is still greater than all earlier
// ones.
func (s *sweep) deleteLeaseRows(ctx context.Context, closedNames map[string]bool) error {
	referenced := map[string]bool{}
	for name := range closedNames {
		instance, _, _ := strings.Cut(name, "/")
		referenced[instance] = true
	}
	for owner := range s.neededAfter {
		referenced[owner.Instance] = true
	}
	var failures []error
	for _, m := range s.departedMembers() {
		switch {
		case m.lease.State == leaser.Released && m.lease.Generation != 0:
			// The batches can be deleted only after the generation is closed.
			failures = append(failures, s.lease.Fence(ctx, m.row))
		case !referenced[m.lease.Instance]:
			failures = append(failures, s.deleteLeaseRow(ctx, m.row))
		}
	}
	return errors.Join(failures...)
}

// departedMembers returns the members that have held no lease for the retention period
// and that no shard is assigned to.
func (s *sweep) departedMembers() []member {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := map[string]bool{}
	for _, owner := range s.shardMap.Members {
		owners[owner.Instance] = true
	}
	var departed []member
	for name, m := range s.members {
		held := m.lease.State == leaser.Live || m.lease.State == leaser.Leaving
		if !held && !owners[name] && time.Since(m.rowChanged) > leaseRowRetention {
			departed = append(departed, *m)
		}
	}
	return departed
}

func (s *sweep) deleteLeaseRow(ctx context.Context, row storer.Row) error {
	_, err := s.platform.Table.Commit(ctx, storer.Commit{
		ID:         ulid.Make().String(),
		Conditions: []storer.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []storer.Write{{Key: row.Key, Delete: true}},
	})
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// generationName returns the "instance/generation" of a closed generation's record, in
// the form that snapshotGeneration returns.
func generationName(row storer.Row) string {
	return strings.TrimPrefix(row.Key, leaser.ClosedGenerationPrefix)
}

// sweepSnapshots deletes the snapshots of closed generations that no shard references. A
// live generation deletes its own snapshots, because only it knows which of them it is
// about to commit.
func (s *sweep) sweepSnapshots(ctx context.Context, closedNames map[string]bool) error {
	keys, err := s.platform.Objects.List(ctx, SnapshotPrefix, snapshotsPerList)
	if err != nil {
		return err
	}
	_, err = s.deleteObjects(ctx, keys, func(key string) bool {
		return !s.snapshots[key] && closedNames[snapshotGeneration(key)]
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
			if after, ok := s.neededAfter[owner]; !ok || source.After < after {
				s.neededAfter[owner] = source.After
			}
		}
	}
	return nil
}

// sweepOwn deletes the batches of this generation that no shard needs.
func (s *sweep) sweepOwn(ctx context.Context, lease leaser.Lease) error {
	owner := Owner{Instance: lease.Instance, Generation: lease.Generation}
	limit := lease.Head
	if after, ok := s.neededAfter[owner]; ok {
		limit = min(limit, after)
	}
	return s.deleteBatches(ctx, owner, committer.BatchKey(owner.Instance, owner.Generation, limit))
}

// sweepClosed deletes the batches of a closed generation that no shard needs and, once
// nothing references the generation, its record.
func (s *sweep) sweepClosed(ctx context.Context, row storer.Row) error {
	closed, err := leaser.DecodeClosedGeneration(row)
	if err != nil {
		return err
	}
	owner := Owner{Instance: closed.Instance, Generation: closed.Generation}
	if after, ok := s.neededAfter[owner]; ok {
		return s.deleteBatches(ctx, owner, committer.BatchKey(owner.Instance, owner.Generation, after))
	}
	prefix := committer.GenerationPrefix(owner.Instance, owner.Generation)
	err = s.deleteBatches(ctx, owner, prefix+"~")
	if err != nil || s.isSnapshotReferenced(row) {
		return err
	}
	return s.deleteRows(ctx, []storer.Row{row})
}

// deleteBatches deletes the generation's batches up to the key.
func (s *sweep) deleteBatches(ctx context.Context, owner Owner, upTo string) error {
	prefix := committer.GenerationPrefix(owner.Instance, owner.Generation)
	for more := true; more; {
		rows, err := s.platform.Table.Scan(ctx, prefix, "", rowsPerDelete)
		if err != nil {
			return err
		}
		rows = rowsUpTo(rows, upTo)
		if err := s.deleteRows(ctx, rows); err != nil {
			return err
		}
		more = len(rows) == rowsPerDelete
	}
	for more := true; more; {
		keys, err := s.platform.Objects.List(ctx, prefix, objectsPerList)
		if err != nil {
			return err
		}
		deleted, err := s.deleteObjects(ctx, keys, func(key string) bool { return key <= upTo })
		if err != nil {
			return err
		}
		more = deleted == objectsPerList
	}
	return nil
}

// isSnapshotReferenced reports whether a shard references a snapshot of the closed
// generation. The record is kept for that time, because sweepSnapshots deletes only the
// snapshots of generations that have a record.
func (s *sweep) isSnapshotReferenced(row storer.Row) bool {
	name := generationName(row)
	for key := range s.snapshots {
		if snapshotGeneration(key) == name {
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

func (s *sweep) deleteObjects(ctx context.Context, keys []string, isStale func(string) bool) (int, error) {
	deleted := 0
	for _, key := range keys {
		if !isStale(key) {
			continue
		}
		if err := s.platform.Objects.Delete(ctx, key); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// snapshotGeneration returns the "instance/generation" in the key of a snapshot.
func snapshotGeneration(key string) string {
	parts := strings.Split(key, "/")
	if len(parts) < 4 {
		return ""
	}
	return fmt.Sprintf("%s/%s", parts[2], parts[3])
}
