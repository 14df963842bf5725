package storer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RowKey identifies a row. The transactions of a partition run serially; a
// transaction over several partitions takes longer.
type RowKey struct {
	Table     string
	Partition string
	Name      string
}

// PartitionCount is the number of partitions over which rows are distributed by
// the hash of their names. A slow store runs about five transactions per second
// in each.
const PartitionCount = 64

// PartitionedKey returns the key of a row, with the partition set by the hash of
// the name.
func PartitionedKey(table, name string) RowKey {
	return RowKey{Table: table, Partition: PartitionName(int(xxhash.Sum64String(name) % PartitionCount)), Name: name}
}

// PartitionName returns the name of partition i, 0 <= i < PartitionCount.
func PartitionName(i int) string { return fmt.Sprintf("p%02d", i) }

// Record is a row as read from the store. Version is zero for an absent row.
type Record struct {
	RowKey
	Value   []byte
	Version int64
	// Deleted is set, in changes, on a row that was deleted at Version.
	Deleted bool `cbor:",omitempty"`
}

// AnyVersion is the Expected value of an unconditional Change.
const AnyVersion int64 = -1

// Change writes or deletes one row, on the condition that it has the expected
// version.
type Change struct {
	RowKey
	// Expected is the version that the row must have: zero if it must be absent,
	// AnyVersion for no condition.
	Expected int64
	Value    []byte
	Delete   bool
}

// Conflict is the error of a transaction with a condition that did not hold.
// Nothing was written. Current holds the current state of the rows that the
// transaction has conditions on.
type Conflict struct{ Current []Record }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Reading is a reading of the store's clock, which is steady.
type Reading struct {
	// At is the store's time at some moment from SentAt to ReceivedAt.
	At time.Time
	// SentAt and ReceivedAt are the local times of the call that had it.
	SentAt, ReceivedAt time.Time
}

// AtMost returns a store's time that is not before the given local time, which is before SentAt.
func (r Reading) AtMost(t time.Time) time.Time { return r.At.Add(t.Sub(r.SentAt)) }

// Clock is implemented by stores whose responses state the store's time.
type Clock interface {
	// LastReading returns the last reading, if there is one.
	LastReading() (Reading, bool)
}

// Range selects the rows of a partition with From <= name < To, in name order.
// An empty From or To and a zero Limit mean no bound.
type Range struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int
}

// Entries returns how many entries of MaxEntries the change takes: one for the
// write and one for its condition, if any.
func (c *Change) Entries() int {
	if c.Expected == AnyVersion {
		return 1
	}
	return 2
}

// ErrResponseLost is an ErrInDoubt of a write that got no response while the store
// responded to other calls in time.
var ErrResponseLost = fmt.Errorf("response lost: %w", ErrInDoubt)

// ErrUnreachable is an ErrUnavailable of a call that was not sent because the
// store is known to be unreachable.
var ErrUnreachable = fmt.Errorf("store unreachable: %w", ErrUnavailable)

// ErrBusy is an ErrUnavailable of a call that exceeded a rate of the store or of a
// partition. More calls would make it worse, other than with a partition that is away.
var ErrBusy = fmt.Errorf("store busy: %w", ErrUnavailable)

// ErrVersionExpired means that the store no longer retains all changes after the
// requested version.
var ErrVersionExpired = errors.New("changes after the version are no longer retained")

// ErrInvalid means that the store rejects the transaction regardless of the state
// of the rows. Nothing was written.
var ErrInvalid = errors.New("transaction rejected as invalid")

// The limits of a transaction.
const (
	// MaxEntries is the maximum number of conditions and writes.
	MaxEntries = 100
	// MaxTransactionBytes is the maximum size of names and values. It leaves room
	// for the encoding within 1 MB.
	MaxTransactionBytes = 600 << 10
)

// Rows is a transactional store of rows. Either all changes of a transaction take
// effect, or none does.
type Rows interface {
	// Transact returns the version of all written rows. Its errors are a
	// *Conflict, ErrInvalid, ErrUnavailable if nothing was or will be written,
	// and ErrInDoubt if the transaction may take effect, now or later.
	Transact(ctx context.Context, changes []Change) (int64, error)
	// List returns a consistent snapshot of rows.
	List(ctx context.Context, r Range) (Page, error)
	// Changes returns the rows of all partitions of a table that were written or
	// deleted after the version, in version order. Without such rows it waits for
	// one, at most for the given time. After ErrVersionExpired the table must be
	// listed.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// More reports whether the range has further rows after the last record.
	More bool
	// Version is the version of the store as of the read. Changes continues from
	// it.
	Version int64
}
