// Package tracker maintains an in-memory copy of one partition of a table of the
// store. It lists the partition once and then reads only changes, so that many
// instances can follow a large table at a low cost to the store.
package tracker

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// listInterval is the mean time between full reads of the partition, which find
// changes that are missing from the change feed. With 300 instances and 3,000
// endpoints they amount to 7,500 rows per second.
const listInterval = 2 * time.Minute

// maxListGap is the time without a read up to which a full read counts as continuous: rows
// exist for longer.
const maxListGap = 2500 * time.Millisecond

// Reader is the part of storer.Rows that a Tracker uses.
type Reader interface {
	List(ctx context.Context, r storer.Range) (storer.Page, error)
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error)
}

// Fallback returns another instance's copy of the partition.
type Fallback func(ctx context.Context) (storer.Page, error)

// Tracker holds the copy. Refresh must not be called concurrently with itself; the
// other methods are safe for concurrent use.
type Tracker struct {
	rows      Reader
	fallback  Fallback
	table     string
	partition string

	mu      sync.Mutex
	records map[string]storer.Record
	// version is the version of the store that the copy reflects.
	version int64
	// readAt is when the last read from the store began that succeeded; zero if none did.
	readAt time.Time
	// nextList is the time of the next full read; zero before the first one.
	nextList time.Time
	// hasMissed is set if rows came and went without being seen, or may have.
	hasMissed bool
}

// Option sets one property of a Tracker.
type Option func(*Tracker)

// WithFallback sets the source of the first copy for when the store cannot be
// read.
func WithFallback(f Fallback) Option { return func(t *Tracker) { t.fallback = f } }

// New returns a Tracker of a partition of the table.
func New(rows Reader, table, partition string, options ...Option) *Tracker {
	t := &Tracker{rows: rows, table: table, partition: partition, records: map[string]storer.Record{}}
	for _, option := range options {
		option(t)
	}
	return t
}

// Refresh updates the copy and reports whether it changed. It waits at most the
// given time for a change.
func (t *Tracker) Refresh(ctx context.Context, wait time.Duration) (changed bool, err error) {
	start := time.Now()
	if start.Before(t.nextList) {
		page, err := t.rows.Changes(ctx, t.table, t.version, wait)
		// A store with an older version has lost rows, which need a full read.
		if err == nil && page.Version >= t.version {
			t.recordRead(start)
			return t.apply(page), nil
		}
		if err != nil && !errors.Is(err, storer.ErrVersionExpired) {
			return false, err
		}
	}
	records, version, err := t.list(ctx)
	if err == nil {
		if last := t.ReadAt(); !last.IsZero() && start.Sub(last) > maxListGap {
			t.recordMissed()
		}
		t.recordRead(start)
	}
	if err != nil && t.nextList.IsZero() && t.fallback != nil {
		page, fallbackErr := t.fallback(ctx)
		if fallbackErr != nil {
			return false, errors.Join(err, fallbackErr)
		}
		records, version, err = map[string]storer.Record{}, page.Version, nil
		for _, r := range page.Records {
			records[r.Name] = r
		}
	}
	if err != nil {
		return false, err
	}
	return t.replace(records, version), nil
}

func (t *Tracker) recordRead(start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = start
}

func (t *Tracker) recordMissed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasMissed = true
}

// TakeMissed reports whether rows came and went since its last call without being seen, or may
// have, as the history of changes was not read in full.
func (t *Tracker) TakeMissed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hasMissed := t.hasMissed
	t.hasMissed = false
	return hasMissed
}

// Version returns the version of the store that the copy reflects; zero before the first read.
func (t *Tracker) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ReadAt returns a time at which the copy was not older than the store, or zero if it has never
// been read from the store. It is the time before the last successful read, as the response may
// have been late.
func (t *Tracker) ReadAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt
}

// Snapshot returns all rows. The result is false before the first read.
func (t *Tracker) Snapshot() (storer.Page, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return storer.Page{Records: t.sorted(), Version: t.version}, !t.nextList.IsZero()
}

// Get returns the named row.
func (t *Tracker) Get(name string) (storer.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, found := t.records[name]
	return record, found
}

// Records returns all rows in name order.
func (t *Tracker) Records() []storer.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted()
}

func (t *Tracker) sorted() []storer.Record {
	return slices.SortedFunc(maps.Values(t.records), func(a, b storer.Record) int {
		return strings.Compare(a.Name, b.Name)
	})
}

func (t *Tracker) apply(page storer.Page) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range page.Records {
		// A row from a later page of a list may be newer than the change.
		if r.Partition != t.partition || r.Version <= t.records[r.Name].Version {
			continue
		}
		changed = true
		if r.Deleted {
			if _, isKnown := t.records[r.Name]; !isKnown {
				t.hasMissed = true
			}
			delete(t.records, r.Name)
			continue
		}
		t.records[r.Name] = r
	}
	t.version = page.Version
	return changed
}

func (t *Tracker) list(ctx context.Context) (records map[string]storer.Record, version int64, err error) {
	records, version = map[string]storer.Record{}, -1
	next := storer.Range{Table: t.table, Partition: t.partition}
	pages := 0
	for more := true; more; pages++ {
		page, err := t.rows.List(ctx, next)
		if err != nil {
			return nil, 0, err
		}
		if version < 0 {
			// The change feed repeats the changes since the first page.
			version = page.Version
		}
		for _, r := range page.Records {
			records[r.Name] = r
		}
		if more = page.More && len(page.Records) > 0; more {
			next.From = page.Records[len(page.Records)-1].Name + "\x00"
		}
	}
	if pages <= 1 {
		return records, version, nil
	}
	// Each page is of another moment: a later one may show the deletion of a row, and an earlier
	// one lack a row that was written before that.
	page, err := t.rows.Changes(ctx, t.table, version, 0)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range page.Records {
		switch {
		case r.Partition != t.partition || r.Version <= records[r.Name].Version:
		case r.Deleted:
			delete(records, r.Name)
		default:
			records[r.Name] = r
		}
	}
	return records, page.Version, nil
}

func (t *Tracker) replace(records map[string]storer.Record, version int64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = !maps.EqualFunc(t.records, records, func(a, b storer.Record) bool { return a.Version == b.Version })
	t.records, t.version = records, version
	// The jitter spreads the full reads of instances that start together.
	t.nextList = time.Now().Add(listInterval*3/4 + rand.N(listInterval/2))
	return changed
}
