// Package claimer owns the rows that say which instance orders an engine,
// under which fencing number, and which of its orders may still be under way.
// It does not own what is ordered, nor when.
package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/reconciler"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// KeyPrefix starts the key of every engine's row.
const KeyPrefix = "order/"

// ErrNotClaimed means that another instance orders the engine by now.
var ErrNotClaimed = errors.New("another instance orders the engine")

// Row is the value of an engine's row.
type Row struct {
	Endpoint string
	// Holder is the instance and generation that orders the engine.
	Holder string
	// Fence grows with every change of holder.
	Fence   int64
	Intents []reconciler.Intent
	// CommitID is the id of the commit that wrote the row last.
	CommitID string
}

// cachedRow is a row as this holder wrote or read it last.
type cachedRow struct {
	row     Row
	version int64
}

// Claimer implements reconciler.FenceSource and reconciler.IntentLog for one holder. It is
// safe for concurrent use.
type Claimer struct {
	table  storer.Table
	holder string

	mu   sync.Mutex
	rows map[string]cachedRow
}

var (
	_ reconciler.FenceSource = (*Claimer)(nil)
	_ reconciler.IntentLog   = (*Claimer)(nil)
)

// New returns a Claimer for the holder, which must be unique to a lease's generation.
func New(table storer.Table, holder string) *Claimer {
	return &Claimer{table: table, holder: holder, rows: map[string]cachedRow{}}
}

// Fence implements reconciler.FenceSource.
func (i *Claimer) Fence(endpoint string) (int64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h, ok := i.rows[endpoint]
	return h.row.Fence, ok
}

// Claim takes the right to order each of the endpoints and lets go of all others.
func (i *Claimer) Claim(ctx context.Context, endpoints []string) error {
	i.releaseExcept(endpoints)
	var errs []error
	for _, endpoint := range endpoints {
		if _, ok := i.Fence(endpoint); ok {
			continue
		}
		errs = append(errs, i.claim(ctx, endpoint))
	}
	return errors.Join(errs...)
}

func (i *Claimer) releaseExcept(keep []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for endpoint := range i.rows {
		if !slices.Contains(keep, endpoint) {
			delete(i.rows, endpoint)
		}
	}
}

// claim raises the fencing number. An answer that was lost is settled by the
// next try, which takes a number of its own.
func (i *Claimer) claim(ctx context.Context, endpoint string) error {
	h, err := i.readRow(ctx, endpoint)
	if err != nil {
		return err
	}
	h.row.Endpoint = endpoint
	h.row.Holder = i.holder
	h.row.Fence++
	return i.writeRow(ctx, h)
}

func (i *Claimer) readRow(ctx context.Context, endpoint string) (cachedRow, error) {
	rows, err := i.table.Read(ctx, KeyPrefix+endpoint)
	if err != nil {
		return cachedRow{}, eris.Wrap(err, "read order row")
	}
	h := cachedRow{version: rows[0].Version}
	if h.version == 0 {
		return h, nil
	}
	return h, eris.Wrapf(json.Unmarshal(rows[0].Value, &h.row), "decode order row of %s", endpoint)
}

// writeRow makes the row durable if nobody else has written it, and remembers it.
func (i *Claimer) writeRow(ctx context.Context, h cachedRow) error {
	h.row.CommitID = ulid.Make().String()
	value, err := json.Marshal(h.row)
	if err != nil {
		return eris.Wrap(err, "encode order row")
	}
	key := KeyPrefix + h.row.Endpoint
	result, err := i.table.Commit(ctx, storer.Commit{
		ID:         h.row.CommitID,
		Conditions: []storer.Condition{{Key: key, Version: h.version}},
		Writes:     []storer.Write{{Key: key, Value: value}},
	})
	if err != nil {
		i.release(h.row.Endpoint)
		return eris.Wrap(err, "write order row")
	}
	h.version = result.Versions[key]
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rows[h.row.Endpoint] = h
	return nil
}

// release gives the right up after a failed write; Hold takes it anew under a
// higher number.
func (i *Claimer) release(endpoint string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.rows, endpoint)
}

// editIntents edits the intents of an engine that this holder orders.
func (i *Claimer) editIntents(ctx context.Context, endpoint string, edit func([]reconciler.Intent) []reconciler.Intent) error {
	i.mu.Lock()
	h, ok := i.rows[endpoint]
	i.mu.Unlock()
	if !ok {
		return eris.Wrap(ErrNotClaimed, endpoint)
	}
	h.row.Intents = edit(slices.Clone(h.row.Intents))
	return i.writeRow(ctx, h)
}

// Record implements reconciler.IntentLog.
func (i *Claimer) Record(ctx context.Context, intent reconciler.Intent) error {
	return i.editIntents(ctx, intent.Endpoint, func(intents []reconciler.Intent) []reconciler.Intent {
		return append(intents, intent)
	})
}

// Pending implements reconciler.IntentLog.
func (i *Claimer) Pending(ctx context.Context, endpoint string) ([]reconciler.Intent, error) {
	h, err := i.readRow(ctx, endpoint)
	return h.row.Intents, err
}

// Remove implements reconciler.IntentLog.
func (i *Claimer) Remove(ctx context.Context, endpoint string, fence int64) error {
	return i.editIntents(ctx, endpoint, func(intents []reconciler.Intent) []reconciler.Intent {
		return slices.DeleteFunc(intents, func(intent reconciler.Intent) bool { return intent.Order.Fence <= fence })
	})
}
