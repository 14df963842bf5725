// Package committer writes the journal of this instance by group commit and reads
// journals back. The entries appended during an interval form a batch, within a size
// limit. A small batch is a row written in the same transaction that advances the
// lease's head; a large one is an object written before that transaction. The lease
// decides whether the instance may write. Entries are opaque to this package.
package committer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// DefaultInterval is the minimum time per write to the store.
	DefaultInterval = 25 * time.Millisecond
	// DefaultInlineBytes is the maximum size of a batch stored as a row.
	DefaultInlineBytes = 64 << 10
	// DefaultBatchBytes is the maximum size of the entries in one batch.
	DefaultBatchBytes = 1 << 20
	// DefaultBacklogBytes is the size of the entries that are not yet durable at
	// which IsFull returns true.
	DefaultBacklogBytes = 64 << 20

	// A batch stored as a row costs one write. One stored as an object costs three:
	// the put, the commit, and later the delete.
	inlineWrites = 1
	objectWrites = 3

	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	attemptTimeout    = 10 * time.Second
)

// Lease is the lease under which batches are committed.
type Lease interface {
	Commit(ctx context.Context, change leaser.Change) error
	Lease() leaser.Lease
}

// Committer implements sharder.Journal. Entries become durable only while Run is
// running. Append and the getters are safe for concurrent use.
type Committer struct {
	lease        Lease
	objects      storer.Objects
	log          *logger.Logger
	interval     func() time.Duration
	batchBytes   int
	inlineBytes  int
	backlogBytes int

	wake chan struct{}

	mu      sync.Mutex
	last    int64
	queue   []Record
	backlog int
	batches int64
	fenced  bool
}

var _ sharder.Journal = (*Committer)(nil)

// Option configures a Committer.
type Option func(*Committer)

// WithInterval sets the function that returns the minimum time per write to the
// store. It is called after each commit, so that the interval may follow the
// instance's share of the write rate; the pause after a batch is proportional to
// the number of writes that the batch took.
func WithInterval(interval func() time.Duration) Option {
	return func(c *Committer) { c.interval = interval }
}

// WithBatchBytes sets the maximum size of the entries in one batch. The entries of a
// single Append are never split, even if they exceed it.
func WithBatchBytes(n int) Option { return func(c *Committer) { c.batchBytes = n } }

// WithInlineBytes sets the maximum size of a batch that is stored as a row.
func WithInlineBytes(n int) Option { return func(c *Committer) { c.inlineBytes = n } }

// WithBacklogBytes sets the backlog at which IsFull returns true.
func WithBacklogBytes(n int) Option { return func(c *Committer) { c.backlogBytes = n } }

// WithLogger sets the logger; the default discards all events.
func WithLogger(log *logger.Logger) Option { return func(c *Committer) { c.log = log } }

// New returns a Committer that commits under the lease, which must be acquired
// before Run is called.
func New(lease Lease, objects storer.Objects, options ...Option) *Committer {
	c := &Committer{
		lease:        lease,
		objects:      objects,
		log:          logger.Discard(),
		interval:     func() time.Duration { return DefaultInterval },
		batchBytes:   DefaultBatchBytes,
		inlineBytes:  DefaultInlineBytes,
		backlogBytes: DefaultBacklogBytes,
		wake:         make(chan struct{}, 1),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Append implements sharder.Journal. Once the lease is fenced, entries are dropped.
func (c *Committer) Append(entries []sharder.Entry) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	if c.fenced {
		return c.last
	}
	record := Record{Sequence: c.last, Entries: entries}
	c.queue = append(c.queue, record)
	c.backlog += record.size()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return c.last
}

// Backlog implements sharder.Journal.
func (c *Committer) Backlog() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backlog
}

// IsFull reports whether the backlog has reached its limit. Work that would append
// entries must then be refused.
func (c *Committer) IsFull() bool { return c.Backlog() >= c.backlogBytes }

// LastSequence returns the sequence of the most recent Append.
func (c *Committer) LastSequence() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// BatchCount returns the number of batches that this Committer has committed.
func (c *Committer) BatchCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.batches
}

// Run commits batches until ctx is canceled or the lease is fenced. It calls
// machine.Committed after each batch and machine.Fenced when the lease is fenced.
func (c *Committer) Run(ctx context.Context, machine sharder.StateMachine) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		if err := c.drain(ctx, machine); err != nil {
			return err
		}
	}
}

// drain commits batches, spaced by the interval, until the queue is empty.
func (c *Committer) drain(ctx context.Context, machine sharder.StateMachine) error {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		started := time.Now()
		writes, err := c.commit(ctx, batch)
		if errors.Is(err, leaser.ErrFenced) {
			c.markFenced()
			machine.Fenced()
		}
		if err != nil {
			return err
		}
		last := batch[len(batch)-1].Sequence
		c.dequeue(batch)
		machine.Committed(last)
		if !sleep(ctx, time.Duration(writes)*c.interval()-time.Since(started)) {
			return ctx.Err()
		}
	}
}

// nextBatch returns the records of the next batch and leaves them in the queue.
func (c *Committer) nextBatch() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := 0
	for i, record := range c.queue {
		bytes += record.size()
		if i > 0 && bytes > c.batchBytes {
			return c.queue[:i:i]
		}
	}
	return c.queue[:len(c.queue):len(c.queue)]
}

// dequeue removes the committed records from the queue.
func (c *Committer) dequeue(batch []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range batch {
		c.backlog -= record.size()
	}
	c.queue = append([]Record(nil), c.queue[len(batch):]...)
	c.batches++
}

func (c *Committer) markFenced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced = true
	c.queue = nil
	c.backlog = 0
}

// commit makes one batch durable and returns the number of writes that it costs. An
// object has the same key and content on every attempt, so that writing it again is
// idempotent.
func (c *Committer) commit(ctx context.Context, batch []Record) (int, error) {
	lease := c.lease.Lease()
	head := batch[len(batch)-1].Sequence
	body, err := encode(lease.Instance, lease.Generation, batch)
	if err != nil {
		return 0, err
	}
	key := BatchKey(lease.Instance, lease.Generation, head)
	change := leaser.Change{Head: head}
	writes := inlineWrites
	if len(body) <= c.inlineBytes {
		change.Writes = []storer.Write{{Key: key, Value: body}}
	} else {
		writes = objectWrites
		put := func(ctx context.Context) error { return c.objects.Put(ctx, key, body) }
		if err := c.retry(ctx, "Put", put); err != nil {
			return writes, err
		}
	}
	commitLease := func(ctx context.Context) error { return c.lease.Commit(ctx, change) }
	return writes, c.retry(ctx, "Commit", commitLease)
}

// retry repeats the operation with exponential backoff until it succeeds, ctx is
// canceled or the lease is fenced.
func (c *Committer) retry(ctx context.Context, name string, operation func(context.Context) error) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, operation)
		if err == nil || errors.Is(err, leaser.ErrFenced) {
			return err
		}
		c.log.Log(eventCommitDelayed, "Operation", name, "Attempt", attempt, "Cause", err)
		if !sleep(ctx, delays.NextBackOff()) {
			return ctx.Err()
		}
	}
}

func (c *Committer) attempt(ctx context.Context, operation func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return operation(ctx)
}

// sleep waits for d and returns false if ctx is canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
