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
	firstSettleWait = 20 * time.Millisecond
	lastSettleWait  = time.Second
)

// attempt is one call of Commit, over all the times that it is sent.
type attempt struct {
	id     string
	change Change
	// first is when the commit was sent first; a renewal counts from there,
	// since any of the sends may be the one that took effect.
	first time.Time
	// doubtful is set once a send may have taken effect unnoticed.
	doubtful bool
	waits    *backoff.ExponentialBackOff
}

// Commit renews the lease and applies the change in one transaction. It returns
// storer.ErrConflict if a condition of the change failed, ErrFenced if another
// generation holds the lease, storer.ErrUnavailable if nothing was written, and
// storer.ErrInDoubt only if ctx ended before a lost answer could be settled.
func (l *Leaser) Commit(ctx context.Context, change Change) error {
	if err := l.lock(ctx); err != nil {
		return err
	}
	defer l.unlock()
	if l.Fenced() {
		return ErrFenced
	}
	a := &attempt{id: ulid.Make().String(), change: change, waits: newWaits()}
	for {
		done, err := l.send(ctx, a)
		if done {
			return err
		}
		if !pause(ctx, a.waits.NextBackOff()) {
			return a.unsettled(ctx)
		}
	}
}

// send sends the commit once and settles what became of it. It is done unless
// the commit is to be sent again.
func (l *Leaser) send(ctx context.Context, a *attempt) (bool, error) {
	next, commit, err := l.prepare(a)
	if err != nil {
		return true, err
	}
	sent := time.Now()
	if a.first.IsZero() {
		a.first = sent
	}
	result, err := l.table.Commit(ctx, commit)
	switch {
	case err == nil:
		l.adopt(next, result.Versions[Key(next.Instance)], a.first)
		return true, nil
	case errors.Is(err, storer.ErrConflict):
		return l.settle(ctx, a, true)
	case errors.Is(err, storer.ErrUnavailable):
		if !a.doubtful {
			return true, err
		}
		return false, nil
	default:
		a.doubtful = true
		return l.settle(ctx, a, false)
	}
}

func (l *Leaser) prepare(a *attempt) (Lease, storer.Commit, error) {
	l.mu.Lock()
	next, version := l.lease, l.version
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

// settle reads the row back after a conflict or a lost answer.
func (l *Leaser) settle(ctx context.Context, a *attempt, conflict bool) (bool, error) {
	row, err := l.readBack(ctx)
	if err != nil {
		return true, a.unsettledAfter(err, conflict)
	}
	held := l.Lease()
	found, err := decodeOrAbsent(row)
	if err != nil {
		return true, err
	}
	if found.Generation != held.Generation || found.Incarnation != held.Incarnation {
		return true, l.lose(row)
	}
	if found.CommitID == a.id {
		l.adopt(found, row.Version, a.first)
		return true, nil
	}
	if row.Version == l.knownVersion() {
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
	l.adopt(found, row.Version, time.Time{})
	return false, nil
}

func (l *Leaser) knownVersion() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// readBack reads the lease row until the store answers or ctx ends.
func (l *Leaser) readBack(ctx context.Context) (storer.Row, error) {
	waits := newWaits()
	key := Key(l.identity.Instance)
	for {
		rows, err := l.table.Read(storer.WithPriority(ctx, storer.PriorityLease), key)
		if err == nil {
			return rows[0], nil
		}
		if !pause(ctx, waits.NextBackOff()) {
			return storer.Row{}, err
		}
	}
}

func (a *attempt) unsettled(ctx context.Context) error {
	return a.unsettledAfter(ctx.Err(), false)
}

// unsettledAfter returns the error of a commit whose fate was not read back. A
// conflict that answers the only send proves that nothing was written.
func (a *attempt) unsettledAfter(err error, conflict bool) error {
	if conflict && !a.doubtful {
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

func newWaits() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstSettleWait
	waits.MaxInterval = lastSettleWait
	return waits
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
