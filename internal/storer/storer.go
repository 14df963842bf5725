// Package storer owns the contract with the platform's table service and
// object store, and the errors that tell a refused write from one in doubt.
// It does not own what is kept in a row or an object.
package storer

import (
	"context"
	"errors"
)

// Row is one row of the table service. Version is raised by every write of the
// row, never used again after a delete, and zero for an absent row.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Condition holds when the row has exactly this version; zero means absent.
type Condition struct {
	Key     string
	Version int64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Commit is one transaction: all writes take effect together when all
// conditions hold, or none does.
type Commit struct {
	// ID is unique per commit; the service keeps nothing by it. Rows that must
	// be settled after a lost answer carry it in their value.
	ID         string
	Conditions []Condition
	Writes     []Write
}

// Result gives the new version of each written row, by key; a deleted row is absent.
type Result struct {
	Versions map[string]int64
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit returns ErrConflict if a condition failed (nothing was written),
	// ErrUnavailable if the write was not sent, and ErrInDoubt if it may have
	// taken effect.
	Commit(ctx context.Context, commit Commit) (Result, error)
	// Read returns the rows in the order of the keys; an absent row has Version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns rows whose key starts with prefix, in key order, after the key given.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put writes a whole object; writing the same key again replaces it.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns ErrNotFound for an absent object.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object; deleting an absent one is not an error.
	Delete(ctx context.Context, key string) error
	// List returns the keys that start with prefix, in key order.
	List(ctx context.Context, prefix string, limit int) ([]string, error)
}

// Listing is one entry of the platform's lagging list of instances.
type Listing struct {
	Instance string
	// Address is host:port of the instance's peer listener.
	Address    string
	DataCentre string
	// Leaving is true once the platform has begun to stop the instance.
	Leaving bool
}

// Lister is the platform's lagging list of live and leaving instances.
type Lister interface {
	Instances(ctx context.Context) ([]Listing, error)
}

// The errors of the store, told apart with errors.Is.
var (
	// ErrConflict means that a condition failed and nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrNotFound means that the object is absent.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the request was not run by the store.
	ErrUnavailable = errors.New("store unavailable, not run")
	// ErrInDoubt means that the write may or may not have taken effect.
	ErrInDoubt = errors.New("store write in doubt")
)

// Priority orders requests to the store when its rate limit is reached.
type Priority int

// The priorities, the most urgent first.
const (
	PriorityLease Priority = iota
	PriorityCommit
	PriorityDocument
	PrioritySweep
)

type priorityKey struct{}

// WithPriority returns a context whose store requests have the priority.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// PriorityOf returns the context's priority, PriorityCommit by default.
func PriorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityCommit
}
