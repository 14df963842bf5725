package rerouter

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/messenger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// relayRead returns a function that calls the method of another instance and stores
// the result in page.
func (r *Rerouter) relayRead(method string, in any, page *storer.Page) func(context.Context, discoverer.Member) error {
	return func(ctx context.Context, m discoverer.Member) error {
		var out relayedPage
		if err := r.caller.Call(ctx, m.Address, method, in, &out); err != nil {
			return errors.Join(storer.ErrUnavailable, err)
		}
		*page = out.Page
		return out.err()
	}
}

// callRelays makes a call through one of the relay candidates, in their order, and
// updates the path.
func (r *Rerouter) callRelays(ctx context.Context, op operation, relayed func(context.Context, discoverer.Member) error) error {
	failure := storer.ErrUnavailable
	inDoubt := false
	for _, m := range r.relayCandidates() {
		start := time.Now()
		bounded, cancel := r.withTimeout(ctx, r.timeout(op.isWrite)+op.wait+relayMargin)
		err := relayed(bounded, m)
		isTimeout := errors.Is(context.Cause(bounded), context.DeadlineExceeded)
		took := responseTime(bounded, start)
		cancel()
		r.countCall(op.name, Relayed.String(), resultName(err))
		if ctx.Err() == nil {
			r.adaptTimeouts(op, isResponse(err), isTimeout, took)
		}
		if isResponse(err) {
			r.recordRelayResult(m, true)
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		r.recordRelayResult(m, false)
		inDoubt = inDoubt || errors.Is(err, storer.ErrInDoubt)
		failure = err
	}
	if path, _ := r.Path(); path != Direct {
		r.setPath(Lost, failure)
	}
	if inDoubt {
		return errors.Join(storer.ErrInDoubt, failure)
	}
	return failure
}

// relayCandidates returns up to maxRelayAttempts instances: first those without a
// relay failure, then those with the oldest failures. The store may refuse other
// instances, too, so that the same ones must not be asked each time.
func (r *Rerouter) relayCandidates() []discoverer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relays == nil {
		return nil
	}
	members := r.relays.Relays()
	slices.SortStableFunc(members, func(a, b discoverer.Member) int {
		return r.relayFailures[a.Instance].Compare(r.relayFailures[b.Instance])
	})
	return members[:min(len(members), maxRelayAttempts)]
}

// recordRelayResult records whether the instance relayed a call. A success does not
// replace the path Direct, which may have been restored during the call.
func (r *Rerouter) recordRelayResult(m discoverer.Member, ok bool) {
	r.mu.Lock()
	if ok {
		delete(r.relayFailures, m.Instance)
	} else {
		r.relayFailures[m.Instance] = time.Now()
	}
	isDirect := r.path == Direct
	r.mu.Unlock()
	if ok && !isDirect {
		r.setPath(Relayed, nil)
	}
}

// Handlers returns the handlers of calls that other instances relay to this one.
// They call the store directly only, so that relaying has no loops.
func (r *Rerouter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodTransact: messenger.Handle(func(ctx context.Context, in relayTransaction) (relayedTransaction, error) {
			var out relayedTransaction
			err := r.serveRelayed(func() (err error) {
				out.Version, err = r.direct.Transact(ctx, in.Changes)
				return err
			})
			out.setErr(err)
			return out, nil
		}),
		methodList: messenger.Handle(func(ctx context.Context, in relayList) (relayedPage, error) {
			var out relayedPage
			err := r.serveRelayed(func() (err error) {
				out.Page, err = r.direct.List(ctx, in.Range)
				return err
			})
			out.setErr(err)
			return out, nil
		}),
		methodChanges: messenger.Handle(func(ctx context.Context, in relayChanges) (relayedPage, error) {
			var out relayedPage
			err := r.serveRelayed(func() (err error) {
				out.Page, err = r.direct.Changes(ctx, in.Table, in.After, in.Wait)
				return err
			})
			out.setErr(err)
			return out, nil
		}),
	}
}

func (r *Rerouter) serveRelayed(call func() error) error {
	if path, _ := r.Path(); path != Direct {
		return eris.Wrap(storer.ErrUnavailable, "the relay has no direct path to the store")
	}
	err := call()
	r.countCall("Relay", Direct.String(), resultName(err))
	return err
}
