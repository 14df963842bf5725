package reconciler_test

import (
	"context"
	"errors"
	"flag"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/reconciler"
)

func TestMain(m *testing.M) {
	// A -rapid.seed on the command line overrides this value.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// engine fakes an engine that carries out orders.
type engine struct {
	mutex        sync.Mutex
	checksFence  bool
	state        generator.OrderReport
	highestFence int64
	orders       []generator.Order
	orderTimes   []time.Time
}

func (e *engine) apply(order generator.Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checksFence && order.Fence < e.highestFence {
		return dispatcher.ErrFenced
	}
	s := &e.state
	switch order.Change {
	case "LoadModel":
		s.Models = with(s.Models, order.Model)
	case "UnloadModel":
		s.Models = without(s.Models, order.Model)
	case "LoadAdapter":
		s.Adapters = with(s.Adapters, order.Name)
	case "UnloadAdapter":
		s.Adapters = without(s.Adapters, order.Name)
	case "SetRole":
		s.Role = order.Name
	}
	s.Fence, s.LastOrder = order.Fence, order.ID
	e.highestFence = max(e.highestFence, order.Fence)
	e.orders = append(e.orders, order)
	e.orderTimes = append(e.orderTimes, time.Now())
	return nil
}

func (e *engine) read() generator.OrderReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.state
	s.Models, s.Adapters = slices.Clone(s.Models), slices.Clone(s.Adapters)
	return s
}

func with(all []string, name string) []string {
	all = append(without(all, name), name)
	slices.Sort(all)
	return all
}

func without(all []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(other string) bool { return other == name })
}

// instance fakes one instance's client of the engine and its fence source.
type instance struct {
	engine *engine
	fence  int64
	held   bool
	// orderDelay is the time until a sent order is carried out. If it is above
	// zero, SendOrder fails immediately.
	orderDelay time.Duration
	// loseAnswers makes SendOrder fail after the order was carried out.
	loseAnswers bool
	// pause delays SendOrder, between the sender's last check of its fence and the order.
	pause   time.Duration
	sent    int
	delayed *sync.WaitGroup
}

func (i *instance) Fence(string) (int64, bool) { return i.fence, i.held }

func (i *instance) State(context.Context, *compiler.Endpoint) (generator.OrderReport, error) {
	return i.engine.read(), nil
}

var errLost = errors.New("answer lost")

func (i *instance) SendOrder(_ context.Context, _ *compiler.Endpoint, order generator.Order) (generator.OrderReport, error) {
	i.sent++
	time.Sleep(i.pause)
	if i.orderDelay > 0 {
		delay := i.orderDelay
		i.delayed.Go(func() {
			time.Sleep(delay)
			_ = i.engine.apply(order)
		})
		return generator.OrderReport{}, errLost
	}
	err := i.engine.apply(order)
	if i.loseAnswers {
		err = errLost
	}
	return i.engine.read(), err
}

// store fakes an intent log. Only the newest fencing number may record.
type store struct {
	mutex       sync.Mutex
	newestFence int64
	unavailable bool
	// onRecord is called while an intent is recorded.
	onRecord func()
	intents  []reconciler.Intent
}

var errUnavailable = errors.New("intent log unavailable")

func (s *store) Record(_ context.Context, intent reconciler.Intent) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable || intent.Order.Fence < s.newestFence {
		return errUnavailable
	}
	if s.onRecord != nil {
		s.onRecord()
	}
	s.intents = append(s.intents, intent)
	return nil
}

func (s *store) Pending(context.Context, string) ([]reconciler.Intent, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return nil, errUnavailable
	}
	return slices.Clone(s.intents), nil
}

func (s *store) Remove(_ context.Context, _ string, fence int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return errUnavailable
	}
	s.intents = slices.DeleteFunc(s.intents, func(i reconciler.Intent) bool { return i.Order.Fence <= fence })
	return nil
}

func endpoint(checksFence bool) *compiler.Endpoint {
	return &compiler.Endpoint{Name: "e1", Address: netip.MustParseAddrPort("127.0.0.1:9"), Models: []string{"m"}, ChecksFence: checksFence}
}

func newReconciler(i *instance, s *store, options ...reconciler.Option) *reconciler.Reconciler {
	return reconciler.New(func() *compiler.Version { return nil }, i, i, s, options...)
}

var _ reconciler.Client = (*dispatcher.Dispatcher)(nil)
