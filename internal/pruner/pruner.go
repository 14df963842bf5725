// Package pruner owns the removal of rows that nobody needs any more: those of
// turns whose time of retention is over, and those of programs that have long
// ended. Whoever wrote a turn's rows removes them; what instances left that ended
// before is found by a slow read of all partitions. It does not own what rows mean.
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
	// keepFactor and keepMargin say for how long a turn's rows are kept: the
	// first in times of retention, the second beyond one. A turn refers to rows
	// that are half a time of retention older, by clocks that may differ.
	keepFactor = 4
	keepMargin = 10 * time.Minute
	// DefaultRetention is that of routes that state none.
	DefaultRetention = 10 * time.Minute

	// pruneInterval, pruneTransactions and pruneRows bound the removals: 200 rows
	// a second, in 4 of the store's 800 transactions.
	pruneInterval     = time.Second
	pruneTransactions = 4
	pruneRows         = 50
	// retryAfter is the time after which a removal that failed is made again.
	retryAfter = 30 * time.Second
	// maxPending bounds the rows kept in mind, some 100 bytes each; what is above
	// it is left to the slow read.
	maxPending = 100_000

	// sweepInterval is the time between two pages of the slow read, of 1 MB at
	// most: 17 KB a second.
	sweepInterval = time.Minute
	// sweepLimit is the number of rows of a page.
	sweepLimit = 100
	// maxMarks keeps the store's versions of a day and some.
	maxMarks = 1500
)

var (
	eventLeft = logger.Define(5060, "RowsLeft", log.WarnLevel,
		"more rows wait for their removal than are kept in mind; the slow read finds them",
		"None; if it goes on, look at why removals fail (5061).")
	eventNotPruned = logger.Define(5061, "RowsNotPruned", log.WarnLevel,
		"rows that nobody needs could not be removed; they are tried again", "Look at the store if it goes on.")
	eventSwept = logger.Define(5062, "RowsSwept", log.InfoLevel,
		"rows that an ended instance had left were removed", "None.")
)

// RowRetention returns for how long the rows of a turn are kept.
func RowRetention(retention time.Duration) time.Duration {
	if retention <= 0 {
		retention = DefaultRetention
	}
	return max(keepFactor*retention, retention+keepMargin)
}

// Table is one table of the slow read.
type Table struct {
	Name string
	// MaxAge returns how old rows are that are removed. It counts from a row's
	// last write.
	MaxAge func() time.Duration
}

// Pruner removes rows. It is safe for concurrent use.
type Pruner struct {
	rows   storer.Rows
	tables []Table
	log    *logger.Logger

	mu      sync.Mutex
	pending pending
	left    int

	// The state of the slow read, which is Run's own.
	marks []mark
	place place
}

// mark says which version the store had at a time.
type mark struct {
	at      time.Time
	version int64
}

// place is where the slow read goes on.
type place struct {
	table     int
	partition string
	from      string
}

// New returns a Pruner that also removes what was left in the tables.
func New(rows storer.Rows, l *logger.Logger, tables ...Table) *Pruner {
	return &Pruner{rows: rows, log: l, tables: tables}
}

// Schedule has the rows removed after the time.
func (p *Pruner) Schedule(keys []storer.RowKey, after time.Duration) {
	at := time.Now().Add(after)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		if len(p.pending) >= maxPending {
			p.left++
			continue
		}
		heap.Push(&p.pending, removal{key: key, at: at})
	}
}

// Run removes rows until ctx ends.
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
	left := p.left
	p.left = 0
	p.mu.Unlock()
	if left > 0 {
		p.log.Log(eventLeft, "Rows", left)
	}
	for range pruneTransactions {
		keys := p.due()
		if len(keys) == 0 {
			return
		}
		changes := make([]storer.Change, 0, len(keys))
		for _, key := range keys {
			changes = append(changes, storer.Change{RowKey: key, Expected: storer.AnyVersion, Delete: true})
		}
		if _, err := p.rows.Transact(ctx, changes); err != nil {
			p.Schedule(keys, retryAfter)
			if ctx.Err() == nil {
				p.log.Log(eventNotPruned, "Rows", len(keys), "Cause", err)
			}
			return
		}
	}
}

// due takes the rows of one partition that are due.
func (p *Pruner) due() []storer.RowKey {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []storer.RowKey
	var others []removal
	for len(p.pending) > 0 && !p.pending[0].at.After(now) && len(keys) < pruneRows && len(others) < storer.PartitionCount*pruneRows {
		r := heap.Pop(&p.pending).(removal)
		if len(keys) > 0 && r.key.Partition != keys[0].Partition {
			others = append(others, r)
			continue
		}
		keys = append(keys, r.key)
	}
	for _, r := range others {
		heap.Push(&p.pending, r)
	}
	return keys
}

// sweep reads one page and removes the rows in it that were not written for
// long. How old a row is follows from its version: the store's version at a time
// is known from an earlier page.
func (p *Pruner) sweep(ctx context.Context) {
	if len(p.tables) == 0 {
		return
	}
	if p.place.partition == "" {
		p.place = place{table: rand.IntN(len(p.tables)), partition: storer.PartitionName(rand.IntN(storer.PartitionCount))}
	}
	table := p.tables[p.place.table]
	page, err := p.rows.List(ctx, storer.Range{
		Table: table.Name, Partition: p.place.partition, From: p.place.from, Limit: sweepLimit,
	})
	if err != nil {
		return // The next turn reads the page; the store's state is logged elsewhere.
	}
	now := time.Now()
	p.marks = append(p.marks, mark{at: now, version: page.Version})
	p.marks = p.marks[max(0, len(p.marks)-maxMarks):]
	if page.More && len(page.Records) > 0 {
		p.place.from = page.Records[len(page.Records)-1].Name + "\x00"
	} else {
		p.place = place{}
	}
	p.remove(ctx, table.Name, p.old(page.Records, now.Add(-table.MaxAge())))
}

// old returns the records that were written last before the time.
func (p *Pruner) old(records []storer.Record, before time.Time) []storer.Record {
	version := int64(-1)
	for _, m := range p.marks {
		if m.at.After(before) {
			break
		}
		version = m.version
	}
	var old []storer.Record
	for _, r := range records {
		if r.Version <= version {
			old = append(old, r)
		}
	}
	return old
}

// remove removes rows unless they were written meanwhile.
func (p *Pruner) remove(ctx context.Context, table string, records []storer.Record) {
	for len(records) > 0 {
		batch := records[:min(len(records), pruneRows)]
		records = records[len(batch):]
		changes := make([]storer.Change, 0, len(batch))
		for _, r := range batch {
			changes = append(changes, storer.Change{RowKey: r.RowKey, Expected: r.Version, Delete: true})
		}
		if _, err := p.rows.Transact(ctx, changes); err != nil {
			if ctx.Err() == nil {
				p.log.Log(eventNotPruned, "Table", table, "Rows", len(batch), "Cause", err)
			}
			return
		}
		p.log.Log(eventSwept, "Table", table, "Rows", len(batch))
	}
}

// removal is a row that is due at a time.
type removal struct {
	key storer.RowKey
	at  time.Time
}

// pending is a heap of removals, the next one first.
type pending []removal

// Len implements heap.Interface.
func (p pending) Len() int { return len(p) }

// Less implements heap.Interface.
func (p pending) Less(i, j int) bool { return p[i].at.Before(p[j].at) }

// Swap implements heap.Interface.
func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push implements heap.Interface.
func (p *pending) Push(x any) { *p = append(*p, x.(removal)) }

// Pop implements heap.Interface.
func (p *pending) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}
