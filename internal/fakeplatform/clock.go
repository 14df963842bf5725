package fakeplatform

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// clockedRows states the store's time, which is that of the test, with each response.
type clockedRows struct {
	storer.Rows
	reading atomic.Pointer[storer.Reading]
}

var _ storer.Clock = (*clockedRows)(nil)

// LastReading implements storer.Clock.
func (r *clockedRows) LastReading() (storer.Reading, bool) {
	reading := r.reading.Load()
	if reading == nil {
		return storer.Reading{}, false
	}
	return *reading, true
}

// read records a reading if the call that was sent at the time had a response.
func (r *clockedRows) read(sentAt time.Time, err error) {
	if now := time.Now(); err == nil || errors.Is(err, storer.ErrConflict) {
		r.reading.Store(&storer.Reading{At: now, SentAt: sentAt, ReceivedAt: now})
	}
}

// Transact implements storer.Rows.
func (r *clockedRows) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	sentAt := time.Now()
	version, err := r.Rows.Transact(ctx, changes)
	r.read(sentAt, err)
	return version, err
}

// List implements storer.Rows.
func (r *clockedRows) List(ctx context.Context, list storer.Range) (storer.Page, error) {
	sentAt := time.Now()
	page, err := r.Rows.List(ctx, list)
	r.read(sentAt, err)
	return page, err
}

// Changes implements storer.Rows.
func (r *clockedRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	sentAt := time.Now()
	page, err := r.Rows.Changes(ctx, table, after, wait)
	r.read(sentAt, err)
	return page, err
}
