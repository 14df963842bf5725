package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// ClosedGeneration is the record of a generation that can no longer commit.
type ClosedGeneration struct {
	Instance   string
	Generation int64
	// Head is the last journal sequence that was committed.
	Head int64
}

// ClosedGenerationKey returns the key of the record of a closed generation.
func ClosedGenerationKey(instance string, generation int64) string {
	return fmt.Sprintf("%s%s/%020d", ClosedGenerationPrefix, instance, generation)
}

// Acquire acquires the lease under a new generation and closes the previous one. It
// retries until ctx is done. The number of a generation is the version of the row
// that the acquiring write replaced, so it increases even if the row was deleted in
// between.
func (l *Leaser) Acquire(ctx context.Context) error {
	ctx = storer.WithPriority(ctx, storer.PriorityLease)
	delays := newRetryDelays()
	for {
		done, err := l.acquireOnce(ctx)
		if done || errors.Is(err, errMalformed) {
			return err
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return eris.Wrap(ctx.Err(), "acquire the lease")
		}
	}
}

var errMalformed = errors.New("malformed lease row")

func (l *Leaser) acquireOnce(ctx context.Context) (bool, error) {
	if err := l.acquireSlot(ctx); err != nil {
		return false, err
	}
	defer l.releaseSlot()
	row, err := l.readRow(ctx)
	if err != nil {
		return false, err
	}
	old, err := decodeOrAbsent(row)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if old.Incarnation == l.identity.Incarnation && old.Generation != 0 {
		// An earlier attempt took effect, but its response was lost.
		l.setConfirmed(old, row.Version, time.Time{})
		return true, nil
	}
	next := l.identity
	if row.Version == 0 {
		// The row must exist before its version can be used as a generation.
		next = Lease{Instance: l.identity.Instance, State: Released}
	}
	next.Generation = row.Version
	next.CommitID = ulid.Make().String()
	sent := time.Now()
	result, err := l.table.Commit(ctx, newTakeover(row, old, next))
	if err != nil || row.Version == 0 {
		return false, err
	}
	l.setConfirmed(next, result.Versions[row.Key], sent)
	return true, nil
}

// Fence revokes the lease of another instance, given its row as last read. It
// returns nil if the generation in the row is closed, whichever instance closed it,
// and storer.ErrConflict if the holder has renewed the lease since. Callers must
// first check that the lease has expired, using an Observer, or was released.
func (l *Leaser) Fence(ctx context.Context, row storer.Row) error {
	holder, err := Decode(row)
	if err != nil {
		return err
	}
	next := holder
	next.Incarnation = ""
	next.Generation = row.Version
	next.Head = 0
	next.State = Fenced
	next.CommitID = ulid.Make().String()
	_, err = l.table.Commit(ctx, newTakeover(row, holder, next))
	if err == nil {
		l.log.Log(eventLeaseTaken, "Instance", holder.Instance, "Generation", holder.Generation, "Head", holder.Head)
		return nil
	}
	if errors.Is(err, storer.ErrUnavailable) {
		return err
	}
	_, closed, readErr := ReadClosedGeneration(ctx, l.table, holder.Instance, holder.Generation)
	if readErr != nil {
		return fmt.Errorf("%w: %w", err, readErr)
	}
	if closed {
		return nil
	}
	return err
}

// ReadClosedGeneration reports whether the generation is closed and, if so, returns
// its record.
func ReadClosedGeneration(ctx context.Context, table storer.Table, instance string, generation int64) (ClosedGeneration, bool, error) {
	rows, err := table.Read(ctx, Key(instance), ClosedGenerationKey(instance, generation))
	if err != nil {
		return ClosedGeneration{}, false, err
	}
	holder, err := decodeOrAbsent(rows[0])
	if err != nil {
		return ClosedGeneration{}, false, err
	}
	if holder.Generation == generation && rows[0].Version != 0 {
		return ClosedGeneration{}, false, nil
	}
	if rows[1].Version == 0 {
		return ClosedGeneration{}, false, eris.Errorf("generation %d of %s is closed but has no record", generation, instance)
	}
	closed, err := DecodeClosedGeneration(rows[1])
	return closed, err == nil, err
}

// DecodeClosedGeneration decodes the record of a closed generation.
func DecodeClosedGeneration(row storer.Row) (ClosedGeneration, error) {
	var closed ClosedGeneration
	if err := json.Unmarshal(row.Value, &closed); err != nil {
		return ClosedGeneration{}, eris.Wrapf(err, "decode %s", row.Key)
	}
	return closed, nil
}

// newTakeover returns the commit that changes the holder of a lease row and records
// the previous generation as closed.
func newTakeover(row storer.Row, old, next Lease) storer.Commit {
	commit := storer.Commit{
		ID:         next.CommitID,
		Conditions: []storer.Condition{{Key: Key(next.Instance), Version: row.Version}},
		Writes:     []storer.Write{{Key: Key(next.Instance), Value: encode(next)}},
	}
	if old.Generation != 0 {
		closed := ClosedGeneration{Instance: old.Instance, Generation: old.Generation, Head: old.Head}
		commit.Writes = append(commit.Writes, storer.Write{
			Key:   ClosedGenerationKey(old.Instance, old.Generation),
			Value: encode(closed),
		})
	}
	return commit
}

// encode returns the JSON encoding of a Lease or a ClosedGeneration, which never
// fails.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "encode a lease"))
	}
	return body
}
