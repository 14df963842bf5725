package watcher

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// confirmTimeout limits the read of the store that shows whether the configuration has changed, and
	// the time until a changed one is in force.
	confirmTimeout = 300 * time.Millisecond
	// appliedInterval is the time between two checks of whether a changed configuration is in force.
	appliedInterval = 5 * time.Millisecond
)

// ConfirmedAt returns a time at which the configuration in force was the newest one, or zero if
// it has never been read from the store.
func (w *Watcher) ConfirmedAt() time.Time {
	if at := w.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// IsConfirmed reports whether the configuration in force is known to have been the newest one at some
// time within maxAge.
func (w *Watcher) IsConfirmed(maxAge time.Duration) bool {
	return time.Since(w.ConfirmedAt()) <= maxAge
}

// recordConfirmed records that the configuration in force was the newest one at the time.
func (w *Watcher) recordConfirmed(at time.Time) {
	for last := w.confirmedAt.Load(); last == nil || last.Before(at); last = w.confirmedAt.Load() {
		if w.confirmedAt.CompareAndSwap(last, &at) {
			return
		}
	}
}

// ConfirmConfiguration is IsConfirmed, but if that is not known, it asks the store, and waits for a
// changed configuration to be in force. An instance that was suspended resumes with the configuration
// of before, for example.
func (w *Watcher) ConfirmConfiguration(ctx context.Context, maxAge time.Duration) bool {
	if w.IsConfirmed(maxAge) {
		return true
	}
	// The read serves all requests that wait for it, so that it does not end with one of them.
	read := w.confirmations.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
		defer cancel()
		return nil, w.confirm(ctx, maxAge)
	})
	select {
	case <-ctx.Done():
	case <-read:
	}
	return w.IsConfirmed(maxAge)
}

func (w *Watcher) confirm(ctx context.Context, maxAge time.Duration) error {
	// The copy may have changes that are still being decoded.
	version := w.versionInForce.Load()
	if version == 0 {
		return nil // It was never read.
	}
	key, start := w.source.ConfigurationKey, time.Now()
	page, err := w.rows.Changes(ctx, key.Table, version, 0)
	if err != nil {
		return err // The path to the store is logged where it changes.
	}
	isChanged := slices.ContainsFunc(page.Records, func(r storer.Record) bool { return r.Partition == key.Partition && r.Name == key.Name })
	if !isChanged && page.Version >= version {
		w.recordConfirmed(start)
		return nil
	}
	ticker := time.NewTicker(appliedInterval)
	defer ticker.Stop()
	for !w.IsConfirmed(maxAge) {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}
