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

// relayedCall is a call through another instance. accept stores its result, which there is if err
// is nil or the store's response.
type relayedCall func(ctx context.Context, m discoverer.Member) (accept func(), err error)

// relayRead returns a call of the method of another instance, whose result it stores in page.
func (r *Rerouter) relayRead(method string, in any, page *storer.Page) relayedCall {
	return func(ctx context.Context, m discoverer.Member) (func(), error) {
		var out relayedPage
		if err := r.caller.Call(ctx, m.Address, method, in, &out); err != nil {
			return nil, errors.Join(storer.ErrUnavailable, err)
		}
		return func() { *page = out.Page }, out.err()
	}
}

// relayResult is the result of a call through one instance.
type relayResult struct {
	accept func()
	err    error
}

// callRelays makes a call through one of the relay candidates, in their order, and updates the
// path. A read goes to the next candidate, too, if a response is late: the store may leave the
// candidate without responses as it does this instance, which takes the candidate long to notice.
func (r *Rerouter) callRelays(ctx context.Context, op operation, relayed relayedCall) error {
	failure := storer.ErrUnavailable
	inDoubt := false
	candidates := r.relayCandidates(op)
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan relayResult, len(candidates))
	started, running := 0, 0
	startNext := func() {
		m := candidates[started]
		started, running = started+1, running+1
		go func() { results <- r.callRelay(calls, op, m, relayed) }()
	}
	late := time.NewTimer(op.wait + hedgeDelay)
	defer late.Stop()
	for started < len(candidates) || running > 0 {
		if running == 0 {
			startNext()
			late.Reset(op.wait + hedgeDelay)
		}
		select {
		case <-late.C:
			if !op.isWrite && started < len(candidates) {
				startNext()
				late.Reset(op.wait + hedgeDelay)
			}
		case result := <-results:
			running--
			if isResponse(result.err) {
				if result.accept != nil {
					result.accept()
				}
				return result.err
			}
			if ctx.Err() != nil {
				return result.err
			}
			inDoubt = inDoubt || errors.Is(result.err, storer.ErrInDoubt)
			failure = result.err
		}
	}
	if path, _ := r.Path(); path != Direct {
		r.mu.Lock()
		r.relaysFailed = true
		r.mu.Unlock()
		r.setPath(Lost, failure)
	}
	if inDoubt {
		return errors.Join(storer.ErrInDoubt, failure)
	}
	return failure
}

// callRelay makes a call through the instance and records whether it relayed the call.
func (r *Rerouter) callRelay(ctx context.Context, op operation, m discoverer.Member, relayed relayedCall) relayResult {
	start := time.Now()
	// The instance sends the call on once it has it whole.
	bounded, cancel := r.withTimeout(ctx, r.timeout(op.isWrite)+op.wait+2*op.transfer+relayMargin)
	defer cancel()
	accept, err := relayed(bounded, m)
	r.countCall(op.name, Relayed.String(), resultName(err))
	if ctx.Err() == nil {
		r.adaptTimeouts(op, isResponse(err), errors.Is(context.Cause(bounded), context.DeadlineExceeded), start, responseTime(bounded, start))
		r.recordRelayResult(m, isResponse(err))
	}
	return relayResult{accept: accept, err: err}
}

// relayCandidates returns the instances for a call: first those without a relay failure, then
// those with the oldest failures. The store may refuse other instances, too, so that the same
// ones must not be asked each time.
func (r *Rerouter) relayCandidates(op operation) []discoverer.Member {
	limit := maxRelayedReads
	if op.isWrite {
		limit = maxRelayedWrites
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relays == nil {
		return nil
	}
	members := r.relays.Relays()
	slices.SortStableFunc(members, func(a, b discoverer.Member) int {
		return r.relayFailures[a.Instance].Compare(r.relayFailures[b.Instance])
	})
	return members[:min(len(members), limit)]
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
			err := r.serveRelayed(func() error {
				return r.readAnew(ctx, r.timeout(false), maxTimeout, func(ctx context.Context, _ bool) (err error) {
					out.Page, err = r.direct.List(ctx, in.Range)
					return err
				})
			})
			out.setErr(err)
			return out, nil
		}),
		methodChanges: messenger.Handle(func(ctx context.Context, in relayChanges) (relayedPage, error) {
			var out relayedPage
			err := r.serveRelayed(func() error {
				return r.readAnew(ctx, r.timeout(false)+in.Wait, maxTimeout, func(ctx context.Context, isRepeated bool) (err error) {
					wait := in.Wait
					if isRepeated {
						wait = 0 // There may be changes since.
					}
					out.Page, err = r.direct.Changes(ctx, in.Table, in.After, wait)
					return err
				})
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
