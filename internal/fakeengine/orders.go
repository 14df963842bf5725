package fakeengine

import (
	"context"
	"slices"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// orders is the state that orders act on.
type orders struct {
	fence     int64
	highest   int64
	models    []string
	adapters  []string
	role      string
	lastOrder string
}

func (o *orders) report() generator.OrderReport {
	return generator.OrderReport{
		Fence:     o.fence,
		Models:    slices.Clone(o.models),
		Adapters:  slices.Clone(o.adapters),
		Role:      o.role,
		LastOrder: o.lastOrder,
	}
}

// serves says whether the request's model and adapter are loaded.
func (o *orders) serves(request generator.GenerateRequest) bool {
	adapted := request.Adapter == "" || slices.Contains(o.adapters, request.Adapter)
	return adapted && slices.Contains(o.models, request.Model)
}

// apply carries out the order, whatever its fencing number.
func (o *orders) apply(order generator.Order) error {
	switch order.Change {
	case "LoadModel":
		o.models = with(o.models, order.Model)
	case "UnloadModel":
		o.models = without(o.models, order.Model)
	case "LoadAdapter":
		o.adapters = with(o.adapters, order.Name)
	case "UnloadAdapter":
		o.adapters = without(o.adapters, order.Name)
	case "SetRole":
		o.role = order.Name
	case "SetVersion":
		// A version shows only as the last order.
	default:
		return errOrder
	}
	o.fence = order.Fence
	o.highest = max(o.highest, order.Fence)
	o.lastOrder = order.ID
	return nil
}

// with returns the sorted names and the name once.
func with(names []string, name string) []string {
	names = append(without(names, name), name)
	slices.Sort(names)
	return names
}

// without returns a copy of the names without the name.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// Order carries out the order after OrderTime, also if the caller has gone
// away by then, and returns the state after it. The fencing number is compared
// when the order takes effect.
func (e *Engine) Order(ctx context.Context, order generator.Order) (generator.OrderReport, error) {
	if err := pause(context.WithoutCancel(ctx), e.settings.OrderTime); err != nil {
		return generator.OrderReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := order.Fence < e.orders.highest
	if old && e.checksFence {
		e.counts.RefusedOrders++
		return e.orders.report(), errOldFence
	}
	if err := e.orders.apply(order); err != nil {
		return e.orders.report(), err
	}
	e.counts.Orders++
	if old {
		e.counts.OldOrders++
	}
	e.log.Log(OrderApplied, "Engine", e.name, "Order", order.ID, "Change", order.Change, "Fence", order.Fence)
	return e.orders.report(), nil
}

// State returns the state that orders act on.
func (e *Engine) State() generator.OrderReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.report()
}
