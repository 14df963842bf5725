package reconciler

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Reconcile brings the engine into line and returns nil once it is. It sends
// nothing unless this instance holds the engine.
func (o *Reconciler) Reconcile(ctx context.Context, endpoint *compiler.Endpoint, desired DesiredState) error {
	fence, ok := o.fences.Fence(endpoint.Name)
	if !ok {
		o.forget(endpoint.Name)
		return ErrNotHolder
	}
	t := o.stateOf(endpoint.Name, fence)
	t.reconciling.Lock()
	defer t.reconciling.Unlock()
	if err := o.checkFormerOrders(ctx, endpoint, t); err != nil {
		return err
	}
	err := o.converge(ctx, endpoint, desired, t)
	if err == nil {
		err = o.removeIntents(ctx, endpoint, t)
	}
	o.setConverged(endpoint.Name, t, err == nil)
	return err
}

// converge reads the state and sends orders until the state needs none.
func (o *Reconciler) converge(ctx context.Context, endpoint *compiler.Endpoint, desired DesiredState, t *engineState) error {
	for range maxPasses {
		state, err := o.client.State(ctx, endpoint)
		if err != nil {
			return eris.Wrap(err, "read state")
		}
		if state.Fence > t.fence {
			o.log.Log(fenced, "Endpoint", endpoint.Name, "Fence", t.fence, "Seen", state.Fence)
			return ErrNotHolder
		}
		orders := desired.orders(state, t.fence)
		if len(orders) == 0 {
			return nil
		}
		for _, order := range orders {
			if err := o.send(ctx, endpoint, t, order, state); err != nil {
				return err
			}
		}
	}
	return ErrNotConverged
}

// send sends one order. Its deadline runs from before the intent is recorded.
func (o *Reconciler) send(ctx context.Context, endpoint *compiler.Endpoint, t *engineState, order generator.Order, state generator.OrderReport) error {
	if readsWeights(order, state) {
		if err := o.loadLimiter.Wait(ctx); err != nil {
			return eris.Wrap(err, "wait for the weight store")
		}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.deadline)
	defer cancel()
	if err := o.recordIntent(ctx, endpoint, t, order); err != nil {
		return err
	}
	if fence, ok := o.fences.Fence(endpoint.Name); !ok || fence != t.fence {
		return ErrNotHolder
	}
	if time.Since(began) >= o.deadline {
		return errDeadlinePassed
	}
	if _, err := o.client.SendOrder(ctx, endpoint, order); err != nil {
		return eris.Wrapf(err, "send order %s", order.Change)
	}
	o.log.Log(ordered, "Endpoint", endpoint.Name, "Change", order.Change, "Model", order.Model, "Value", order.Name, "Fence", order.Fence)
	return nil
}

// recordIntent makes the intent durable where the engine checks no fencing number.
func (o *Reconciler) recordIntent(ctx context.Context, endpoint *compiler.Endpoint, t *engineState, order generator.Order) error {
	if endpoint.ChecksFence {
		return nil
	}
	t.hasIntents = true
	intent := Intent{Endpoint: endpoint.Name, Order: order, Deadline: o.deadline}
	return eris.Wrap(o.intents.Record(ctx, intent), "record intent")
}

// checkFormerOrders returns ErrWaiting while orders of a former holder may be under way.
// The wait starts after the intents were read, so that no clocks are compared.
func (o *Reconciler) checkFormerOrders(ctx context.Context, endpoint *compiler.Endpoint, t *engineState) error {
	if endpoint.ChecksFence {
		return nil
	}
	if !t.hasReadIntents {
		intents, err := o.intents.Pending(ctx, endpoint.Name)
		if err != nil {
			return eris.Wrap(err, "read intents")
		}
		t.safeAt = time.Now().Add(longestDeadline(intents, t.fence))
		t.hasIntents = len(intents) > 0
		t.hasReadIntents = true
	}
	if time.Now().Before(t.safeAt) {
		return ErrOrdersInFlight
	}
	return nil
}

// longestDeadline returns the longestDeadline deadline of the intents under lower fencing numbers.
func longestDeadline(intents []Intent, fence int64) time.Duration {
	var wait time.Duration
	for _, intent := range intents {
		if intent.Order.Fence < fence {
			wait = max(wait, intent.Deadline)
		}
	}
	return wait
}

// removeIntents removes the intents once the state was read back and is in line.
func (o *Reconciler) removeIntents(ctx context.Context, endpoint *compiler.Endpoint, t *engineState) error {
	if !t.hasIntents {
		return nil
	}
	if err := o.intents.Remove(ctx, endpoint.Name, t.fence); err != nil {
		return eris.Wrap(err, "settle intents")
	}
	t.hasIntents = false
	return nil
}

// stateOf returns what is known of the engine under the fencing number.
func (o *Reconciler) stateOf(name string, fence int64) *engineState {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t := o.engines[name]
	if t == nil || t.fence != fence {
		t = &engineState{fence: fence}
		o.engines[name] = t
	}
	return t
}

func (o *Reconciler) forget(name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.engines, name)
}

// setConverged keeps whether the engine is in line, and logs a change to it.
func (o *Reconciler) setConverged(name string, t *engineState, converged bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if converged && !t.converged {
		o.log.Log(inLine, "Endpoint", name, "Fence", t.fence)
	}
	t.converged = converged
}
