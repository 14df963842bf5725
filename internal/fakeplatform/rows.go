package fakeplatform

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// maxKeyBytes limits each part of a key.
const maxKeyBytes = 200

// RowFaults sets how a Rows fails from now on.
type RowFaults struct {
	// Outage refuses every call.
	Outage bool
	// Silent never answers; calls end with their context.
	Silent bool
	// Delay is added to every answer.
	Delay time.Duration
	// Service is the time for which a transaction occupies each of its
	// partitions; others wait for their turn.
	Service time.Duration
	// LoseAnswers is the share of transactions, 0 to 1, that take effect and are
	// not answered.
	LoseAnswers float64
	// LandLate is how long after its lost answer a transaction takes effect, if
	// its expectations still hold then.
	LandLate time.Duration
	// Down reports whether a partition is away; transactions with rows of it are
	// refused. Nil means that all are there.
	Down func(partition string) bool
	// DownSilently leaves those transactions without an answer instead.
	DownSilently bool
	// Refused are callers that are turned away while others are served.
	Refused map[string]bool
	// Unanswered are callers that get no answer while others are served.
	Unanswered map[string]bool
}

// RowCounts says how many calls a Rows has seen.
type RowCounts struct {
	Transactions int
	Changes      int
	Conflicts    int
	Lists        int
	Feeds        int
	Lost         int
	Refused      int
}

// Rows is an in-memory stand-in for a store of rows. It starts a goroutine only
// for a transaction that lands late, and takes its time from the runtime, so
// that it may be used inside a testing/synctest bubble.
type Rows struct {
	mu      sync.Mutex
	rows    map[storer.RowKey]storer.Record
	version int64
	faults  RowFaults
	counts  RowCounts
	random  *rand.Rand
	// history has every write and deletion after the version forgotten.
	history   []storer.Record
	forgotten int64
	// changed is closed by the next write.
	changed chan struct{}
	// busy is until when each partition is occupied.
	busy map[string]time.Time
}

// NewRows returns an empty Rows whose faults are drawn from the seed.
func NewRows(seed uint64) *Rows {
	return &Rows{rows: map[storer.RowKey]storer.Record{}, busy: map[string]time.Time{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, streamSeed))}
}

// SetFaults sets the faults.
func (r *Rows) SetFaults(faults RowFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Counts returns the counts so far.
func (r *Rows) Counts() RowCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Put writes a row, as the platform's operator and endpoints do.
func (r *Rows) Put(key storer.RowKey, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.set(storer.Record{RowKey: key, Value: value, Version: r.version})
}

// Remove removes a row.
func (r *Rows) Remove(key storer.RowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.set(storer.Record{RowKey: key, Version: r.version, Deleted: true})
}

// Forget drops the history of changes.
func (r *Rows) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history, r.forgotten = nil, r.version
}

// set writes or deletes a row.
func (r *Rows) set(record storer.Record) {
	r.history = append(r.history, record)
	close(r.changed)
	r.changed = make(chan struct{})
	if record.Deleted {
		delete(r.rows, record.RowKey)
		return
	}
	r.rows[record.RowKey] = record
}

// For returns the store as the caller sees it.
func (r *Rows) For(caller string) storer.Rows {
	return &clockedRows{Rows: &rowsOf{Rows: r, caller: caller}}
}

type rowsOf struct {
	*Rows
	caller string
}

// Transact implements storer.Rows.
func (r *rowsOf) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	if err := r.enter(ctx, r.caller); err != nil {
		return 0, err
	}
	if err := r.occupy(ctx, changes); err != nil {
		return 0, err
	}
	if isDown, silently := r.isDown(changes); silently {
		<-ctx.Done()
		return 0, storer.ErrInDoubt
	} else if isDown {
		return 0, storer.ErrUnavailable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, isInvalid := 0, false
	for _, c := range changes {
		entries += c.Entries()
		isInvalid = isInvalid || max(len(c.Table), len(c.Partition), len(c.Name)) > maxKeyBytes || !utf8.ValidString(c.Name)
	}
	if entries > storer.MaxEntries || isInvalid {
		return 0, storer.ErrInvalid
	}
	if r.faults.LoseAnswers > 0 && r.random.Float64() < r.faults.LoseAnswers {
		r.counts.Lost++
		if late := r.faults.LandLate; late > 0 {
			time.AfterFunc(late, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				// The late end of a transaction is nobody's to hear.
				_, _ = r.apply(changes)
			})
		} else {
			_, _ = r.apply(changes) // As above.
		}
		return 0, storer.ErrInDoubt
	}
	return r.apply(changes)
}

// isDown reports whether the transaction has rows of a partition that is away, and
// whether it gets no answer for that.
func (r *Rows) isDown(changes []storer.Change) (isDown, silently bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Down == nil || !slices.ContainsFunc(changes, func(c storer.Change) bool { return r.faults.Down(c.Partition) }) {
		return false, false
	}
	r.counts.Refused++
	return true, r.faults.DownSilently
}

// occupy waits until the transaction's partitions have served it.
func (r *Rows) occupy(ctx context.Context, changes []storer.Change) error {
	r.mu.Lock()
	service := r.faults.Service
	if service == 0 {
		r.mu.Unlock()
		return nil
	}
	end := time.Now()
	for _, c := range changes {
		if r.busy[c.Partition].After(end) {
			end = r.busy[c.Partition]
		}
	}
	end = end.Add(service)
	for _, c := range changes {
		r.busy[c.Partition] = end
	}
	r.mu.Unlock()
	if pause(ctx, time.Until(end)) != nil {
		return storer.ErrInDoubt
	}
	return nil
}

func (r *Rows) apply(changes []storer.Change) (int64, error) {
	var current []storer.Record
	failed := false
	for _, c := range changes {
		if c.Expected == storer.AnyVersion {
			continue
		}
		record := r.rows[c.RowKey]
		record.RowKey = c.RowKey
		current = append(current, record)
		failed = failed || record.Version != c.Expected
	}
	if failed {
		r.counts.Conflicts++
		return 0, &storer.Conflict{Current: current}
	}
	r.counts.Transactions++
	r.counts.Changes += len(changes)
	r.version++
	for _, c := range changes {
		r.set(storer.Record{RowKey: c.RowKey, Value: c.Value, Version: r.version, Deleted: c.Delete})
	}
	return r.version, nil
}

// List implements storer.Rows.
func (r *rowsOf) List(ctx context.Context, list storer.Range) (storer.Page, error) {
	if err := r.enter(ctx, r.caller); err != nil {
		return storer.Page{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Lists++
	var records []storer.Record
	for key, record := range r.rows {
		if key.Table == list.Table && key.Partition == list.Partition && key.Name >= list.From && (list.To == "" || key.Name < list.To) {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Name < records[j].Name })
	if list.Limit > 0 && len(records) > list.Limit {
		return storer.Page{Records: records[:list.Limit], More: true, Version: r.version}, nil
	}
	return storer.Page{Records: records, Version: r.version}, nil
}

// Changes implements storer.Rows.
func (r *rowsOf) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	r.mu.Lock()
	r.counts.Feeds++
	r.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isOver := wait <= 0; ; {
		if err := r.enter(ctx, r.caller); err != nil {
			return storer.Page{}, err
		}
		page, changed, err := r.changesAfter(table, after)
		if err != nil || len(page.Records) > 0 || isOver {
			return page, err
		}
		select {
		case <-ctx.Done():
			return storer.Page{}, storer.ErrInDoubt
		case <-timer.C:
			isOver = true
		case <-changed:
		}
	}
}

func (r *rowsOf) changesAfter(table string, after int64) (page storer.Page, changed <-chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.forgotten {
		return storer.Page{}, nil, storer.ErrVersionExpired
	}
	page.Version = r.version
	begin := sort.Search(len(r.history), func(i int) bool { return r.history[i].Version > after })
	for _, record := range r.history[begin:] {
		if record.Table == table {
			page.Records = append(page.Records, record)
		}
	}
	return page, r.changed, nil
}

// enter applies the faults that come before a call takes effect.
func (r *Rows) enter(ctx context.Context, caller string) error {
	r.mu.Lock()
	faults := r.faults
	refused := faults.Outage || faults.Refused[caller]
	if refused {
		r.counts.Refused++
	}
	r.mu.Unlock()
	if !refused && (faults.Silent || faults.Unanswered[caller]) {
		<-ctx.Done()
		return storer.ErrInDoubt
	}
	if pause(ctx, faults.Delay) != nil {
		return storer.ErrInDoubt
	}
	if refused {
		return storer.ErrUnavailable
	}
	return nil
}
