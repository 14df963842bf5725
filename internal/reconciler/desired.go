package reconciler

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/oklog/ulid/v2"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Values of generator.Order.Change.
const (
	loadModel     = "LoadModel"
	unloadModel   = "UnloadModel"
	loadAdapter   = "LoadAdapter"
	unloadAdapter = "UnloadAdapter"
	setRole       = "SetRole"
	setVersion    = "SetVersion"
)

// Adapter is one adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// DesiredState is the state that an engine is to reach.
type DesiredState struct {
	Models   []string
	Adapters []Adapter
	// Role is empty to leave the role unchanged.
	Role string
	// Version is empty to leave the version unchanged. An engine reports its
	// version only as the id of its last order, so this order is sent last.
	Version string
}

// DesiredStateOf returns the state that the document specifies for the engine:
// its models, and the adapters of all agents that use one of them.
func DesiredStateOf(version *compiler.Version, endpoint *compiler.Endpoint) DesiredState {
	desired := DesiredState{Models: slices.Sorted(slices.Values(endpoint.Models))}
	for _, agent := range version.Agents {
		adapter := Adapter{Model: agent.Model, Name: agent.Adapter}
		if agent.Adapter == "" || !slices.Contains(endpoint.Models, agent.Model) {
			continue
		}
		if !slices.Contains(desired.Adapters, adapter) {
			desired.Adapters = append(desired.Adapters, adapter)
		}
	}
	slices.SortFunc(desired.Adapters, func(a, b Adapter) int {
		return cmp.Or(compare(a.Model, b.Model), compare(a.Name, b.Name))
	})
	return desired
}

func compare(a, b string) int { return cmp.Compare(a, b) }

// orders returns the orders that change the state to the desired one, under the
// fencing number. It returns none if the engine is in the desired state and its
// last order had this fencing number.
func (d DesiredState) orders(state generator.OrderReport, fence int64) []generator.Order {
	orders := append(d.removals(state), d.additions(state)...)
	version := d.versionID(fence)
	if d.Version != "" && (len(orders) > 0 || state.LastOrder != version) {
		orders = append(orders, generator.Order{ID: version, Change: setVersion, Name: d.Version})
	}
	if len(orders) == 0 && state.Fence != fence {
		orders = d.fenceOnlyOrder(state)
	}
	for i := range orders {
		orders[i].Fence = fence
		if orders[i].ID == "" {
			orders[i].ID = ulid.Make().String()
		}
	}
	return orders
}

// removals returns the orders that unload models and adapters. They are sent
// before additions, because an engine may lack the memory for old and new models
// together.
func (d DesiredState) removals(state generator.OrderReport) []generator.Order {
	var orders []generator.Order
	for _, name := range state.Adapters {
		if !slices.ContainsFunc(d.Adapters, func(a Adapter) bool { return a.Name == name }) {
			orders = append(orders, generator.Order{Change: unloadAdapter, Name: name})
		}
	}
	for _, model := range state.Models {
		if !slices.Contains(d.Models, model) {
			orders = append(orders, generator.Order{Change: unloadModel, Model: model})
		}
	}
	return orders
}

func (d DesiredState) additions(state generator.OrderReport) []generator.Order {
	var orders []generator.Order
	for _, model := range d.Models {
		if !slices.Contains(state.Models, model) {
			orders = append(orders, generator.Order{Change: loadModel, Model: model})
		}
	}
	for _, adapter := range d.Adapters {
		if !slices.Contains(state.Adapters, adapter.Name) {
			orders = append(orders, generator.Order{Change: loadAdapter, Model: adapter.Model, Name: adapter.Name})
		}
	}
	if d.Role != "" && state.Role != d.Role {
		orders = append(orders, generator.Order{Change: setRole, Name: d.Role})
	}
	return orders
}

// fenceOnlyOrder returns an order that changes only the fencing number, so that an
// engine which checks it rejects later orders of a former holder. It returns none
// for an engine without a role and without desired models.
func (d DesiredState) fenceOnlyOrder(state generator.OrderReport) []generator.Order {
	switch {
	case state.Role != "":
		return []generator.Order{{Change: setRole, Name: state.Role}}
	case len(d.Models) > 0:
		return []generator.Order{{Change: loadModel, Model: d.Models[0]}}
	}
	return nil
}

// versionID returns the id of the order that sets the version under the fencing number.
func (d DesiredState) versionID(fence int64) string {
	return fmt.Sprintf("Version/%s/%d", d.Version, fence)
}

// readsWeights reports whether the engine reads from the weight store to carry out
// the order.
func readsWeights(order generator.Order, state generator.OrderReport) bool {
	switch order.Change {
	case loadModel:
		return !slices.Contains(state.Models, order.Model)
	case loadAdapter, setVersion:
		return true
	}
	return false
}
