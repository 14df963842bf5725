package fakeplatform

import (
	"context"
	"fmt"
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

var (
	_ storer.Table   = (*View)(nil)
	_ storer.Objects = (*View)(nil)
	_ storer.Lister  = (*View)(nil)
)

// View is one caller's way to a Platform. Its faults strike this caller alone,
// beside those of the platform, so that one instance can be cut off.
type View struct {
	platform *Platform

	mu     sync.Mutex
	faults storer.Faults
}

// View returns a new way to the platform without faults of its own.
func (p *Platform) View() *View { return &View{platform: p} }

// SetFaults sets how this way fails from now on. ListLag has no effect.
func (v *View) SetFaults(faults storer.Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = faults
}

// Commit implements storer.Table.
func (v *View) Commit(ctx context.Context, commit storer.Commit) (storer.Result, error) {
	return through(ctx, v, storer.ErrInDoubt, func() (storer.Result, error) {
		return v.platform.Commit(ctx, commit)
	})
}

// Read implements storer.Table.
func (v *View) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	return through(ctx, v, storer.ErrUnavailable, func() ([]storer.Row, error) {
		return v.platform.Read(ctx, keys...)
	})
}

// Scan implements storer.Table.
func (v *View) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return through(ctx, v, storer.ErrUnavailable, func() ([]storer.Row, error) {
		return v.platform.Scan(ctx, prefix, after, limit)
	})
}

// Put implements storer.Objects.
func (v *View) Put(ctx context.Context, key string, body []byte) error {
	_, err := through(ctx, v, storer.ErrInDoubt, func() (struct{}, error) {
		return struct{}{}, v.platform.Put(ctx, key, body)
	})
	return err
}

// Get implements storer.Objects.
func (v *View) Get(ctx context.Context, key string) ([]byte, error) {
	return through(ctx, v, storer.ErrUnavailable, func() ([]byte, error) {
		return v.platform.Get(ctx, key)
	})
}

// Delete implements storer.Objects.
func (v *View) Delete(ctx context.Context, key string) error {
	_, err := through(ctx, v, storer.ErrInDoubt, func() (struct{}, error) {
		return struct{}{}, v.platform.Delete(ctx, key)
	})
	return err
}

// List implements storer.Objects.
func (v *View) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	return through(ctx, v, storer.ErrUnavailable, func() ([]string, error) {
		return v.platform.List(ctx, prefix, limit)
	})
}

// Instances implements storer.Lister.
func (v *View) Instances(ctx context.Context) ([]storer.Listing, error) {
	return through(ctx, v, storer.ErrUnavailable, func() ([]storer.Listing, error) {
		return v.platform.Instances(ctx)
	})
}

// through sends one request under the view's faults. Unanswered is the error
// of a request that may have reached the platform and has no answer.
func through[T any](ctx context.Context, v *View, unanswered error, send func() (T, error)) (T, error) {
	var none T
	v.mu.Lock()
	faults := v.faults
	v.mu.Unlock()
	if faults.Outage {
		return none, storer.ErrUnavailable
	}
	if faults.Silent {
		<-ctx.Done()
		return none, fmt.Errorf("%w: %w", unanswered, ctx.Err())
	}
	value, err := send()
	if pauseErr := pause(ctx, faults.Delay); pauseErr != nil {
		return none, fmt.Errorf("%w: %w", unanswered, pauseErr)
	}
	if faults.LoseAnswers > 0 && v.platform.draw() < faults.LoseAnswers {
		return none, unanswered
	}
	return value, err
}

// draw returns a number from 0 to 1 of the platform's seed.
func (p *Platform) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}
