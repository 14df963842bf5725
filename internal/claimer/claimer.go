// Package intender owns the rows that say which instance orders an engine,
// under which fencing number, and which of its orders may still be under way.
// It does not own what is ordered, nor when.
package intender

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/orderer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// KeyPrefix starts the key of every engine's row.
const KeyPrefix = "order/"

// ErrReplaced means that another instance orders the engine by now.
var ErrReplaced = errors.New("another instance orders the engine")

// Row is the value of an engine's row.
type Row struct {
	Endpoint string
	// Holder is the instance and generation that orders the engine.
	Holder string
	// Fence grows with every change of holder.
	Fence   int64
	Intents []orderer.Intent
	// CommitID is the id of the commit that wrote the row last.
	CommitID string
}

// held is a row as this holder wrote or read it last.
type held struct {
	row     Row
	version int64
}

// Intender implements orderer.Holder and orderer.Intents for one holder. It is
// safe for concurrent use.
type Intender struct {
	table  storer.Table
	holder string

	mu   sync.Mutex
	rows map[string]held
}

var (
	_ orderer.Holder  = (*Intender)(nil)
	_ orderer.Intents = (*Intender)(nil)
)

// New returns an Intender for the holder, which must be unique to a lease's generation.
func New(table storer.Table, holder string) *Intender {
	return &Intender{table: table, holder: holder, rows: map[string]held{}}
}

// Fence implements orderer.Holder.
func (i *Intender) Fence(endpoint string) (int64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h, ok := i.rows[endpoint]
	return h.row.Fence, ok
}

// Hold takes the right to order each of the endpoints and lets go of all others.
func (i *Intender) Hold(ctx context.Context, endpoints []string) error {
	i.drop(endpoints)
	var errs []error
	for _, endpoint := range endpoints {
		if _, ok := i.Fence(endpoint); ok {
			continue
		}
		errs = append(errs, i.take(ctx, endpoint))
	}
	return errors.Join(errs...)
}

func (i *Intender) drop(keep []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for endpoint := range i.rows {
		if !slices.Contains(keep, endpoint) {
			delete(i.rows, endpoint)
		}
	}
}

// take raises the fencing number. An answer that was lost is settled by the
// next try, which takes a number of its own.
func (i *Intender) take(ctx context.Context, endpoint string) error {
	h, err := i.read(ctx, endpoint)
	if err != nil {
		return err
	}
	h.row.Endpoint = endpoint
	h.row.Holder = i.holder
	h.row.Fence++
	return i.write(ctx, h)
}

func (i *Intender) read(ctx context.Context, endpoint string) (held, error) {
	rows, err := i.table.Read(ctx, KeyPrefix+endpoint)
	if err != nil {
		return held{}, eris.Wrap(err, "read order row")
	}
	h := held{version: rows[0].Version}
	if h.version == 0 {
		return h, nil
	}
	return h, eris.Wrapf(json.Unmarshal(rows[0].Value, &h.row), "decode order row of %s", endpoint)
}

// write makes the row durable if nobody else has written it, and remembers it.
func (i *Intender) write(ctx context.Context, h held) error {
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
		i.forget(h.row.Endpoint)
		return eris.Wrap(err, "write order row")
	}
	h.version = result.Versions[key]
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rows[h.row.Endpoint] = h
	return nil
}

// forget gives the right up after a failed write; Hold takes it anew under a
// higher number.
func (i *Intender) forget(endpoint string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.rows, endpoint)
}

// change edits the intents of an engine that this holder orders.
func (i *Intender) change(ctx context.Context, endpoint string, edit func([]orderer.Intent) []orderer.Intent) error {
	i.mu.Lock()
	h, ok := i.rows[endpoint]
	i.mu.Unlock()
	if !ok {
		return eris.Wrap(ErrReplaced, endpoint)
	}
	h.row.Intents = edit(slices.Clone(h.row.Intents))
	return i.write(ctx, h)
}

// Record implements orderer.Intents.
func (i *Intender) Record(ctx context.Context, intent orderer.Intent) error {
	return i.change(ctx, intent.Endpoint, func(intents []orderer.Intent) []orderer.Intent {
		return append(intents, intent)
	})
}

// Open implements orderer.Intents.
func (i *Intender) Open(ctx context.Context, endpoint string) ([]orderer.Intent, error) {
	h, err := i.read(ctx, endpoint)
	return h.row.Intents, err
}

// Settle implements orderer.Intents.
func (i *Intender) Settle(ctx context.Context, endpoint string, fence int64) error {
	return i.change(ctx, endpoint, func(intents []orderer.Intent) []orderer.Intent {
		return slices.DeleteFunc(intents, func(intent orderer.Intent) bool { return intent.Order.Fence <= fence })
	})
}
