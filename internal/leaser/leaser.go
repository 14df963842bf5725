// Package leaser implements the lease of an instance: a table row that names the
// generation of the instance that may commit. A Leaser acquires and renews the lease
// and commits changes in the transaction that renews it. An Observer detects expired
// leases of other instances, which Leaser.Fence revokes.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// DefaultTTL is the default time for which a renewal keeps a lease valid.
	DefaultTTL = 5 * time.Second
	// DefaultMargin is the default time that must pass after the TTL before another
	// instance considers a lease expired.
	DefaultMargin = time.Second
)

const (
	// KeyPrefix is the prefix of the keys of lease rows.
	KeyPrefix = "lease/"
	// ClosedGenerationPrefix is the prefix of the keys of closed generations' records.
	ClosedGenerationPrefix = "generation/"
	// renewalsPerTTL is the number of renewals of an idle lease per TTL.
	renewalsPerTTL = 3
)

// ErrFenced means that another generation holds the lease. It is permanent.
var ErrFenced = errors.New("the lease is held by another generation")

// State is the state of a lease row.
type State string

// The states of a lease row.
const (
	// Live means that the instance serves shards.
	Live State = "Live"
	// Leaving means that the instance is handing over its shards.
	Leaving State = "Leaving"
	// Released means that the instance has handed over all its shards.
	Released State = "Released"
	// Fenced means that another instance has revoked the lease.
	Fenced State = "Fenced"
)

// Lease is the value of a lease row.
type Lease struct {
	Instance string
	// Incarnation is unique per start of the process.
	Incarnation string
	// Generation increases with every change of holder, even if the row was deleted
	// in between.
	Generation int64
	// Address is the host:port of the holder's peer listener.
	Address    string
	DataCentre string
	// Head is the generation's last committed journal sequence.
	Head  int64
	State State
	// CommitID is the ID of the commit that last wrote the row.
	CommitID string
	// DocumentVersion is the document version in force on the holder.
	DocumentVersion int64
}

// Change is what a commit changes besides renewing the lease.
type Change struct {
	// Head is the new Head of the lease; a lower one than the current is ignored.
	Head int64
	// State is the new State of the lease; if empty, the state is unchanged.
	State      State
	Conditions []storer.Condition
	Writes     []storer.Write
}

// Leaser holds the lease of this instance. It is safe for concurrent use; commits
// are serialized.
type Leaser struct {
	table    storer.Table
	log      *logger.Logger
	ttl      time.Duration
	identity Lease

	// commitSlot serializes commits. It has capacity 1 and contains a value while a
	// commit is in progress.
	commitSlot chan struct{}

	mu          sync.Mutex
	lease       Lease
	rowVersion  int64
	lastRenewal time.Time
	fenced      bool
}

// Option configures a Leaser.
type Option func(*Leaser)

// WithTTL sets the time for which a renewal keeps the lease valid.
func WithTTL(ttl time.Duration) Option { return func(l *Leaser) { l.ttl = ttl } }

// WithLogger sets the logger; the default discards all events.
func WithLogger(log *logger.Logger) Option { return func(l *Leaser) { l.log = log } }

// New returns a Leaser for the instance. It does not hold the lease until Acquire
// has returned nil.
func New(table storer.Table, instance, address, dataCentre string, options ...Option) *Leaser {
	l := &Leaser{
		table: table,
		log:   logger.Discard(),
		ttl:   DefaultTTL,
		identity: Lease{
			Instance:    instance,
			Incarnation: ulid.Make().String(),
			Address:     address,
			DataCentre:  dataCentre,
			State:       Live,
		},
		commitSlot: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Key returns the key of the instance's lease row.
func Key(instance string) string { return KeyPrefix + instance }

// Decode decodes the value of a lease row.
func Decode(row storer.Row) (Lease, error) {
	var lease Lease
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return Lease{}, eris.Wrapf(err, "decode lease row %s", row.Key)
	}
	return lease, nil
}

// Run renews the lease when no commit has done so recently. It returns ErrFenced
// once another generation holds the lease, or the error of ctx when ctx is done.
func (l *Leaser) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := l.renewIfIdle(ctx); errors.Is(err, ErrFenced) {
			return ErrFenced
		}
	}
}

func (l *Leaser) renewIfIdle(ctx context.Context) error {
	if l.Age(time.Now()) < l.ttl/renewalsPerTTL {
		return nil
	}
	ctx, cancel := context.WithTimeout(storer.WithPriority(ctx, storer.PriorityLease), l.ttl)
	defer cancel()
	return l.Commit(ctx, Change{})
}

// SetDocumentVersion sets the document version that the next commit writes, unless
// it is lower than the current one.
func (l *Leaser) SetDocumentVersion(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.DocumentVersion = max(l.lease.DocumentVersion, version)
}

// Lease returns the last confirmed value of the lease row.
func (l *Leaser) Lease() Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease
}

// Head returns the last committed journal sequence.
func (l *Leaser) Head() int64 { return l.Lease().Head }

// Age returns the time since the last confirmed renewal was sent. A renewal counts
// from when it was sent, because other instances observe it only later.
func (l *Leaser) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastRenewal)
}

// Valid reports whether the lease is held and was renewed within its TTL. Within
// that time no other instance can have fenced it.
func (l *Leaser) Valid(now time.Time) bool {
	return !l.Fenced() && l.Age(now) < l.ttl
}

// Confirmed reports whether the lease is valid now.
func (l *Leaser) Confirmed() bool { return l.Valid(time.Now()) }

// Fenced reports whether another generation is known to hold the lease.
func (l *Leaser) Fenced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fenced
}

func (l *Leaser) acquireSlot(ctx context.Context) error {
	select {
	case l.commitSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
	}
}

func (l *Leaser) releaseSlot() { <-l.commitSlot }

// setConfirmed records the confirmed value and version of the lease row. A zero or
// earlier renewal time leaves that of the last renewal unchanged.
func (l *Leaser) setConfirmed(lease Lease, version int64, renewed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease.DocumentVersion = max(lease.DocumentVersion, l.lease.DocumentVersion)
	l.lease = lease
	l.rowVersion = version
	if renewed.After(l.lastRenewal) {
		l.lastRenewal = renewed
	}
}

func (l *Leaser) markFenced(row storer.Row) error {
	l.mu.Lock()
	l.fenced = true
	held := l.lease
	l.mu.Unlock()
	l.log.Log(eventFenced, "Instance", held.Instance, "Generation", held.Generation, "RowVersion", row.Version)
	return ErrFenced
}
