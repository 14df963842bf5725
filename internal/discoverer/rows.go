package discoverer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// notRead is the ReadVersion of an instance that has not read the table.
const notRead = -1

// Row is the row of a member as it was read last.
type Row struct {
	Member
	Version int64
}

// ExistsFrom returns a version of the store from which the instance has had a row at all times.
func (r *Row) ExistsFrom() int64 {
	if r.ContinuousFrom != 0 {
		return r.ContinuousFrom
	}
	return r.Version
}

// Knows reports whether the member has the other row's instance in its table whenever it relies on
// that: it does so only after a read that began after it had written its first row. The instance
// stays in its table until the row is deleted.
func (r *Row) Knows(other *Row) bool {
	return other.ExistsFrom() <= r.knowsUpTo()
}

// knowsUpTo returns a version of the store up to which the member has read the table whenever it
// relies on that.
func (r *Row) knowsUpTo() int64 {
	// A process relies on the table after it has read it with its own row, which it may have written
	// several times without knowing it.
	if isFirst := r.ReadVersion != 0 && r.Heartbeats == 1; isFirst && !r.IsContested {
		return max(r.ReadVersion, r.Version)
	}
	return r.ReadVersion
}

// isContestedFor reports whether the row is contested, or may be so still for the members that have not read
// that this was taken back, which the process that took it back knows itself.
func (m *Member) isContestedFor(self Member) bool {
	return m.IsContested || m.WasContested && m.Incarnation != self.Incarnation
}

// StatesKnowledge reports whether the member's build states what it has read, and keeps others in
// its table until their rows are deleted.
func (r *Row) StatesKnowledge() bool { return r.ReadVersion != 0 }

// Outranks reports whether the member has a higher score than the other one for the key.
func (r *Row) Outranks(key string, other *Row) bool {
	return score(key, r.Member) > score(key, other.Member)
}

// memberState is a member with the local time since which its row has not changed.
type memberState struct {
	Member
	version        int64
	unchangedSince time.Time
}

func (m *memberState) isLive(now time.Time) bool { return !now.After(m.lapsesAt()) }

// lapsesAt returns when the member has missed its heartbeats.
func (m *memberState) lapsesAt() time.Time {
	return m.unchangedSince.Add(missedHeartbeats*max(m.Interval, bookkeeperInterval) + writeDelayAllowance)
}

// continuedFrom returns the ContinuousFrom of a row of the instance that replaces this one; zero if
// the members that have read this one have no member with the same place in their orders.
func (r *Row) continuedFrom(self Member) int64 {
	if r.IsRemoved || r.Cores != self.Cores {
		return 0
	}
	return r.ExistsFrom()
}

// ContestMember marks the row of a member that this instance does not reach. It does nothing if the
// row is not as it was read last.
func (d *Discoverer) ContestMember(ctx context.Context, row Row) error {
	row.ReadVersion, row.ContinuousFrom, row.IsContested = row.knowsUpTo(), row.ExistsFrom(), true
	return d.replaceRow(ctx, row)
}

// replaceRow replaces the row of a member unless it is not as it was read last.
func (d *Discoverer) replaceRow(ctx context.Context, row Row) error {
	value, err := cbor.Marshal(row.Member)
	if err != nil {
		return eris.Wrap(err, "encode the member")
	}
	key := storer.RowKey{Table: Table, Partition: partition, Name: row.Instance}
	_, err = d.rows.Transact(ctx, []storer.Change{{RowKey: key, Expected: row.Version, Value: value}})
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// writeRow writes this instance's own row on the condition that it has the expected version; zero
// if there is none.
func (d *Discoverer) writeRow(ctx context.Context, row Member, expected, continuousFrom int64) (version int64, err error) {
	row.ContinuousFrom = continuousFrom
	value, err := cbor.Marshal(row)
	if err != nil {
		return 0, eris.Wrap(err, "encode the member")
	}
	return d.rows.Transact(ctx, []storer.Change{{RowKey: d.key(), Expected: expected, Value: value}})
}

// remove marks this instance's own row as removed.
func (d *Discoverer) remove(ctx context.Context) error {
	row := Row{Member: d.self, Version: d.version.Load()}
	row.IsRemoved = true
	value, err := cbor.Marshal(row.Member)
	if err != nil {
		return eris.Wrap(err, "encode the member")
	}
	change := storer.Change{RowKey: d.key(), Expected: row.Version, Value: value}
	_, err = d.rows.Transact(ctx, []storer.Change{change})
	var conflict *storer.Conflict
	if !errors.As(err, &conflict) {
		return err
	}
	current := d.currentRow(conflict)
	if current.Incarnation != d.self.Incarnation {
		return nil // The row is another process's, or has been deleted.
	}
	current.IsRemoved = true
	return d.replaceRow(ctx, current)
}

// currentRow returns this instance's own row, of any process, as a conflict states it; its version
// is zero if there is none.
func (d *Discoverer) currentRow(conflict *storer.Conflict) Row {
	for _, current := range conflict.Current {
		if current.Version == 0 || current.Deleted {
			continue
		}
		row := Row{Version: current.Version}
		// A row of another format is replaced, and the instance counts as new.
		if err := cbor.Unmarshal(current.Value, &row.Member); err != nil {
			row.Member = Member{}
		}
		return row
	}
	return Row{}
}

func (d *Discoverer) key() storer.RowKey {
	return storer.RowKey{Table: Table, Partition: partition, Name: d.self.Instance}
}

// replace returns the state of a member whose row was read. A row that another instance has
// contested is no heartbeat. The gap does not count towards the member's timeout.
func (m *memberState) replace(row Member, version int64, now time.Time, gap time.Duration) *memberState {
	next := &memberState{Member: row, version: version, unchangedSince: now}
	isSame := m != nil && (m.version == version || row.IsContested && m.Incarnation == row.Incarnation && m.Heartbeats == row.Heartbeats)
	if isSame {
		next.unchangedSince = m.unchangedSince.Add(gap)
	}
	return next
}

// RowRanking is like Ranking, but keeps members until their rows are deleted, so that the instances
// that have read the same version of the table agree on the order.
func (d *Discoverer) RowRanking(key string, n int) []Member {
	return d.ranking(key, n, func(*memberState, time.Time) bool { return true })
}

// Rows are the rows of the members as read last.
type Rows struct {
	// Others are the members other than this instance, without the removed ones.
	Others, Removed []Row
	// Own is this process's row. Its version is zero if there was none, or another one than there
	// is now.
	Own Row
	// ReadAt is when that read began.
	ReadAt time.Time
}

// Rows returns the rows of the members.
func (d *Discoverer) Rows() Rows {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := Rows{ReadAt: d.readAt, Others: make([]Row, 0, len(d.members))}
	for name, m := range d.members {
		if name != d.self.Instance {
			out.Others = append(out.Others, Row{Member: m.Member, Version: m.version})
		}
	}
	for name, m := range d.removed {
		if name != d.self.Instance {
			out.Removed = append(out.Removed, Row{Member: m.Member, Version: m.version})
		}
	}
	if d.own.Incarnation == d.self.Incarnation && !d.own.IsRemoved && d.own.ExistsFrom() == d.continuousFrom.Load() {
		out.Own = d.own
	}
	return out
}

// DeleteLapsed deletes the rows of members that have missed their heartbeats, so that all instances
// drop them together. Such a member has ceased to count itself as current before. The row of a
// contested member is marked as removed first. Each row is deleted by the live instance with the
// highest score for it, and by the next ones if it remains. It must follow a successful Refresh, and
// not run beside one.
func (d *Discoverer) DeleteLapsed(ctx context.Context) error {
	var errs []error
	for _, m := range d.lapsedMembers(time.Now()) {
		var err error
		if m.IsContested && !m.IsRemoved {
			m.IsRemoved = true
			err = d.replaceRow(ctx, m)
		} else {
			key := storer.RowKey{Table: Table, Partition: partition, Name: m.Instance}
			_, err = d.rows.Transact(ctx, []storer.Change{{RowKey: key, Expected: m.Version, Delete: true}})
		}
		// After a conflict, the member has returned or another instance has deleted its row.
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// lapsedMembers returns the other members that have missed their heartbeats, and the removed ones
// whose rows are to be deleted, of which this instance is the one to do so by now.
func (d *Discoverer) lapsedMembers(now time.Time) []Row {
	type deadline struct {
		Row
		at time.Time
	}
	var due []deadline
	d.mu.Lock()
	for name, m := range d.members {
		if name != d.self.Instance && !m.isLive(now) {
			due = append(due, deadline{Row{Member: m.Member, Version: m.version}, m.lapsesAt()})
		}
	}
	for name, m := range d.removed {
		if at := m.unchangedSince.Add(removedTime); name != d.self.Instance && now.After(at) {
			due = append(due, deadline{Row{Member: m.Member, Version: m.version}, at})
		}
	}
	d.mu.Unlock()
	var lapsed []Row
	for _, m := range due {
		// Other builds delete no rows.
		deleters := d.ranking(m.Instance, maxDeleters, func(s *memberState, now time.Time) bool { return s.isLive(now) && s.ReadVersion != 0 })
		rank := slices.IndexFunc(deleters, func(r Member) bool { return r.Instance == d.self.Instance })
		if rank >= 0 && !now.Before(m.at.Add(time.Duration(rank)*deleterDelay)) {
			lapsed = append(lapsed, m.Row)
		}
	}
	return lapsed
}
