// Package storer defines the interfaces and wire types of the platform's table
// service, object store and row store, and the errors that distinguish a refused
// write from one in doubt.
package storer

import (
	"context"
	"errors"
)

// Row is one row of the table service. Version increases with every write of the
// row, is never reused after a delete, and is zero for an absent row.
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
	// ID is unique per commit. The service does not store it; rows whose write
	// must be verified after a lost response carry it in their value.
	ID         string
	Conditions []Condition
	Writes     []Write
}

// Result maps the key of each written row to its new version; deleted rows are
// absent.
type Result struct {
	Versions map[string]int64
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit returns ErrConflict if a condition failed (nothing was written),
	// ErrUnavailable if the write was not sent, and ErrInDoubt if it may have
	// taken effect.
	Commit(ctx context.Context, commit Commit) (Result, error)
	// Read returns the rows in the order of the keys. An absent row has Version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is greater
	// than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put writes an object, replacing any object with the same key.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns ErrNotFound for an absent object.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object. Deleting an absent object is not an error.
	Delete(ctx context.Context, key string) error
	// List returns up to limit keys that start with prefix, in key order.
	List(ctx context.Context, prefix string, limit int) ([]string, error)
}

// Listing is one entry of the platform's list of instances.
type Listing struct {
	Instance string
	// Address is the host:port of the instance's peer listener.
	Address    string
	DataCentre string
	// Leaving is set once the platform has begun to stop the instance.
	Leaving bool
}

// Lister returns the platform's list of live and leaving instances. The list is
// eventually consistent.
type Lister interface {
	Instances(ctx context.Context) ([]Listing, error)
}

// The errors of the store, for use with errors.Is.
var (
	// ErrConflict means that a condition failed and nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrNotFound means that the object is absent.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the store did not run the request.
	ErrUnavailable = errors.New("store unavailable, not run")
	// ErrInDoubt means that the write may or may not have taken effect.
	ErrInDoubt = errors.New("store write in doubt")
)

// Priority orders requests to the store that wait for its rate limit.
type Priority int

// The priorities, highest first.
const (
	PriorityLease Priority = iota
	PriorityCommit
	PriorityDocument
	PrioritySweep
)

type priorityKey struct{}

// WithPriority returns a context that gives its store requests the priority.
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
