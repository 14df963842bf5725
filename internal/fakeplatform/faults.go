package fakeplatform

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// write runs one write under the faults in force. Prepare runs under the lock
// and returns the effect, or the error that refuses the write.
func (p *Platform) write(ctx context.Context, prepare func() (func(), error)) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
	}
	lost, faults, err := p.runWrite(prepare)
	if faults.Silent {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", storer.ErrInDoubt, ctx.Err())
	}
	if pauseErr := pause(ctx, faults.Delay); pauseErr != nil {
		return fmt.Errorf("%w: %w", storer.ErrInDoubt, pauseErr)
	}
	if lost {
		return storer.ErrInDoubt
	}
	return err
}

// runWrite does the part of a write that happens at its arrival.
func (p *Platform) runWrite(prepare func() (func(), error)) (lost bool, faults storer.Faults, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLate()
	faults = p.faults
	if err := p.admit(p.writes); err != nil {
		faults.Silent = false
		return false, faults, err
	}
	lost = p.drawLost()
	if faults.Silent {
		p.counts.Silenced++
		if !lost {
			return false, faults, nil
		}
	}
	effect, err := prepare()
	if err != nil {
		return lost, faults, err
	}
	if !lost {
		effect()
		return false, faults, nil
	}
	p.counts.Lost++
	p.applyLost(prepare, effect)
	return true, faults, nil
}

// admit refuses a request during an outage or over the limit. The lock is held.
func (p *Platform) admit(limiter *rate.Limiter) error {
	if p.faults.Outage {
		p.counts.Unavailable++
		return storer.ErrUnavailable
	}
	if !limiter.Allow() {
		p.counts.Throttled++
		return errThrottled
	}
	return nil
}

// drawLost says whether the answer of a write is lost. The lock is held.
func (p *Platform) drawLost() bool {
	return p.faults.LoseAnswers > 0 && p.random.Float64() < p.faults.LoseAnswers
}

// applyLost lets a write take effect whose answer is lost: at once, or late
// and then only if its conditions still hold. The lock is held.
func (p *Platform) applyLost(prepare func() (func(), error), effect func()) {
	if p.lateness == 0 {
		effect()
		return
	}
	p.late = append(p.late, lateWrite{
		due: time.Now().Add(p.lateness),
		apply: func() {
			if effect, err := prepare(); err == nil {
				effect()
			}
		},
	})
}

// applyLate lets the late writes that are due take effect. The lock is held.
func (p *Platform) applyLate() {
	now := time.Now()
	for len(p.late) > 0 && !p.late[0].due.After(now) {
		p.late[0].apply()
		p.late = p.late[1:]
	}
}

// readWith runs one read under the faults in force.
func readWith[T any](ctx context.Context, p *Platform, read func() (T, error)) (T, error) {
	var none T
	if ctx.Err() != nil {
		return none, fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
	}
	value, faults, err := runRead(p, read)
	if faults.Silent {
		<-ctx.Done()
		return none, fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
	}
	if pauseErr := pause(ctx, faults.Delay); pauseErr != nil {
		return none, fmt.Errorf("%w: %w", storer.ErrUnavailable, pauseErr)
	}
	return value, err
}

// runRead does the part of a read that happens at its arrival.
func runRead[T any](p *Platform, read func() (T, error)) (value T, faults storer.Faults, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLate()
	faults = p.faults
	if err := p.admit(p.reads); err != nil {
		faults.Silent = false
		return value, faults, err
	}
	if faults.Silent {
		p.counts.Silenced++
		return value, faults, nil
	}
	value, err = read()
	return value, faults, err
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
