// Package batcher combines the row changes of concurrent requests into few
// transactions. It repeats a transaction without a response under the same
// conditions, so that only one of the attempts can take effect.
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
	// DefaultInterval is the minimum time between the starts of two transactions,
	// unless SetRate sets a longer one. It limits an instance to 50 per second.
	DefaultInterval = 20 * time.Millisecond
	// DefaultMaxInFlight is the maximum number of concurrent transactions. With
	// more than one, a lost response does not delay all others.
	DefaultMaxInFlight = 4
	// maxBackoff bounds the backoff, which doubles the interval with each failure
	// of the store and decreases by a quarter with each success.
	maxBackoff = 640 * time.Millisecond
	// slowThreshold is the duration of a transaction above which the store counts
	// as slow. Transactions usually take 7 to 20 ms.
	slowThreshold = 100 * time.Millisecond
	// slowMaxInFlight and slowInterval replace the maximum number of concurrent
	// transactions and the interval while the store is slow. Each transaction then
	// writes to a single partition.
	slowMaxInFlight = 32
	slowInterval    = 2 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before a failed transaction
	// is repeated, which doubles with each attempt.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
)

// Result is the outcome of a job.
type Result struct {
	// Version is the version of the written rows.
	Version int64
	// Err is nil, a *storer.Conflict with the job's own rows, storer.ErrInvalid,
	// storer.ErrUnavailable if nothing was or will be written, or
	// storer.ErrInDoubt.
	Err error
}

// Job is a set of changes that take effect together.
type Job struct {
	Changes []storer.Change
	// Deadline is the time after which the job is not sent again; zero for none.
	Deadline time.Time
	// Done is called once, from a goroutine of the Batcher, unless the job is
	// submitted after Run returned.
	Done func(Result)

	// inDoubt is set once a transaction with the job may have taken effect.
	inDoubt bool
}

// Transactor is the part of storer.Rows that a Batcher uses.
type Transactor interface {
	Transact(ctx context.Context, changes []storer.Change) (int64, error)
}

// Batcher combines jobs into transactions. Concurrent jobs must not share rows. It
// is safe for concurrent use.
type Batcher struct {
	rows     Transactor
	interval atomic.Int64
	// backoff is the interval while the store fails. It keeps many instances from
	// adding to the load of an overloaded store.
	backoff atomic.Int64
	// lastDuration is the duration of the last transaction that succeeded or
	// conflicted.
	lastDuration atomic.Int64
	maxInFlight  int
	// singlePartition is set for a store without transactions over several
	// partitions.
	singlePartition bool
	// rateInterval is the interval that SetRate set.
	rateInterval atomic.Int64

	mu      sync.Mutex
	pending []*Job
	// backoffs has the partitions that did not serve their last transaction, and
	// dividedUntil is the time until which each transaction has rows of one partition.
	backoffs     map[string]partitionBackoff
	dividedUntil time.Time
	// resumed is closed and replaced by Resume.
	resumed chan struct{}
	wake    chan struct{}
	// inFlight is the number of running transactions. slotFreed is signalled when
	// one ends.
	inFlight  int
	slotFreed chan struct{}
	writes    sync.WaitGroup
}

// Option sets one property of a Batcher.
type Option func(*Batcher)

// WithSinglePartition limits each transaction to rows of one partition, for stores
// without transactions over several partitions.
func WithSinglePartition() Option { return func(b *Batcher) { b.singlePartition = true } }

// New returns a Batcher, which processes jobs while Run runs.
func New(rows Transactor, options ...Option) *Batcher {
	b := &Batcher{rows: rows, maxInFlight: DefaultMaxInFlight, wake: make(chan struct{}, 1), resumed: make(chan struct{}), slotFreed: make(chan struct{}, 1), backoffs: map[string]partitionBackoff{}}
	b.rateInterval.Store(int64(DefaultInterval))
	b.interval.Store(int64(DefaultInterval))
	for _, option := range options {
		option(b)
	}
	return b
}

// SetRate limits the transactions per second, in addition to the limit by
// DefaultInterval.
func (b *Batcher) SetRate(perSecond float64) {
	interval := time.Duration(float64(time.Second) / perSecond)
	b.rateInterval.Store(int64(interval))
	b.interval.Store(int64(max(DefaultInterval, interval)))
}

// Submit queues the job and returns.
func (b *Batcher) Submit(job *Job) {
	b.mu.Lock()
	b.pending = append(b.pending, job)
	b.mu.Unlock()
	b.signal()
}

// Run writes jobs until ctx ends and then fails the pending ones.
func (b *Batcher) Run(ctx context.Context) {
	defer func() {
		b.writes.Wait()
		b.failPending() // A write that ended last may have queued its jobs again.
	}()
	for {
		select {
		case <-ctx.Done():
			b.failPending()
			return
		case <-b.wake:
		}
		for {
			batch := b.nextBatch()
			if len(batch) == 0 {
				break
			}
			if !b.acquireSlot(ctx) {
				failJobs(batch, storer.ErrUnavailable)
				b.failPending()
				return
			}
			// Jobs submitted while waiting for the slot are added to the batch.
			batch = append(batch, b.takePending(batch)...)
			b.writes.Go(func() {
				defer b.releaseSlot()
				b.write(ctx, batch)
			})
			b.sleep(ctx, b.startInterval())
		}
	}
}

// acquireSlot waits until another transaction may start. It returns false if ctx
// ends first.
func (b *Batcher) acquireSlot(ctx context.Context) bool {
	for {
		b.mu.Lock()
		if b.inFlight < b.inFlightLimit() {
			b.inFlight++
			b.mu.Unlock()
			return true
		}
		b.mu.Unlock()
		select {
		case <-b.slotFreed:
		case <-ctx.Done():
			return false
		}
	}
}

func (b *Batcher) releaseSlot() {
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
	select {
	case b.slotFreed <- struct{}{}:
	default:
	}
}

// inFlightLimit returns the maximum number of concurrent transactions: one while
// the store fails, as more would only add to its load, and slowMaxInFlight while
// it is slow.
func (b *Batcher) inFlightLimit() int {
	switch {
	case b.backoff.Load() > int64(DefaultInterval):
		return 1
	case b.isSlow():
		return slowMaxInFlight
	}
	return b.maxInFlight
}

func (b *Batcher) isSlow() bool { return b.lastDuration.Load() > int64(slowThreshold) }

// startInterval returns the time between the starts of two transactions.
func (b *Batcher) startInterval() time.Duration {
	if b.backoff.Load() <= int64(DefaultInterval) {
		switch {
		case b.isSlow():
			return slowInterval
		case b.isDivided():
			return max(time.Duration(b.rateInterval.Load())/2, minDividedInterval)
		}
	}
	return time.Duration(max(b.interval.Load(), b.backoff.Load()))
}

// adaptBackoff increases the backoff after a failure and decreases it after a
// success.
func (b *Batcher) adaptBackoff(ok bool) {
	if ok {
		b.backoff.Store(b.backoff.Load() * 3 / 4)
		return
	}
	b.backoff.Store(int64(min(2*b.startInterval(), maxBackoff)))
}

func (b *Batcher) failPending() {
	b.mu.Lock()
	batch := b.pending
	b.pending = nil
	b.mu.Unlock()
	failJobs(batch, storer.ErrUnavailable)
}

func (b *Batcher) nextBatch() []*Job { return b.takePending(nil) }

// takePending removes and returns the pending jobs that fit into one transaction
// together with the batch. While the store is slow, a transaction has rows of one
// partition only, as one over several partitions would block all of them, and also
// after one over several partitions failed. Jobs of unavailable partitions wait.
func (b *Batcher) takePending(batch []*Job) []*Job {
	entries, bytes := 0, 0
	for _, job := range batch {
		jobEntries, jobBytes := job.size()
		entries, bytes = entries+jobEntries, bytes+jobBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	samePartition := b.singlePartition || b.isSlow() || now.Before(b.dividedUntil)
	var taken, rest []*Job
	for i, job := range b.pending {
		if now.Before(b.backoffs[job.partition()].retryAt) {
			rest = append(rest, job)
			continue
		}
		if first := firstOf(batch, taken); samePartition && first != nil && job.partition() != first.partition() {
			rest = append(rest, job)
			continue
		}
		jobEntries, jobBytes := job.size()
		entries, bytes = entries+jobEntries, bytes+jobBytes
		isFirst := len(batch)+len(taken) == 0
		// A job that exceeds the limits by itself is sent alone, and the store
		// rejects it.
		if !isFirst && (entries > storer.MaxEntries || bytes > storer.MaxTransactionBytes) {
			rest = append(rest, b.pending[i:]...)
			break
		}
		taken = append(taken, job)
	}
	b.pending = rest
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

// write sends the batch until each of its jobs is done or pending again.
func (b *Batcher) write(ctx context.Context, batch []*Job) {
	delay, wasLost := minRetryDelay, false
	for {
		batch = failExpired(ctx, batch)
		if len(batch) == 0 {
			return
		}
		version, err := b.transact(ctx, batch)
		if errors.Is(err, storer.ErrInDoubt) {
			for _, job := range batch {
				job.inDoubt = true
			}
		}
		var conflict *storer.Conflict
		switch {
		case errors.Is(err, storer.ErrResponseLost) && !wasLost:
			wasLost = true
			continue
		case errors.Is(err, errPartitionUnavailable):
			b.postpone(batch)
			return
		case err == nil:
			for _, job := range batch {
				job.Done(Result{Version: version})
			}
			return
		case errors.As(err, &conflict):
			rest := failConflicting(batch, conflict)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
		case errors.Is(err, storer.ErrInvalid):
			if len(batch) == 1 {
				batch[0].Done(Result{Err: err})
				return
			}
			// One of the jobs is invalid. Splitting the batch isolates it.
			half := len(batch) / 2
			b.write(ctx, batch[:half])
			batch = batch[half:]
			continue
		}
		b.sleep(ctx, max(delay, b.startInterval()))
		if !errors.Is(err, storer.ErrInDoubt) {
			// Nothing was written, so the jobs can be combined with newer ones.
			b.requeue(batch)
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func (b *Batcher) transact(ctx context.Context, batch []*Job) (int64, error) {
	var changes []storer.Change
	for _, job := range batch {
		changes = append(changes, job.Changes...)
	}
	start := time.Now()
	version, err := b.rows.Transact(ctx, changes)
	took := time.Since(start)
	switch {
	case err == nil || errors.Is(err, storer.ErrConflict):
		b.lastDuration.Store(int64(took))
		b.recordServed(batch)
		b.adaptBackoff(true)
	case errors.Is(err, storer.ErrInvalid):
		b.adaptBackoff(true)
	case errors.Is(err, storer.ErrUnreachable):
	case isPartitionFailure(err, took):
		err = errors.Join(errPartitionUnavailable, err)
	default:
		b.adaptBackoff(false)
	}
	return version, err
}

// signal makes Run look at the queue.
func (b *Batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// requeue adds jobs at the head of the queue.
func (b *Batcher) requeue(batch []*Job) {
	b.mu.Lock()
	b.pending = append(slices.Clone(batch), b.pending...)
	b.mu.Unlock()
	b.signal()
}

// failConflicting completes the jobs with a condition that did not hold and
// returns the others.
func failConflicting(batch []*Job, conflict *storer.Conflict) []*Job {
	current := make(map[storer.RowKey]storer.Record, len(conflict.Current))
	for _, r := range conflict.Current {
		current[r.RowKey] = r
	}
	var rest []*Job
	for _, job := range batch {
		var currentRows []storer.Record
		failed := false
		for _, c := range job.Changes {
			if c.Expected == storer.AnyVersion {
				continue
			}
			record, found := current[c.RowKey]
			if !found {
				record = storer.Record{RowKey: c.RowKey}
			}
			currentRows = append(currentRows, record)
			failed = failed || record.Version != c.Expected
		}
		if !failed {
			rest = append(rest, job)
			continue
		}
		job.Done(Result{Err: &storer.Conflict{Current: currentRows}})
	}
	return rest
}

// failExpired completes the jobs that are past their deadline, or all after the end
// of ctx, and returns the others.
func failExpired(ctx context.Context, batch []*Job) []*Job {
	now := time.Now()
	var rest []*Job
	for _, job := range batch {
		if ctx.Err() == nil && (job.Deadline.IsZero() || now.Before(job.Deadline)) {
			rest = append(rest, job)
			continue
		}
		failJobs([]*Job{job}, storer.ErrUnavailable)
	}
	return rest
}

// failJobs completes the jobs with err, and those that may have taken effect with
// storer.ErrInDoubt.
func failJobs(batch []*Job, err error) {
	for _, job := range batch {
		result := Result{Err: err}
		if job.inDoubt {
			result.Err = storer.ErrInDoubt
		}
		job.Done(result)
	}
}

// Resume ends the backoff and all waits between transactions. It is called when
// the store is reachable again.
func (b *Batcher) Resume() {
	b.backoff.Store(0)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dividedUntil = time.Time{}
	clear(b.backoffs)
	close(b.resumed)
	b.resumed = make(chan struct{})
	b.signal()
}

// sleep waits for d, until Resume is called or until ctx ends.
func (b *Batcher) sleep(ctx context.Context, d time.Duration) {
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-resumed:
	case <-timer.C:
	}
}
