// Package committer owns the journal of this instance: it makes the entries of
// an interval durable together and reads journals back. A small batch is a row
// written by the commit of the lease that makes it durable, a large one an object
// written before that commit. It does not own what an entry means, nor who may
// write: the lease says so.
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
	// DefaultInterval is the time to leave for each write to the store.
	DefaultInterval = 25 * time.Millisecond
	// DefaultInlineBytes bounds a batch that is kept as a row.
	DefaultInlineBytes = 64 << 10
	// DefaultBatchBytes bounds the entries of one object.
	DefaultBatchBytes = 1 << 20
	// DefaultBacklogBytes bounds the entries that wait to become durable.
	DefaultBacklogBytes = 64 << 20

	// A batch kept as a row takes one write. An object is put, committed and
	// some day deleted.
	inlineWrites = 1
	objectWrites = 3

	firstRetryWait = 20 * time.Millisecond
	lastRetryWait  = 2 * time.Second
	attemptLimit   = 10 * time.Second
)

// Lease is the right to commit.
type Lease interface {
	Commit(ctx context.Context, change leaser.Change) error
	Lease() leaser.Lease
}

// Committer implements sharder.Journal. Run must be running for entries to
// become durable.
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

// Option sets one property of a Committer.
type Option func(*Committer)

// WithInterval sets what gives the time to leave for each write to the store. It
// is asked before each commit, so that it may follow the instance's share of the
// writes; a batch that takes more writes is followed by a longer pause.
func WithInterval(interval func() time.Duration) Option {
	return func(c *Committer) { c.interval = interval }
}

// WithBatchBytes bounds the entries of one object; an Append that is larger
// alone still goes into one.
func WithBatchBytes(n int) Option { return func(c *Committer) { c.batchBytes = n } }

// WithInlineBytes bounds the batches that are kept as rows.
func WithInlineBytes(n int) Option { return func(c *Committer) { c.inlineBytes = n } }

// WithBacklogBytes sets the backlog from which on IsFull is true.
func WithBacklogBytes(n int) Option { return func(c *Committer) { c.backlogBytes = n } }

// WithLogger sets where events are logged.
func WithLogger(log *logger.Logger) Option { return func(c *Committer) { c.log = log } }

// New returns a Committer that commits under the lease, which must be acquired
// before Run.
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

// Append implements sharder.Journal. After a fence the entries are dropped.
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

// IsFull says whether the backlog has reached its bound; work that would append
// is then to be refused.
func (c *Committer) IsFull() bool { return c.Backlog() >= c.backlogBytes }

// LastSequence returns the sequence of the last Append.
func (c *Committer) LastSequence() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// BatchCount returns the number of batches committed by this generation.
func (c *Committer) BatchCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.batches
}

// Run commits batches until ctx ends or another generation holds the lease. It
// tells the machine of both.
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

// drain commits batches, an interval apart, until the queue is empty.
func (c *Committer) drain(ctx context.Context, machine sharder.StateMachine) error {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		started := time.Now()
		writes, err := c.commit(ctx, batch)
		if errors.Is(err, leaser.ErrFenced) {
			c.stop()
			machine.Fenced()
		}
		if err != nil {
			return err
		}
		last := batch[len(batch)-1].Sequence
		c.release(batch)
		machine.Committed(last)
		if !pause(ctx, time.Duration(writes)*c.interval()-time.Since(started)) {
			return ctx.Err()
		}
	}
}

// nextBatch returns the first records of the queue without taking them out.
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

// release takes committed records out of the queue.
func (c *Committer) release(batch []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range batch {
		c.backlog -= record.size()
	}
	c.queue = append([]Record(nil), c.queue[len(batch):]...)
	c.batches++
}

func (c *Committer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced = true
	c.queue = nil
	c.backlog = 0
}

// commit makes one batch durable and returns the writes that it takes. An object
// has the same key and content on every attempt, so that writing it again is
// harmless.
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
	advance := func(ctx context.Context) error { return c.lease.Commit(ctx, change) }
	return writes, c.retry(ctx, "Commit", advance)
}

// retry repeats the operation until it succeeds, ctx ends or the lease is lost.
func (c *Committer) retry(ctx context.Context, name string, operation func(context.Context) error) error {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstRetryWait
	waits.MaxInterval = lastRetryWait
	for attempt := 1; ; attempt++ {
		err := c.try(ctx, operation)
		if err == nil || errors.Is(err, leaser.ErrFenced) {
			return err
		}
		c.log.Log(eventCommitDelayed, "Operation", name, "Attempt", attempt, "Cause", err)
		if !pause(ctx, waits.NextBackOff()) {
			return ctx.Err()
		}
	}
}

func (c *Committer) try(ctx context.Context, operation func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	return operation(ctx)
}

// pause waits for d and says whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
