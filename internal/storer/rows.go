package storer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RowKey names one row of a store that keeps rows in tables. The transactions of
// one partition run one after another; one over several partitions takes longer.
type RowKey struct {
	Table     string
	Partition string
	Name      string
}

// PartitionCount is the number of partitions that rows are spread over by name. A
// store that is slow takes some five transactions a second in each.
const PartitionCount = 64

// PartitionedKey returns the key of a row in the partition that its name falls to.
func PartitionedKey(table, name string) RowKey {
	return RowKey{Table: table, Partition: PartitionName(int(xxhash.Sum64String(name) % PartitionCount)), Name: name}
}

// PartitionName returns the name of one of the PartitionCount partitions.
func PartitionName(i int) string { return fmt.Sprintf("p%02d", i) }

// Record is one row as of a read. Version is zero for an absent row.
type Record struct {
	RowKey
	Value   []byte
	Version int64
	// Deleted marks a row among changes that is gone since Version.
	Deleted bool `cbor:",omitempty"`
}

// AnyVersion is the expectation of a Change that holds whatever the row is.
const AnyVersion int64 = -1

// Change is the write of one row, provided that it has the version expected.
type Change struct {
	RowKey
	// Expected is the version that the row must have: zero for an absent row,
	// AnyVersion for no condition.
	Expected int64
	Value    []byte
	Delete   bool
}

// Conflict is the error of a transaction whose expectations did not hold.
// Nothing was written. Current has the rows that were expected.
type Conflict struct{ Current []Record }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Is makes a Conflict an ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Range asks for the rows of a table's partition with From <= name < To, in the order of
// the names; an empty bound is none.
type Range struct {
	Table     string
	Partition string
	From      string
	To        string
	Limit     int
}

// Entries is what the change counts for towards MaxEntries.
func (c *Change) Entries() int {
	if c.Expected == AnyVersion {
		return 1
	}
	return 2
}

// ErrAnswerLost is an ErrInDoubt of a write whose answer did not come although
// the store answers others in time.
var ErrAnswerLost = fmt.Errorf("answer lost: %w", ErrInDoubt)

// ErrUnreachable is an ErrUnavailable of a caller that knows no way to the store; it
// did not try.
var ErrUnreachable = fmt.Errorf("no way to the store: %w", ErrUnavailable)

// ErrVersionExpired means that the store no longer knows the changes asked for.
var ErrVersionExpired = errors.New("changes no longer known")

// ErrInvalid means that the store does not take such a transaction, whatever
// the rows are. Nothing was written.
var ErrInvalid = errors.New("not a transaction that the store takes")

// The bounds of one transaction.
const (
	// MaxEntries is the number of expectations and writes of one transaction.
	MaxEntries = 100
	// MaxTransactionBytes leaves room for the encoding within 1 MB.
	MaxTransactionBytes = 600 << 10
)

// Rows is a store of rows. All changes of a transaction take effect together,
// or none does.
type Rows interface {
	// Transact returns the version that all written rows have. Its errors are
	// a *Conflict, ErrInvalid, ErrUnavailable if nothing was written and nothing
	// will be, and ErrInDoubt if the transaction may take effect, now or later.
	Transact(ctx context.Context, changes []Change) (int64, error)
	// List returns rows as of one moment.
	List(ctx context.Context, r Range) (Page, error)
	// Changes returns the rows of a table, of any partition, that were written
	// or deleted after the version, in that order. ErrVersionExpired means that the
	// store no longer knows, and the table must be listed. While there are
	// none, the call waits for one.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Page is the answer to a read.
type Page struct {
	Records []Record
	// More says whether the range goes on after the last record.
	More bool
	// Version is that of the store when it answered; changes go on from it.
	Version int64
}
