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
	fence, ok := o.holder.Fence(endpoint.Name)
	if !ok {
		o.forget(endpoint.Name)
		return ErrNotHolder
	}
	t := o.track(endpoint.Name, fence)
	t.busy.Lock()
	defer t.busy.Unlock()
	if err := o.waitOut(ctx, endpoint, t); err != nil {
		return err
	}
	err := o.align(ctx, endpoint, desired, t)
	if err == nil {
		err = o.settle(ctx, endpoint, t)
	}
	o.mark(endpoint.Name, t, err == nil)
	return err
}

// align reads the state and sends orders until the state needs none.
func (o *Reconciler) align(ctx context.Context, endpoint *compiler.Endpoint, desired DesiredState, t *track) error {
	for range passes {
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
func (o *Reconciler) send(ctx context.Context, endpoint *compiler.Endpoint, t *track, order generator.Order, state generator.OrderReport) error {
	if readsWeights(order, state) {
		if err := o.loads.Wait(ctx); err != nil {
			return eris.Wrap(err, "wait for the weight store")
		}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.deadline)
	defer cancel()
	if err := o.record(ctx, endpoint, t, order); err != nil {
		return err
	}
	if fence, ok := o.holder.Fence(endpoint.Name); !ok || fence != t.fence {
		return ErrNotHolder
	}
	if time.Since(began) >= o.deadline {
		return errLate
	}
	if _, err := o.client.SendOrder(ctx, endpoint, order); err != nil {
		return eris.Wrapf(err, "send order %s", order.Change)
	}
	o.log.Log(ordered, "Endpoint", endpoint.Name, "Change", order.Change, "Model", order.Model, "Value", order.Name, "Fence", order.Fence)
	return nil
}

// record makes the intent durable where the engine checks no fencing number.
func (o *Reconciler) record(ctx context.Context, endpoint *compiler.Endpoint, t *track, order generator.Order) error {
	if endpoint.ChecksFence {
		return nil
	}
	t.open = true
	intent := Intent{Endpoint: endpoint.Name, Order: order, Deadline: o.deadline}
	return eris.Wrap(o.intents.Record(ctx, intent), "record intent")
}

// waitOut returns ErrWaiting while orders of a former holder may be under way.
// The wait starts after the intents were read, so that no clocks are compared.
func (o *Reconciler) waitOut(ctx context.Context, endpoint *compiler.Endpoint, t *track) error {
	if endpoint.ChecksFence {
		return nil
	}
	if !t.asked {
		intents, err := o.intents.Pending(ctx, endpoint.Name)
		if err != nil {
			return eris.Wrap(err, "read intents")
		}
		t.clearAt = time.Now().Add(longest(intents, t.fence))
		t.open = len(intents) > 0
		t.asked = true
	}
	if time.Now().Before(t.clearAt) {
		return ErrOrdersInFlight
	}
	return nil
}

// longest returns the longest deadline of the intents under lower fencing numbers.
func longest(intents []Intent, fence int64) time.Duration {
	var wait time.Duration
	for _, intent := range intents {
		if intent.Order.Fence < fence {
			wait = max(wait, intent.Deadline)
		}
	}
	return wait
}

// settle removes the intents once the state was read back and is in line.
func (o *Reconciler) settle(ctx context.Context, endpoint *compiler.Endpoint, t *track) error {
	if !t.open {
		return nil
	}
	if err := o.intents.Remove(ctx, endpoint.Name, t.fence); err != nil {
		return eris.Wrap(err, "settle intents")
	}
	t.open = false
	return nil
}

// track returns what is known of the engine under the fencing number.
func (o *Reconciler) track(name string, fence int64) *track {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	t := o.tracks[name]
	if t == nil || t.fence != fence {
		t = &track{fence: fence}
		o.tracks[name] = t
	}
	return t
}

func (o *Reconciler) forget(name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.tracks, name)
}

// mark keeps whether the engine is in line, and logs a change to it.
func (o *Reconciler) mark(name string, t *track, stable bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if stable && !t.stable {
		o.log.Log(inLine, "Endpoint", name, "Fence", t.fence)
	}
	t.stable = stable
}
