// Package leaser owns the lease of an instance: the table row that says which
// generation of the instance may commit, its renewal, and how another instance
// takes it away. It does not own what is committed with the lease, nor which
// shards the lease covers.
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

// The defaults of a lease.
const (
	DefaultTTL    = 5 * time.Second
	DefaultMargin = time.Second
)

const (
	// KeyPrefix starts the key of every lease row.
	KeyPrefix = "lease/"
	// ClosedGenerationPrefix starts the key of every row that records a closed generation.
	ClosedGenerationPrefix = "generation/"
	// renewalsPerTTL is how often an idle lease is renewed within its TTL.
	renewalsPerTTL = 3
)

// ErrFenced means that another generation holds the lease; it is final.
var ErrFenced = errors.New("the lease is held by another generation")

// State is the state of a lease row.
type State string

// The states of a lease row.
const (
	// Live is the state of a serving instance.
	Live State = "Live"
	// Leaving is the state of an instance that hands its shards over.
	Leaving State = "Leaving"
	// Released is the state of an instance that handed everything over.
	Released State = "Released"
	// Fenced is the state of a row that another instance took away.
	Fenced State = "Fenced"
)

// Lease is the value of a lease row.
type Lease struct {
	Instance string
	// Incarnation is unique per start of the process.
	Incarnation string
	// Generation grows with every change of holder, also after the row was deleted.
	Generation int64
	// Address is host:port of the holder's peer listener.
	Address    string
	DataCentre string
	// Head is the last committed journal sequence of the generation.
	Head  int64
	State State
	// CommitID is the id of the commit that wrote the row last.
	CommitID string
	// DocumentVersion is the version in force on the holder.
	DocumentVersion int64
}

// Change is what one commit does besides renewing the lease.
type Change struct {
	// Head raises the lease's Head if it is greater.
	Head int64
	// State is set unless it is empty.
	State      State
	Conditions []storer.Condition
	Writes     []storer.Write
}

// Leaser holds the lease of this instance. Its commits run one at a time.
type Leaser struct {
	table    storer.Table
	log      *logger.Logger
	ttl      time.Duration
	identity Lease

	commitSlot chan struct{}

	mu          sync.Mutex
	lease       Lease
	rowVersion  int64
	lastRenewal time.Time
	fenced      bool
}

// Option sets one property of a Leaser.
type Option func(*Leaser)

// WithTTL sets how long a renewal keeps the lease confirmed.
func WithTTL(ttl time.Duration) Option { return func(l *Leaser) { l.ttl = ttl } }

// WithLogger sets where events are logged.
func WithLogger(log *logger.Logger) Option { return func(l *Leaser) { l.log = log } }

// New returns a Leaser for the instance; it holds nothing before Acquire.
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

// Decode reads the value of a lease row.
func Decode(row storer.Row) (Lease, error) {
	var lease Lease
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return Lease{}, eris.Wrapf(err, "decode lease row %s", row.Key)
	}
	return lease, nil
}

// Run renews the lease while it is idle. It returns ErrFenced once another
// generation holds the lease, and the context's error when ctx ends.
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

// SetDocumentVersion sets the version that the next commit reports.
func (l *Leaser) SetDocumentVersion(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.DocumentVersion = max(l.lease.DocumentVersion, version)
}

// Lease returns the row's value as last confirmed.
func (l *Leaser) Lease() Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease
}

// Head returns the last committed journal sequence.
func (l *Leaser) Head() int64 { return l.Lease().Head }

// Age returns the time since the last confirmed renewal was sent.
func (l *Leaser) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastRenewal)
}

// Valid says whether the lease is held and was renewed within its TTL. Within
// that time no other instance can have taken it.
func (l *Leaser) Valid(now time.Time) bool {
	return !l.Fenced() && l.Age(now) < l.ttl
}

// Confirmed is Valid at the present time.
func (l *Leaser) Confirmed() bool { return l.Valid(time.Now()) }

// Fenced says whether another generation is known to hold the lease.
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
