package batcher

import (
	"errors"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// dividedTime is how long transactions have rows of one partition only after one
	// over several partitions failed. It suffices to learn which of them are unavailable.
	dividedTime = 300 * time.Millisecond
	// minDividedInterval is the minimum interval meanwhile, at which transactions
	// start twice as often as otherwise.
	minDividedInterval = 5 * time.Millisecond
)

// partitionBackoff is the backoff of a partition that the store does not serve while it
// serves others.
type partitionBackoff struct {
	// retryAt is the time of the next transaction with its rows, delay the time
	// between the last two.
	retryAt time.Time
	delay   time.Duration
}

// errPartitionUnavailable marks the error of a transaction that failed although the
// store is reached and not overloaded. It may serve other partitions.
var errPartitionUnavailable = errors.New("partition unavailable")

// isPartitionFailure reports whether a failure after the given time is to be marked as
// errPartitionUnavailable: the store refused the transaction, broke its connection off
// at once, or left it without a response while it responded to others.
func isPartitionFailure(err error, took time.Duration) bool {
	if errors.Is(err, storer.ErrInDoubt) {
		return errors.Is(err, storer.ErrResponseLost) || took < slowThreshold
	}
	return errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrBusy)
}

// postpone queues a failed batch again. If it has rows of several partitions, the jobs
// are divided by partition; if not, the partition is tried again after a delay.
// Without that, one unavailable partition would delay all writes.
func (b *Batcher) postpone(batch []*Job) {
	now := time.Now()
	wait := time.Duration(0)
	b.mu.Lock()
	if spansPartitions(batch) {
		b.dividedUntil = now.Add(dividedTime)
	} else {
		p := b.backoffs[batch[0].partition()]
		wait = min(max(2*p.delay, minRetryDelay), maxRetryDelay)
		b.backoffs[batch[0].partition()] = partitionBackoff{retryAt: now.Add(wait), delay: wait}
	}
	b.pending = append(slices.Clone(batch), b.pending...)
	b.mu.Unlock()
	time.AfterFunc(wait, b.signal)
}

// recordServed records that the store served the partitions of the batch.
func (b *Batcher) recordServed(batch []*Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, job := range batch {
		delete(b.backoffs, job.partition())
	}
}

func (b *Batcher) isDivided() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.dividedUntil)
}

// spansPartitions reports whether the jobs have rows of several partitions.
func spansPartitions(batch []*Job) bool {
	return slices.ContainsFunc(batch, func(job *Job) bool { return job.partition() != batch[0].partition() })
}
