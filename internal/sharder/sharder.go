// Package sharder defines the interfaces between shard placement, which assigns the
// shards to instances, the journal, and the state machine that serves the shards.
package sharder

import "context"

// Entry is one durable record of a shard.
type Entry struct {
	Shard int
	Body  []byte
}

// Journal makes entries durable, in order, by group commit.
type Journal interface {
	// Append queues the entries and returns the sequence assigned to them. The
	// entries of one call become durable together. The journal then calls
	// StateMachine.Committed, or StateMachine.Fenced if they never become durable.
	Append(entries []Entry) int64
	// Backlog returns the size in bytes of the entries that are not yet durable.
	Backlog() int
}

// StateMachine serves the shards that the instance owns. It must be safe for
// concurrent use.
type StateMachine interface {
	// Restore installs a shard's durable state: a snapshot, and the entries after
	// it. The shard is served once Restore has returned. The snapshot is nil for a
	// shard that never had one.
	Restore(ctx context.Context, shard int, snapshot []byte, entries []Entry) error
	// Snapshot returns the shard's durable state. It includes exactly the entries
	// up to the sequence returned.
	Snapshot(ctx context.Context, shard int) (body []byte, sequence int64, err error)
	// Release stops admitting requests for the shard and waits until none is in
	// flight and all its entries are durable. When ctx is done, requests still in
	// flight are aborted. After Release returns, the shard is no longer served.
	Release(ctx context.Context, shard int) error
	// Committed reports that all entries up to the sequence are durable.
	Committed(sequence int64)
	// Fenced reports that another generation holds the lease: no further entry
	// becomes durable, and the instance no longer owns any shard.
	Fenced()
}

// Placement describes which instance owns a shard.
type Placement struct {
	Instance string
	// Address is the host:port of the owner's peer listener.
	Address string
	// Local is true if this instance owns the shard and has restored it.
	Local bool
	// Ready is false while the shard is moving between instances.
	Ready bool
}

// Locator looks up the placement of a shard.
type Locator interface {
	Locate(shard int) Placement
}
