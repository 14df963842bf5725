// Package pruner deletes expired rows from the store: those of turns past their
// retention, and those of programs that ended long ago. An instance schedules the
// deletion of the rows that it wrote itself. Rows orphaned by instances that have
// stopped, and the rows of programs, are found by a slow sweep over all partitions.
package pruner

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// A turn's rows are kept for retentionFactor times the retention, but at least
	// for the retention plus retentionMargin. This exceeds the retention because a
	// later turn may refer to rows up to half the retention older than itself, and
	// because clocks of instances may differ.
	retentionFactor = 4
	retentionMargin = 10 * time.Minute
	// DefaultRetention applies to routes without a retention of their own.
	DefaultRetention = 10 * time.Minute

	// These limit scheduled deletions to 200 rows per second, in 4 of the store's
	// 800 transactions per second.
	pruneInterval        = time.Second
	transactionsPerPrune = 4
	rowsPerTransaction   = 50
	// retryDelay is the time until a failed deletion is attempted again.
	retryDelay = 30 * time.Second
	// maxScheduled limits the rows scheduled for deletion, at about 100 bytes of
	// memory each; rows beyond it are left to the sweep.
	maxScheduled = 100_000

	// sweepInterval is the time between two pages of the sweep. A page has at most
	// 1 MB, so that the sweep reads at most 17 KB per second.
	sweepInterval = time.Minute
	// rowsPerPage is the maximum number of rows in a page of the sweep.
	rowsPerPage = 100
	// maxVersionSamples keeps samples for slightly more than a day, at one a minute.
	maxVersionSamples = 1500
)

var (
	eventRowsLeft = logger.Define(5060, "RowsLeft", log.WarnLevel,
		"too many rows are scheduled for deletion; the excess is left to the sweep",
		"None; if it persists, find out why deletions fail (5061).")
	eventRowsNotPruned = logger.Define(5061, "RowsNotPruned", log.WarnLevel,
		"deletion of expired rows failed; it is retried", "Check the store if it persists.")
	eventRowsSwept = logger.Define(5062, "RowsSwept", log.InfoLevel,
		"the sweep deleted rows that exceeded their maximum age", "None.")
)

// RowRetention returns how long the rows of a turn are kept, given the retention of
// its route. Zero stands for DefaultRetention.
func RowRetention(retention time.Duration) time.Duration {
	if retention <= 0 {
		retention = DefaultRetention
	}
	return max(retentionFactor*retention, retention+retentionMargin)
}

// Table is a table that the sweep covers.
type Table struct {
	Name string
	// MaxAge returns the age, counted from a row's last write, after which the
	// sweep deletes the row.
	MaxAge func() time.Duration
}

// Pruner deletes expired rows. It is safe for concurrent use.
type Pruner struct {
	rows   storer.Rows
	tables []Table
	log    *logger.Logger

	mu        sync.Mutex
	scheduled removalHeap
	overflow  int

	// The state of the sweep, which only Run accesses.
	samples []versionSample
	cursor  cursor
}

// versionSample is the store's version at a point in time.
type versionSample struct {
	at      time.Time
	version int64
}

// cursor is the start of the sweep's next page. An empty partition makes the sweep
// choose a random partition of a random table.
type cursor struct {
	table     int
	partition string
	from      string
}

// New returns a Pruner that also sweeps the tables for rows past their maximum age.
func New(rows storer.Rows, l *logger.Logger, tables ...Table) *Pruner {
	return &Pruner{rows: rows, log: l, tables: tables}
}

// Schedule schedules the deletion of the rows after the given time. Beyond the limit
// of scheduled rows, they are left to the sweep.
func (p *Pruner) Schedule(keys []storer.RowKey, after time.Duration) {
	at := time.Now().Add(after)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		if len(p.scheduled) >= maxScheduled {
			p.overflow++
			continue
		}
		heap.Push(&p.scheduled, removal{key: key, dueAt: at})
	}
}

// Run deletes expired rows until ctx is canceled.
func (p *Pruner) Run(ctx context.Context) {
	prune, sweep := time.NewTicker(pruneInterval), time.NewTicker(sweepInterval)
	defer prune.Stop()
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-prune.C:
			p.prune(ctx)
		case <-sweep.C:
			p.sweep(ctx)
		}
	}
}

func (p *Pruner) prune(ctx context.Context) {
	p.mu.Lock()
	overflow := p.overflow
	p.overflow = 0
	p.mu.Unlock()
	if overflow > 0 {
		p.log.Log(eventRowsLeft, "Rows", overflow)
	}
	for range transactionsPerPrune {
		keys := p.dequeueDue()
		if len(keys) == 0 {
			return
		}
		changes := make([]storer.Change, 0, len(keys))
		for _, key := range keys {
			changes = append(changes, storer.Change{RowKey: key, Expected: storer.AnyVersion, Delete: true})
		}
		if _, err := p.rows.Transact(ctx, changes); err != nil {
			p.Schedule(keys, retryDelay)
			if ctx.Err() == nil {
				p.log.Log(eventRowsNotPruned, "Rows", len(keys), "Cause", err)
			}
			return
		}
	}
}

// dequeueDue removes due rows of a single partition from the schedule and returns
// their keys.
func (p *Pruner) dequeueDue() []storer.RowKey {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []storer.RowKey
	var others []removal
	for len(p.scheduled) > 0 && !p.scheduled[0].dueAt.After(now) && len(keys) < rowsPerTransaction && len(others) < storer.PartitionCount*rowsPerTransaction {
		r := heap.Pop(&p.scheduled).(removal)
		if len(keys) > 0 && r.key.Partition != keys[0].Partition {
			others = append(others, r)
			continue
		}
		keys = append(keys, r.key)
	}
	for _, r := range others {
		heap.Push(&p.scheduled, r)
	}
	return keys
}

// sweep reads one page and deletes the rows in it that exceed their table's maximum
// age. A row's age is derived from its version: each page read gives a sample of the
// store's version at that time.
func (p *Pruner) sweep(ctx context.Context) {
	if len(p.tables) == 0 {
		return
	}
	if p.cursor.partition == "" {
		p.cursor = cursor{table: rand.IntN(len(p.tables)), partition: storer.PartitionName(rand.IntN(storer.PartitionCount))}
	}
	table := p.tables[p.cursor.table]
	page, err := p.rows.List(ctx, storer.Range{
		Table: table.Name, Partition: p.cursor.partition, From: p.cursor.from, Limit: rowsPerPage,
	})
	if err != nil {
		return // The next sweep reads the page again; other code logs the store's state.
	}
	now := time.Now()
	p.samples = append(p.samples, versionSample{at: now, version: page.Version})
	p.samples = p.samples[max(0, len(p.samples)-maxVersionSamples):]
	if page.More && len(page.Records) > 0 {
		p.cursor.from = page.Records[len(page.Records)-1].Name + "\x00"
	} else {
		p.cursor = cursor{}
	}
	p.deleteUnchanged(ctx, table.Name, p.lastWrittenBefore(page.Records, now.Add(-table.MaxAge())))
}

// lastWrittenBefore returns the records whose last write is known to precede the
// time.
func (p *Pruner) lastWrittenBefore(records []storer.Record, before time.Time) []storer.Record {
	version := int64(-1)
	for _, s := range p.samples {
		if s.at.After(before) {
			break
		}
		version = s.version
	}
	var matching []storer.Record
	for _, r := range records {
		if r.Version <= version {
			matching = append(matching, r)
		}
	}
	return matching
}

// deleteUnchanged deletes the rows, on condition that they have not been written
// since they were read.
func (p *Pruner) deleteUnchanged(ctx context.Context, table string, records []storer.Record) {
	for len(records) > 0 {
		batch := records[:min(len(records), rowsPerTransaction)]
		records = records[len(batch):]
		changes := make([]storer.Change, 0, len(batch))
		for _, r := range batch {
			changes = append(changes, storer.Change{RowKey: r.RowKey, Expected: r.Version, Delete: true})
		}
		if _, err := p.rows.Transact(ctx, changes); err != nil {
			if ctx.Err() == nil {
				p.log.Log(eventRowsNotPruned, "Table", table, "Rows", len(batch), "Cause", err)
			}
			return
		}
		p.log.Log(eventRowsSwept, "Table", table, "Rows", len(batch))
	}
}

// removal is the scheduled deletion of a row.
type removal struct {
	key   storer.RowKey
	dueAt time.Time
}

// removalHeap is a min-heap of removals by due time.
type removalHeap []removal

// Len implements heap.Interface.
func (p removalHeap) Len() int { return len(p) }

// Less implements heap.Interface.
func (p removalHeap) Less(i, j int) bool { return p[i].dueAt.Before(p[j].dueAt) }

// Swap implements heap.Interface.
func (p removalHeap) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *removalHeap) Push(x any) { *p = append(*p, x.(removal)) }

// Pop implements heap.Interface.
func (p *removalHeap) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}
