package prober_test

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/prober"
)

func TestMain(m *testing.M) {
	// A -rapid.seed on the command line overrides this value.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// fleet fakes a document, its endpoints and a cache observer.
type fleet struct {
	mutex       sync.Mutex
	version     *compiler.Version
	loads       map[string]generator.LoadReport
	errs        map[string]error
	pages       []generator.CacheEventPage
	holdings    []generator.Holding
	probes      map[string]int
	eventsAfter []int64
	// defaultPageEvents is the number of events per page once pages is empty.
	defaultPageEvents int
	listCount         int
	evicted           []string
	listNotifications int
}

func newFleet(names ...string) *fleet {
	f := &fleet{
		version: &compiler.Version{Endpoints: map[string]*compiler.Endpoint{}},
		loads:   map[string]generator.LoadReport{}, errs: map[string]error{}, probes: map[string]int{},
	}
	for i, name := range names {
		f.version.Endpoints[name] = newEngine(name, i)
	}
	return f
}

func newEngine(name string, i int) *compiler.Endpoint {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
	return &compiler.Endpoint{Name: name, Address: address, Models: []string{"m"}, Slots: 4, DataCentre: "a"}
}

func (f *fleet) current() *compiler.Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// edit puts a changed copy of the document into force.
func (f *fleet) edit(change func(map[string]*compiler.Endpoint)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := &compiler.Version{Number: f.version.Number + 1, Endpoints: map[string]*compiler.Endpoint{}}
	for name, endpoint := range f.version.Endpoints {
		copied := *endpoint
		next.Endpoints[name] = &copied
	}
	change(next.Endpoints)
	f.version = next
}

func (f *fleet) set(name string, report generator.LoadReport, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loads[name], f.errs[name] = report, err
}

func (f *fleet) Ping(context.Context, *compiler.Endpoint) error { return nil }

func (f *fleet) Load(_ context.Context, endpoint *compiler.Endpoint) (generator.LoadReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.probes[endpoint.Name]++
	return f.loads[endpoint.Name], f.errs[endpoint.Name]
}

func (f *fleet) Events(_ context.Context, _ *compiler.Endpoint, after int64) (generator.CacheEventPage, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.eventsAfter = append(f.eventsAfter, after)
	if len(f.pages) == 0 {
		page := generator.CacheEventPage{Next: after}
		for range f.defaultPageEvents {
			page.Next++
			page.Events = append(page.Events, generator.CacheEvent{Number: page.Next, Program: "p", Change: "Stored", Tokens: 1})
		}
		return page, nil
	}
	page := f.pages[0]
	f.pages = f.pages[1:]
	return page, nil
}

func (f *fleet) Holdings(context.Context, *compiler.Endpoint) (generator.HoldingReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listCount++
	return generator.HoldingReport{Holdings: f.holdings}, nil
}

func (f *fleet) ProgramEvicted(endpoint, program string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evicted = append(f.evicted, endpoint+" "+program)
}

func (f *fleet) CacheListed(string, []generator.Holding) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listNotifications++
}

// run starts a prober of the fleet and stops it at the end of the test.
func (f *fleet) run(t *testing.T, options ...prober.Option) *prober.Prober {
	t.Helper()
	p := prober.New(f.current, f, append([]prober.Option{prober.WithInstance("i1", "a"), prober.WithCacheObserver(f)}, options...)...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p
}

func view(t *testing.T, p *prober.Prober, name string) prober.View {
	t.Helper()
	v, ok := p.View(name)
	if !ok {
		t.Fatalf("no endpoint %s", name)
	}
	return v
}

func recordFailures(p *prober.Prober, name string, times int) {
	for range times {
		p.RecordFailure(name, dispatcher.Failed)
	}
}

func endpointNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("e%d", i)
	}
	return all
}

func countUsable(p *prober.Prober) int {
	n := 0
	for _, v := range p.Endpoints() {
		if v.Usable {
			n++
		}
	}
	return n
}

// maxLeavingDelay is the time after which a leaving endpoint must not be usable.
const maxLeavingDelay = 2 * time.Second
