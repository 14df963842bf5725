// Package claimer claims engines for an instance. It stores one row per engine
// with the instance that may order it, the fencing number of the claim, and the
// intents of orders that may still be in flight. Package reconciler decides
// which orders are sent.
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

// KeyPrefix is the prefix of the keys of all engines' rows.
const KeyPrefix = "order/"

// ErrNotClaimed means that this holder has no claim on the engine, because it made
// none or because a write of the engine's row failed.
var ErrNotClaimed = errors.New("engine is not claimed by this instance")

// Row is the value stored for an engine.
type Row struct {
	Endpoint string
	// Holder is the instance and generation that claimed the engine.
	Holder string
	// Fence is the fencing number; it grows with each claim.
	Fence   int64
	Intents []reconciler.Intent
	// CommitID is the id of the commit that last wrote the row.
	CommitID string
}

// cachedRow is a row and its version as this holder last read or wrote it.
type cachedRow struct {
	row     Row
	version int64
}

// Claimer implements reconciler.FenceSource and reconciler.IntentLog for one
// holder. It is safe for concurrent use.
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

// New returns a Claimer for the holder, which must be unique to one generation of an
// instance's lease.
func New(table storer.Table, holder string) *Claimer {
	return &Claimer{table: table, holder: holder, rows: map[string]cachedRow{}}
}

// Fence implements reconciler.FenceSource.
func (c *Claimer) Fence(endpoint string) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.rows[endpoint]
	return cached.row.Fence, ok
}

// Claim claims the endpoints that this holder has not claimed yet, and drops its
// claims on all others without writing to the store. An error on one endpoint does
// not stop the others; the errors are joined.
func (c *Claimer) Claim(ctx context.Context, endpoints []string) error {
	c.releaseExcept(endpoints)
	var errs []error
	for _, endpoint := range endpoints {
		if _, ok := c.Fence(endpoint); ok {
			continue
		}
		errs = append(errs, c.claim(ctx, endpoint))
	}
	return errors.Join(errs...)
}

func (c *Claimer) releaseExcept(keep []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for endpoint := range c.rows {
		if !slices.Contains(keep, endpoint) {
			delete(c.rows, endpoint)
		}
	}
}

// claim claims the endpoint under the next fencing number. If the answer to the
// write is lost, the next attempt claims it again under a higher number.
func (c *Claimer) claim(ctx context.Context, endpoint string) error {
	cached, err := c.readRow(ctx, endpoint)
	if err != nil {
		return err
	}
	cached.row.Endpoint = endpoint
	cached.row.Holder = c.holder
	cached.row.Fence++
	return c.writeRow(ctx, cached)
}

func (c *Claimer) readRow(ctx context.Context, endpoint string) (cachedRow, error) {
	rows, err := c.table.Read(ctx, KeyPrefix+endpoint)
	if err != nil {
		return cachedRow{}, eris.Wrap(err, "read claim row")
	}
	cached := cachedRow{version: rows[0].Version}
	if cached.version == 0 {
		return cached, nil
	}
	return cached, eris.Wrapf(json.Unmarshal(rows[0].Value, &cached.row), "decode claim row of %s", endpoint)
}

// writeRow stores the row, on the condition that its version is unchanged, and
// caches it. A failed write releases the claim, because its outcome is unknown.
func (c *Claimer) writeRow(ctx context.Context, cached cachedRow) error {
	cached.row.CommitID = ulid.Make().String()
	value, err := json.Marshal(cached.row)
	if err != nil {
		return eris.Wrap(err, "encode claim row")
	}
	key := KeyPrefix + cached.row.Endpoint
	result, err := c.table.Commit(ctx, storer.Commit{
		ID:         cached.row.CommitID,
		Conditions: []storer.Condition{{Key: key, Version: cached.version}},
		Writes:     []storer.Write{{Key: key, Value: value}},
	})
	if err != nil {
		c.release(cached.row.Endpoint)
		return eris.Wrap(err, "write claim row")
	}
	cached.version = result.Versions[key]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows[cached.row.Endpoint] = cached
	return nil
}

// release drops the claim after a failed write. Claim renews it under a higher
// number.
func (c *Claimer) release(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rows, endpoint)
}

// editIntents applies edit to the intents of an engine that this holder has claimed.
func (c *Claimer) editIntents(ctx context.Context, endpoint string, edit func([]reconciler.Intent) []reconciler.Intent) error {
	c.mu.Lock()
	cached, ok := c.rows[endpoint]
	c.mu.Unlock()
	if !ok {
		return eris.Wrap(ErrNotClaimed, endpoint)
	}
	cached.row.Intents = edit(slices.Clone(cached.row.Intents))
	return c.writeRow(ctx, cached)
}

// Record implements reconciler.IntentLog.
func (c *Claimer) Record(ctx context.Context, intent reconciler.Intent) error {
	return c.editIntents(ctx, intent.Endpoint, func(intents []reconciler.Intent) []reconciler.Intent {
		return append(intents, intent)
	})
}

// Pending implements reconciler.IntentLog.
func (c *Claimer) Pending(ctx context.Context, endpoint string) ([]reconciler.Intent, error) {
	cached, err := c.readRow(ctx, endpoint)
	return cached.row.Intents, err
}

// Remove implements reconciler.IntentLog.
func (c *Claimer) Remove(ctx context.Context, endpoint string, fence int64) error {
	return c.editIntents(ctx, endpoint, func(intents []reconciler.Intent) []reconciler.Intent {
		return slices.DeleteFunc(intents, func(intent reconciler.Intent) bool { return intent.Order.Fence <= fence })
	})
}
