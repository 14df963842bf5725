// Package sharder owns the contract between the layer that decides which shards
// this instance owns and the machine that serves them. It does not own either.
package sharder

import "context"

// Entry is one durable record of a shard.
type Entry struct {
	Shard int
	Body  []byte
}

// Journal makes records durable in order by group commit.
type Journal interface {
	// Append queues the entries and returns the sequence that they will have.
	// Entries of one call are made durable together. The journal calls the
	// machine's Committed once they are, or Fenced if they never will be.
	Append(entries []Entry) int64
	// Backlog returns the number of bytes that are not yet durable.
	Backlog() int
}

// StateMachine serves the shards that the instance owns. Calls may come from any goroutine.
type StateMachine interface {
	// Restore installs a shard's durable state; the shard is served from its
	// return on. Snapshot is nil for a shard that never had one.
	Restore(ctx context.Context, shard int, snapshot []byte, entries []Entry) error
	// Snapshot returns the shard's durable state, including all entries up to
	// the sequence returned and none after it.
	Snapshot(ctx context.Context, shard int) (body []byte, sequence int64, err error)
	// Release stops admitting work of the shard and returns once nothing of it
	// is in flight and all its entries are durable; ctx bounds the wait, after
	// which what is still in flight is cut. The shard is gone at its return.
	Release(ctx context.Context, shard int) error
	// Committed says that all entries up to the sequence are durable.
	Committed(sequence int64)
	// Fenced says that another instance has taken over; nothing more can be
	// made durable and all shards are gone.
	Fenced()
}

// Placement says who owns a shard.
type Placement struct {
	Instance string
	// Address is host:port of the owner's peer listener.
	Address string
	// Local is true if this instance owns the shard and has restored it.
	Local bool
	// Ready is false while the shard is moving.
	Ready bool
}

// Locator answers where a shard is.
type Locator interface {
	Locate(shard int) Placement
}
