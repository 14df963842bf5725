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

// operation is one call of Commit, including its retries.
type operation struct {
	id     string
	change Change
	// firstSent is the time of the first attempt. A renewal counts from it, because
	// any of the attempts may be the one that took effect.
	firstSent time.Time
	// inDoubt is set once an attempt may have taken effect although its response
	// was lost.
	inDoubt bool
	delays  *backoff.ExponentialBackOff
}

// Commit renews the lease and applies the change in one transaction. It returns
// storer.ErrConflict if a condition of the change failed, ErrFenced if another
// generation holds the lease, storer.ErrUnavailable if nothing was written, and
// storer.ErrInDoubt only if ctx was done before the outcome could be determined
// after a lost response.
func (l *Leaser) Commit(ctx context.Context, change Change) error {
	if err := l.acquireSlot(ctx); err != nil {
		return err
	}
	defer l.releaseSlot()
	if l.Fenced() {
		return ErrFenced
	}
	o := &operation{id: ulid.Make().String(), change: change, delays: newRetryDelays()}
	for {
		done, err := l.send(ctx, o)
		if done {
			return err
		}
		if !sleep(ctx, o.delays.NextBackOff()) {
			return o.contextError(ctx)
		}
	}
}

// send makes one attempt and determines its outcome. It returns false if the
// commit must be retried.
func (l *Leaser) send(ctx context.Context, o *operation) (bool, error) {
	next, commit, err := l.prepare(o)
	if err != nil {
		return true, err
	}
	sent := time.Now()
	if o.firstSent.IsZero() {
		o.firstSent = sent
	}
	result, err := l.table.Commit(ctx, commit)
	switch {
	case err == nil:
		l.setConfirmed(next, result.Versions[Key(next.Instance)], o.firstSent)
		return true, nil
	case errors.Is(err, storer.ErrConflict):
		return l.resolve(ctx, o, true)
	case errors.Is(err, storer.ErrUnavailable):
		if !o.inDoubt {
			return true, err
		}
		return false, nil
	default:
		o.inDoubt = true
		return l.resolve(ctx, o, false)
	}
}

func (l *Leaser) prepare(o *operation) (Lease, storer.Commit, error) {
	l.mu.Lock()
	next, version := l.lease, l.rowVersion
	l.mu.Unlock()
	next.CommitID = o.id
	next.Head = max(next.Head, o.change.Head)
	if o.change.State != "" {
		next.State = o.change.State
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Lease{}, storer.Commit{}, eris.Wrap(err, "encode lease")
	}
	key := Key(next.Instance)
	commit := storer.Commit{
		ID:         o.id,
		Conditions: append([]storer.Condition{{Key: key, Version: version}}, o.change.Conditions...),
		Writes:     append([]storer.Write{{Key: key, Value: value}}, o.change.Writes...),
	}
	return next, commit, nil
}

// resolve reads the lease row to determine the outcome of an attempt after a
// conflict or a lost response. It returns false if the commit must be retried.
func (l *Leaser) resolve(ctx context.Context, o *operation, conflict bool) (bool, error) {
	row, err := l.readRow(ctx)
	if err != nil {
		return true, o.unresolvedError(err, conflict)
	}
	held := l.Lease()
	found, err := decodeOrAbsent(row)
	if err != nil {
		return true, err
	}
	if found.Generation != held.Generation || found.Incarnation != held.Incarnation {
		return true, l.markFenced(row)
	}
	if found.CommitID == o.id {
		l.setConfirmed(found, row.Version, o.firstSent)
		return true, nil
	}
	if row.Version == l.confirmedVersion() {
		// The row is unchanged. After a conflict, another condition failed, and it
		// fails on every retry because versions only increase. After a lost
		// response, the write may still take effect later; retrying against the
		// same version is safe because at most one of the two can succeed.
		if conflict {
			return true, storer.ErrConflict
		}
		return false, nil
	}
	// An earlier commit that had returned ErrInDoubt has taken effect.
	l.setConfirmed(found, row.Version, time.Time{})
	return false, nil
}

func (l *Leaser) confirmedVersion() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rowVersion
}

// readRow reads the lease row, retrying until the read succeeds or ctx is done.
func (l *Leaser) readRow(ctx context.Context) (storer.Row, error) {
	delays := newRetryDelays()
	key := Key(l.identity.Instance)
	for {
		rows, err := l.table.Read(storer.WithPriority(ctx, storer.PriorityLease), key)
		if err == nil {
			return rows[0], nil
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return storer.Row{}, err
		}
	}
}

func (o *operation) contextError(ctx context.Context) error {
	return o.unresolvedError(ctx.Err(), false)
}

// unresolvedError returns the error of a commit whose outcome could not be read. If
// no attempt is in doubt, a conflict proves that nothing was written.
func (o *operation) unresolvedError(err error, conflict bool) error {
	if conflict && !o.inDoubt {
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
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	return delays
}

// sleep waits for d and returns false if ctx is done first.
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
