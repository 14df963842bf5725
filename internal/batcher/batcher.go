// Package batcher owns the joining of row changes of many requests into few
// transactions, and their settlement: a transaction without an answer is sent
// again under the same expectations, so that only one of the two can land. It
// does not own what the rows hold.
package batcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// DefaultInterval is the least time between the starts of two transactions,
	// unless SetRate sets a longer one; it bounds an instance to 50 a second.
	DefaultInterval = 20 * time.Millisecond
	// DefaultMaxInFlight is how many transactions may be under way, so that one
	// whose answer is lost does not hold up the others.
	DefaultMaxInFlight = 4
	// slowest is the longest time between two transactions to which failures of
	// the store stretch the interval; each success takes a quarter off.
	slowest = 640 * time.Millisecond
	// slowTransaction is the time of a transaction above which the store counts
	// as slow; the usual one takes 7 to 20 ms.
	slowTransaction = 100 * time.Millisecond
	// slowParallel and slowInterval are the transactions under way and the time
	// between their starts while the store is slow, each for one partition.
	slowParallel = 32
	slowInterval = 2 * time.Millisecond
	// pauseLeast and pauseMost bound the wait before a transaction that failed
	// is sent again; it doubles each time.
	pauseLeast = 20 * time.Millisecond
	pauseMost  = 320 * time.Millisecond
)

// Result is the end of a job.
type Result struct {
	// Version is that of the rows written.
	Version int64
	// Err is nil, a *storer.Conflict with the job's own rows,
	// storer.ErrUnavailable if nothing was or will be written, or
	// storer.ErrInDoubt.
	Err error
}

// Job is a set of changes that take effect together.
type Job struct {
	Changes []storer.Change
	// Deadline is when the job is given up; zero for never.
	Deadline time.Time
	// Done is called once, from a goroutine of the Batcher.
	Done func(Result)

	inDoubt bool
}

// Transactor writes rows.
type Transactor interface {
	Transact(ctx context.Context, changes []storer.Change) (int64, error)
}

// Batcher joins jobs. Jobs that are under way at once must not share rows.
type Batcher struct {
	rows     Transactor
	interval atomic.Int64
	// stretched is the interval while the store fails, which keeps many
	// instances from pressing on a store that is overloaded.
	stretched atomic.Int64
	// took is the time of the last transaction that was answered.
	took     atomic.Int64
	parallel int
	// onePartition is true for a store without transactions over several.
	onePartition bool

	mu      sync.Mutex
	waiting []*Job
	// resumed is closed, and replaced, by Resume.
	resumed chan struct{}
	wake    chan struct{}
	// inFlight counts the transactions under way; freed tells that one ended.
	inFlight int
	freed    chan struct{}
	work     sync.WaitGroup
}

// Option sets one property of a Batcher.
type Option func(*Batcher)

// WithSinglePartition keeps the rows of a transaction in one partition, for stores
// that take no others.
func WithSinglePartition() Option { return func(j *Batcher) { j.onePartition = true } }

// New returns a Batcher; Run makes it work.
func New(rows Transactor, options ...Option) *Batcher {
	j := &Batcher{rows: rows, parallel: DefaultMaxInFlight, wake: make(chan struct{}, 1), resumed: make(chan struct{}), freed: make(chan struct{}, 1)}
	j.interval.Store(int64(DefaultInterval))
	for _, option := range options {
		option(j)
	}
	return j
}

// SetRate bounds the transactions to so many a second, and to those that
// DefaultInterval allows.
func (j *Batcher) SetRate(perSecond float64) {
	j.interval.Store(int64(max(DefaultInterval, time.Duration(float64(time.Second)/perSecond))))
}

// Submit queues the job.
func (j *Batcher) Submit(job *Job) {
	j.mu.Lock()
	j.waiting = append(j.waiting, job)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Run writes jobs until ctx ends; what is under way is then given up.
func (j *Batcher) Run(ctx context.Context) {
	defer j.work.Wait()
	for {
		select {
		case <-ctx.Done():
			j.abandon()
			return
		case <-j.wake:
		}
		for {
			batch := j.next()
			if len(batch) == 0 {
				break
			}
			if !j.acquire(ctx) {
				finish(batch, storer.ErrUnavailable)
				j.abandon()
				return
			}
			// Jobs that came while the slot was awaited join the batch.
			batch = append(batch, j.fill(batch)...)
			j.work.Go(func() {
				defer j.release()
				j.write(ctx, batch)
			})
			j.pause(ctx, j.gap())
		}
	}
}

// acquire waits until another transaction may be under way.
func (j *Batcher) acquire(ctx context.Context) bool {
	for {
		j.mu.Lock()
		if j.inFlight < j.limit() {
			j.inFlight++
			j.mu.Unlock()
			return true
		}
		j.mu.Unlock()
		select {
		case <-j.freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (j *Batcher) release() {
	j.mu.Lock()
	j.inFlight--
	j.mu.Unlock()
	select {
	case j.freed <- struct{}{}:
	default:
	}
}

// limit is how many transactions may be under way: one while the store refuses,
// as more would only press on it, and one for many partitions while it is slow.
func (j *Batcher) limit() int {
	switch {
	case j.stretched.Load() > int64(DefaultInterval):
		return 1
	case j.isSlow():
		return slowParallel
	}
	return j.parallel
}

func (j *Batcher) isSlow() bool { return j.took.Load() > int64(slowTransaction) }

// gap is the time to leave between the starts of two transactions.
func (j *Batcher) gap() time.Duration {
	if j.isSlow() && j.stretched.Load() <= int64(DefaultInterval) {
		return slowInterval
	}
	return time.Duration(max(j.interval.Load(), j.stretched.Load()))
}

// adapt stretches the gap after a failure and relaxes it after a success.
func (j *Batcher) adapt(ok bool) {
	if ok {
		j.stretched.Store(j.stretched.Load() * 3 / 4)
		return
	}
	j.stretched.Store(int64(min(2*j.gap(), slowest)))
}

func (j *Batcher) abandon() {
	for batch := j.next(); len(batch) > 0; batch = j.next() {
		finish(batch, storer.ErrUnavailable)
	}
}

func (j *Batcher) next() []*Job { return j.fill(nil) }

// fill takes from the waiting jobs those that fit into one transaction beside the
// batch. While the store is slow they are of one partition: a transaction over
// several would hold all of these up.
func (j *Batcher) fill(batch []*Job) []*Job {
	entries, bytes := 0, 0
	for _, job := range batch {
		e, b := job.size()
		entries, bytes = entries+e, bytes+b
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	one := j.onePartition || j.isSlow()
	var taken, rest []*Job
	for i, job := range j.waiting {
		if first := firstOf(batch, taken); one && first != nil && job.partition() != first.partition() {
			rest = append(rest, job)
			continue
		}
		e, b := job.size()
		entries, bytes = entries+e, bytes+b
		isAlone := len(batch)+len(taken) == 0
		// A job that is too large by itself goes alone, for the store to refuse.
		if !isAlone && (entries > storer.MaxEntries || bytes > storer.MaxTransactionBytes) {
			rest = append(rest, j.waiting[i:]...)
			break
		}
		taken = append(taken, job)
	}
	j.waiting = rest
	return taken
}

func firstOf(batch, taken []*Job) *Job {
	if len(batch) > 0 {
		return batch[0]
	}
	if len(taken) > 0 {
		return taken[0]
	}
	return nil
}

func (job *Job) partition() string { return job.Changes[0].Partition }

func (job *Job) size() (entries, bytes int) {
	for _, c := range job.Changes {
		entries += c.Entries()
		bytes += len(c.Value) + len(c.Name)
	}
	return entries, bytes
}

// write sends the batch until each job has ended or waits again.
func (j *Batcher) write(ctx context.Context, batch []*Job) {
	wait := pauseLeast
	for {
		batch = expire(ctx, batch)
		if len(batch) == 0 {
			return
		}
		version, err := j.transact(ctx, batch)
		var conflict *storer.Conflict
		switch {
		case err == nil:
			for _, job := range batch {
				job.Done(Result{Version: version})
			}
			return
		case errors.As(err, &conflict):
			rest := separate(batch, conflict)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
		case errors.Is(err, storer.ErrInvalid):
			if len(batch) == 1 {
				batch[0].Done(Result{Err: err})
				return
			}
			// One of the jobs is at fault: the halves go on by themselves.
			half := len(batch) / 2
			j.write(ctx, batch[:half])
			batch = batch[half:]
			continue
		case errors.Is(err, storer.ErrInDoubt):
			for _, job := range batch {
				job.inDoubt = true
			}
			if errors.Is(err, storer.ErrAnswerLost) {
				continue
			}
		}
		j.pause(ctx, max(wait, j.gap()))
		if !errors.Is(err, storer.ErrInDoubt) {
			// Nothing was written: the jobs join those that came meanwhile.
			j.putBack(batch)
			return
		}
		wait = min(2*wait, pauseMost)
	}
}

func (j *Batcher) transact(ctx context.Context, batch []*Job) (int64, error) {
	var changes []storer.Change
	for _, job := range batch {
		changes = append(changes, job.Changes...)
	}
	start := time.Now()
	version, err := j.rows.Transact(ctx, changes)
	if errors.Is(err, storer.ErrAnswerLost) {
		return version, err // It says nothing about how the store bears the load.
	}
	if err == nil || errors.Is(err, storer.ErrConflict) {
		j.took.Store(int64(time.Since(start)))
	}
	if !errors.Is(err, storer.ErrUnreachable) {
		j.adapt(err == nil || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrInvalid))
	}
	return version, err
}

// putBack puts jobs before the waiting ones.
func (j *Batcher) putBack(batch []*Job) {
	j.mu.Lock()
	j.waiting = append(slices.Clone(batch), j.waiting...)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// separate ends the jobs whose expectations failed and returns the others.
func separate(batch []*Job, conflict *storer.Conflict) []*Job {
	current := make(map[storer.RowKey]storer.Record, len(conflict.Current))
	for _, r := range conflict.Current {
		current[r.RowKey] = r
	}
	var rest []*Job
	for _, job := range batch {
		var own []storer.Record
		failed := false
		for _, c := range job.Changes {
			if c.Expected == storer.AnyVersion {
				continue
			}
			record, found := current[c.RowKey]
			if !found {
				record = storer.Record{RowKey: c.RowKey}
			}
			own = append(own, record)
			failed = failed || record.Version != c.Expected
		}
		if !failed {
			rest = append(rest, job)
			continue
		}
		job.Done(Result{Err: &storer.Conflict{Current: own}})
	}
	return rest
}

// expire ends the jobs that are past their deadline and returns the others.
func expire(ctx context.Context, batch []*Job) []*Job {
	now := time.Now()
	var rest []*Job
	for _, job := range batch {
		if ctx.Err() == nil && (job.Deadline.IsZero() || now.Before(job.Deadline)) {
			rest = append(rest, job)
			continue
		}
		finish([]*Job{job}, storer.ErrUnavailable)
	}
	return rest
}

func finish(batch []*Job, err error) {
	for _, job := range batch {
		if job.inDoubt {
			err = storer.ErrInDoubt
		}
		job.Done(Result{Err: err})
	}
}

// Resume ends the pauses after failures: the store is reached again.
func (j *Batcher) Resume() {
	j.stretched.Store(0)
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.resumed)
	j.resumed = make(chan struct{})
}

func (j *Batcher) pause(ctx context.Context, d time.Duration) {
	j.mu.Lock()
	resumed := j.resumed
	j.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-resumed:
	case <-timer.C:
	}
}
