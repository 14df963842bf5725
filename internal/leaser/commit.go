package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
)

// operation is one call of Commit, over all the times that it is sent.
type operation struct {
	id     string
	change Change
	// firstSent is when the commit was sent firstSent; a renewal counts from there,
	// since any of the sends may be the one that took effect.
	firstSent time.Time
	// inDoubt is set once a send may have taken effect unnoticed.
	inDoubt bool
	delays  *backoff.ExponentialBackOff
}

// Commit renews the lease and applies the change in one transaction. It returns
// storer.ErrConflict if a condition of the change failed, ErrFenced if another
// generation holds the lease, storer.ErrUnavailable if nothing was written, and
// storer.ErrInDoubt only if ctx ended before a lost answer could be settled.
func (l *Leaser) Commit(ctx context.Context, change Change) error {
	if err := l.acquireSlot(ctx); err != nil {
		return err
	}
	defer l.releaseSlot()
	if l.Fenced() {
		return ErrFenced
	}
	a := &operation{id: ulid.Make().String(), change: change, delays: newRetryDelays()}
	for {
		done, err := l.send(ctx, a)
		if done {
			return err
		}
		if !sleep(ctx, a.delays.NextBackOff()) {
			return a.contextError(ctx)
		}
	}
}

// send sends the commit once and settles what became of it. It is done unless
// the commit is to be sent again.
func (l *Leaser) send(ctx context.Context, a *operation) (bool, error) {
	next, commit, err := l.prepare(a)
	if err != nil {
		return true, err
	}
	sent := time.Now()
	if a.firstSent.IsZero() {
		a.firstSent = sent
	}
	result, err := l.table.Commit(ctx, commit)
	switch {
	case err == nil:
		l.setConfirmed(next, result.Versions[Key(next.Instance)], a.firstSent)
		return true, nil
	case errors.Is(err, storer.ErrConflict):
		return l.resolve(ctx, a, true)
	case errors.Is(err, storer.ErrUnavailable):
		if !a.inDoubt {
			return true, err
		}
		return false, nil
	default:
		a.inDoubt = true
		return l.resolve(ctx, a, false)
	}
}

func (l *Leaser) prepare(a *operation) (Lease, storer.Commit, error) {
	l.mu.Lock()
	next, version := l.lease, l.rowVersion
	l.mu.Unlock()
	next.CommitID = a.id
	next.Head = max(next.Head, a.change.Head)
	if a.change.State != "" {
		next.State = a.change.State
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Lease{}, storer.Commit{}, eris.Wrap(err, "encode lease")
	}
	key := Key(next.Instance)
	commit := storer.Commit{
		ID:         a.id,
		Conditions: append([]storer.Condition{{Key: key, Version: version}}, a.change.Conditions...),
		Writes:     append([]storer.Write{{Key: key, Value: value}}, a.change.Writes...),
	}
	return next, commit, nil
}

// resolve reads the row back after a conflict or a lost answer.
func (l *Leaser) resolve(ctx context.Context, a *operation, conflict bool) (bool, error) {
	row, err := l.readRow(ctx)
	if err != nil {
		return true, a.unresolvedError(err, conflict)
	}
	held := l.Lease()
	found, err := decodeOrAbsent(row)
	if err != nil {
		return true, err
	}
	if found.Generation != held.Generation || found.Incarnation != held.Incarnation {
		return true, l.markFenced(row)
	}
	if found.CommitID == a.id {
		l.setConfirmed(found, row.Version, a.firstSent)
		return true, nil
	}
	if row.Version == l.confirmedVersion() {
		// The row is unchanged. After a conflict some other condition failed and
		// fails for good, since versions only grow. After a lost answer the write
		// may still arrive late; a second one against the same version decides,
		// because at most one of the two can take effect.
		if conflict {
			return true, storer.ErrConflict
		}
		return false, nil
	}
	// An earlier commit, abandoned in doubt, took effect after all.
	l.setConfirmed(found, row.Version, time.Time{})
	return false, nil
}

func (l *Leaser) confirmedVersion() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rowVersion
}

// readRow reads the lease row until the store answers or ctx ends.
func (l *Leaser) readRow(ctx context.Context) (storer.Row, error) {
	waits := newRetryDelays()
	key := Key(l.identity.Instance)
	for {
		rows, err := l.table.Read(storer.WithPriority(ctx, storer.PriorityLease), key)
		if err == nil {
			return rows[0], nil
		}
		if !sleep(ctx, waits.NextBackOff()) {
			return storer.Row{}, err
		}
	}
}

func (a *operation) contextError(ctx context.Context) error {
	return a.unresolvedError(ctx.Err(), false)
}

// unresolvedError returns the error of a commit whose fate was not read back. A
// conflict that answers the only send proves that nothing was written.
func (a *operation) unresolvedError(err error, conflict bool) error {
	if conflict && !a.inDoubt {
		return fmt.Errorf("%w: %w", storer.ErrConflict, err)
	}
	return fmt.Errorf("%w: %w", storer.ErrInDoubt, err)
}

func decodeOrAbsent(row storer.Row) (Lease, error) {
	if row.Version == 0 {
		return Lease{}, nil
	}
	return Decode(row)
}

func newRetryDelays() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = initialRetryDelay
	waits.MaxInterval = maxRetryDelay
	return waits
}

// sleep waits for d and says whether ctx still runs.
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
