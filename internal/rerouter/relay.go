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

// tryRelays asks other instances in turn.
func (r *Rerouter) tryRelays(ctx context.Context, op operation, relayed func(context.Context, discoverer.Member) error) error {
	failure := storer.ErrUnavailable
	doubt := false
	for _, m := range r.relaysToTry() {
		bounded, cancel := context.WithTimeout(ctx, r.wait(op.isWrite)+op.wait+relayMargin)
		err := relayed(bounded, m)
		cancel()
		r.count(op.name, Relayed.String(), resultOf(err))
		if isAnswer(err) {
			r.relayed(m, true)
			return err
		}
		if ctx.Err() != nil {
			return err
		}
		r.relayed(m, false)
		doubt = doubt || errors.Is(err, storer.ErrInDoubt)
		failure = err
	}
	if way, _ := r.Path(); way != Direct {
		r.turn(Lost, failure)
	}
	if doubt {
		return errors.Join(storer.ErrInDoubt, failure)
	}
	return failure
}

// relaysToTry returns those that never failed to relay, then those that failed
// longest ago: an instance may be turned away like this one.
func (r *Rerouter) relaysToTry() []discoverer.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relays == nil {
		return nil
	}
	members := r.relays.Relays()
	slices.SortStableFunc(members, func(a, b discoverer.Member) int {
		return r.unfit[a.Instance].Compare(r.unfit[b.Instance])
	})
	return members[:min(len(members), relayTries)]
}

// relayed takes note of whether the instance relayed a call. Its answer is no
// reason to leave the direct way, which may have been found again meanwhile.
func (r *Rerouter) relayed(m discoverer.Member, ok bool) {
	r.mu.Lock()
	if ok {
		delete(r.unfit, m.Instance)
	} else {
		r.unfit[m.Instance] = time.Now()
	}
	isDirect := r.way == Direct
	r.mu.Unlock()
	if ok && !isDirect {
		r.turn(Relayed, nil)
	}
}

// Handlers returns the handlers of calls that other instances relay here. They
// reach the store directly only, so that no call travels in circles.
func (r *Rerouter) Handlers() map[string]messenger.Handler {
	return map[string]messenger.Handler{
		methodTransact: messenger.Handle(func(ctx context.Context, in relayTransaction) (relayedTransaction, error) {
			var out relayedTransaction
			err := r.serve(func() (err error) {
				out.Version, err = r.direct.Transact(ctx, in.Changes)
				return err
			})
			out.setErr(err)
			return out, nil
		}),
		methodList: messenger.Handle(func(ctx context.Context, in relayList) (relayedPage, error) {
			var out relayedPage
			err := r.serve(func() (err error) {
				out.Page, err = r.direct.List(ctx, in.Range)
				return err
			})
			out.setErr(err)
			return out, nil
		}),
		methodChanges: messenger.Handle(func(ctx context.Context, in relayChanges) (relayedPage, error) {
			var out relayedPage
			err := r.serve(func() (err error) {
				out.Page, err = r.direct.Changes(ctx, in.Table, in.After, in.Wait)
				return err
			})
			out.setErr(err)
			return out, nil
		}),
	}
}

func (r *Rerouter) serve(call func() error) error {
	if way, _ := r.Path(); way != Direct {
		return eris.Wrap(storer.ErrUnavailable, "not reached directly from here either")
	}
	err := call()
	r.count("Relay", Direct.String(), resultOf(err))
	return err
}
