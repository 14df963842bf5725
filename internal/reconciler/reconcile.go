package reconciler

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Reconcile sends the orders that bring the engine to the desired state, and
// returns nil once a read of the state confirms it. It sends nothing unless this
// instance holds the engine.
func (r *Reconciler) Reconcile(ctx context.Context, endpoint *compiler.Endpoint, desired DesiredState) error {
	fence, ok := r.fences.Fence(endpoint.Name)
	if !ok {
		r.forget(endpoint.Name)
		return ErrNotHolder
	}
	e := r.stateOf(endpoint.Name, fence)
	e.reconciling.Lock()
	defer e.reconciling.Unlock()
	if err := r.checkFormerOrders(ctx, endpoint, e); err != nil {
		return err
	}
	err := r.converge(ctx, endpoint, desired, e)
	if err == nil {
		err = r.removeIntents(ctx, endpoint, e)
	}
	r.setConverged(endpoint.Name, e, err == nil)
	return err
}

// converge reads the state and sends orders until no more are needed.
func (r *Reconciler) converge(ctx context.Context, endpoint *compiler.Endpoint, desired DesiredState, e *engineState) error {
	for range maxPasses {
		state, err := r.client.State(ctx, endpoint)
		if err != nil {
			return eris.Wrap(err, "read state")
		}
		if state.Fence > e.fence {
			r.log.Log(engineFenced, "Endpoint", endpoint.Name, "Fence", e.fence, "Seen", state.Fence)
			return ErrNotHolder
		}
		orders := desired.orders(state, e.fence)
		if len(orders) == 0 {
			return nil
		}
		for _, order := range orders {
			if err := r.send(ctx, endpoint, e, order, state); err != nil {
				return err
			}
		}
	}
	return ErrNotConverged
}

// send records the intent of the order and sends it. The deadline counts from
// before the intent is recorded.
func (r *Reconciler) send(ctx context.Context, endpoint *compiler.Endpoint, e *engineState, order generator.Order, state generator.OrderReport) error {
	if readsWeights(order, state) {
		if err := r.loadLimiter.Wait(ctx); err != nil {
			return eris.Wrap(err, "wait for the rate limit of the weight store")
		}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	if err := r.recordIntent(ctx, endpoint, e, order); err != nil {
		return err
	}
	if fence, ok := r.fences.Fence(endpoint.Name); !ok || fence != e.fence {
		return ErrNotHolder
	}
	if time.Since(start) >= r.deadline {
		return errDeadlinePassed
	}
	if _, err := r.client.SendOrder(ctx, endpoint, order); err != nil {
		return eris.Wrapf(err, "send order %s", order.Change)
	}
	r.log.Log(orderSent, "Endpoint", endpoint.Name, "Change", order.Change, "Model", order.Model, "Value", order.Name, "Fence", order.Fence)
	return nil
}

// recordIntent stores the order's intent if the engine does not check fencing numbers.
func (r *Reconciler) recordIntent(ctx context.Context, endpoint *compiler.Endpoint, e *engineState, order generator.Order) error {
	if endpoint.ChecksFence {
		return nil
	}
	e.hasIntents = true
	intent := Intent{Endpoint: endpoint.Name, Order: order, Deadline: r.deadline}
	return eris.Wrap(r.intents.Record(ctx, intent), "record intent")
}

// checkFormerOrders returns ErrOrdersInFlight while orders of a former holder may
// be in flight. It counts their deadlines from when it read the intents, so that
// the clocks of instances need not agree.
func (r *Reconciler) checkFormerOrders(ctx context.Context, endpoint *compiler.Endpoint, e *engineState) error {
	if endpoint.ChecksFence {
		return nil
	}
	if !e.hasReadIntents {
		intents, err := r.intents.Pending(ctx, endpoint.Name)
		if err != nil {
			return eris.Wrap(err, "read intents")
		}
		e.safeAt = time.Now().Add(longestDeadline(intents, e.fence))
		e.hasIntents = len(intents) > 0
		e.hasReadIntents = true
	}
	if time.Now().Before(e.safeAt) {
		return ErrOrdersInFlight
	}
	return nil
}

// longestDeadline returns the longest deadline of the intents with fencing numbers
// below fence.
func longestDeadline(intents []Intent, fence int64) time.Duration {
	var wait time.Duration
	for _, intent := range intents {
		if intent.Order.Fence < fence {
			wait = max(wait, intent.Deadline)
		}
	}
	return wait
}

// removeIntents removes the intents. It is called once the engine has reached its
// desired state.
func (r *Reconciler) removeIntents(ctx context.Context, endpoint *compiler.Endpoint, e *engineState) error {
	if !e.hasIntents {
		return nil
	}
	if err := r.intents.Remove(ctx, endpoint.Name, e.fence); err != nil {
		return eris.Wrap(err, "remove intents")
	}
	e.hasIntents = false
	return nil
}

// stateOf returns the state of the engine under the fencing number. It creates the
// state, or replaces that of another number.
func (r *Reconciler) stateOf(name string, fence int64) *engineState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.engines[name]
	if e == nil || e.fence != fence {
		e = &engineState{fence: fence}
		r.engines[name] = e
	}
	return e
}

func (r *Reconciler) forget(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.engines, name)
}

// setConverged stores whether the engine has converged, and logs a change to true.
func (r *Reconciler) setConverged(name string, e *engineState, converged bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if converged && !e.converged {
		r.log.Log(engineInLine, "Endpoint", name, "Fence", e.fence)
	}
	e.converged = converged
}
