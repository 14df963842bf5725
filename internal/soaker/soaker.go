// Package soaker owns the fault soak: it runs real entries as processes on
// loopback before stand-ins, injects faults from outside, plays callers and
// checks the promises from what callers and endpoints see. The schedule of
// faults follows from the seed; how processes interleave does not.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// Config is one run.
type Config struct {
	Binary    string
	Folder    string
	Seed      uint64
	Length    time.Duration
	Instances int
	Engines   int
	Services  int
	Callers   int
	// OtherBinary, if set, is the program of every second instance: another build beside Binary.
	OtherBinary string
	// Calm leaves the faults out.
	Calm bool
}

// Report is what a run found.
type Report struct {
	Seed       uint64
	Violations []string
	// Faults counts the faults by kind; Answers the answers by status.
	Faults  map[string]int
	Answers map[string]int
	Checks  map[string]int
}

// The times of a run.
const (
	readyWithin = 15 * time.Second
	// settleTime is for requests that are under way when the callers end.
	settleTime = 2 * time.Second
	faultGap   = 700 * time.Millisecond
	faultLife  = 3 * time.Second
	// largeConfiguration is the number of further routes of some configurations.
	largeConfiguration = 4_000
	// versions is the number of software versions of the endpoints of a service.
	versions = 2
	// maxSeeds is how many addresses the settings name at most, as on the platform.
	maxSeeds = 3
)

type soak struct {
	Config
	random    *rand.Rand
	rows      *fakeplatform.Rows
	instances []*instance
	engines   []*standin.Endpoint
	services  []*standin.Endpoint
	links     []*link
	version   int
	accounts  accounts

	mu     sync.Mutex
	report Report
}

// Run plays one run. It ends only processes that it started.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{
		Config: config, random: rand.New(rand.NewPCG(config.Seed, 3)), rows: fakeplatform.NewRows(config.Seed), version: 1,
		report: Report{Seed: config.Seed, Faults: map[string]int{}, Answers: map[string]int{}, Checks: map[string]int{}},
	}
	defer func() {
		for _, in := range s.instances {
			in.kill()
		}
	}()
	if err := s.build(ctx); err != nil {
		return s.report, err
	}
	if !s.awaitReady(ctx) {
		return s.report, eris.New("the instances were not ready in time")
	}
	playing, stop := context.WithTimeout(ctx, config.Length)
	defer stop()
	var work sync.WaitGroup
	callers := make([]*caller, config.Callers)
	for i := range callers {
		callers[i] = newCaller(s, i)
		work.Go(func() { callers[i].run(playing) })
	}
	if !s.Calm {
		work.Go(func() { s.injectLimits(playing) })
		s.injectFaults(playing)
	}
	work.Wait()
	if err := s.heal(); err != nil {
		return s.report, err
	}
	if !s.awaitReady(ctx) {
		s.violate("the instances were not ready %v after the faults", readyWithin)
	}
	time.Sleep(settleTime)
	for _, c := range callers {
		c.check(ctx)
		c.checkWithdrawn(ctx)
	}
	return s.report, nil
}

func (s *soak) build(ctx context.Context) error {
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return eris.Wrap(err, "make the folder of the run")
	}
	endpoint := func(kind string, i, events int, pace time.Duration) (*standin.Endpoint, error) {
		e := standin.NewEndpoint(fmt.Sprintf("%s-%d", kind, i), events, pace, s.Seed+uint64(i))
		e.Version = fmt.Sprint("v", i%versions)
		target, err := serve(ctx, e)
		if err != nil {
			return nil, err
		}
		l, err := newLink(ctx, "127.0.0.1:0", target)
		if err != nil {
			return nil, err
		}
		s.links = append(s.links, l)
		return e, standin.Register(s.rows, standin.Registration{
			ID: e.ID, Service: kind, Address: l.address(), DataCentre: "dc-1", Slots: e.Slots, Version: e.Version,
		})
	}
	for i := range s.Engines {
		e, err := endpoint(standin.ServiceEngine, i, 5, 8*time.Millisecond)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	for i := range s.Services {
		e, err := endpoint(standin.ServicePlain, i, 0, 5*time.Millisecond)
		if err != nil {
			return err
		}
		s.services = append(s.services, e)
	}
	for i, text := range standin.MalformedRegistrations() {
		s.rows.Put(storer.RowKey{Table: "servers", Name: fmt.Sprintf("odd-%d", i)}, []byte(text))
	}
	if err := standin.WriteAccounts(s.rows, s.version, s.accounts.next()); err != nil {
		return err
	}
	for i := range s.Instances {
		if err := s.addInstance(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) addInstance(ctx context.Context, i int) error {
	in := &instance{
		name: fmt.Sprintf("entry-%d", i), host: fmt.Sprintf("127.88.%d.%d", s.Seed%200, i+1), binary: s.Binary, folder: s.Folder,
	}
	if s.OtherBinary != "" && i%2 == 1 {
		in.binary = s.OtherBinary
	}
	store, err := serve(ctx, standin.NewStore(s.rows.For(in.name)))
	if err != nil {
		return err
	}
	if in.store, err = newLink(ctx, "127.0.0.1:0", store); err != nil {
		return err
	}
	if in.peers, err = newLink(ctx, "127.0.0.1:0", in.host+":7103"); err != nil {
		return err
	}
	s.links = append(s.links, in.store, in.peers)
	for _, before := range s.instances[:min(len(s.instances), maxSeeds)] {
		in.seeds = append(in.seeds, before.peers.address().String())
	}
	if err := in.settings(); err != nil {
		return err
	}
	s.instances = append(s.instances, in)
	return in.start()
}

// serve serves the handler on a free address until ctx ends.
func serve(ctx context.Context, handler http.Handler) (string, error) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // The stand-in ends with the run.
	go func() { _ = server.Serve(listener) }()            // As above.
	return netip.MustParseAddrPort(listener.Addr().String()).String(), nil
}

func (s *soak) awaitReady(ctx context.Context) bool {
	deadline := time.Now().Add(readyWithin)
	for time.Now().Before(deadline) {
		ready := 0
		for _, in := range s.instances {
			if in.isReady(ctx) {
				ready++
			}
		}
		if ready == len(s.instances) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}

func (s *soak) count(counts map[string]int, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[name]++
}

// injectFaults begins a fault after each gap until ctx ends; faults overlap.
func (s *soak) injectFaults(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for ctx.Err() == nil {
		name, begin, end := s.drawFault()
		life := time.Duration(s.random.Int64N(int64(faultLife)))
		s.count(s.report.Faults, name)
		begin()
		work.Go(func() {
			sleep(ctx, life)
			end()
		})
		sleep(ctx, time.Duration(s.random.Int64N(int64(2*faultGap))))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// drawFault draws a fault and returns how it begins and ends.
func (s *soak) drawFault() (name string, begin, end func()) {
	in := s.instances[s.random.IntN(len(s.instances))]
	l := s.links[s.random.IntN(len(s.links))]
	nothing := func() {}
	again := func() {
		if err := in.restart(); err != nil {
			s.violate("%s cannot be started: %v", in.name, err)
		}
	}
	switch s.random.IntN(14) {
	case 0:
		return "kill", in.kill, again
	case 1:
		return "freeze", func() { in.signal(syscall.SIGSTOP) }, func() { in.signal(syscall.SIGCONT) }
	case 2:
		return "planned stop", func() { in.signal(syscall.SIGTERM) }, again
	case 3:
		return "hangup", func() { in.signal(syscall.SIGHUP) }, nothing
	case 4:
		fault := linkFault(1 + s.random.IntN(int(linkFaults)-1))
		return fmt.Sprint("link ", [...]string{"", "slow", "silent", "one way"}[fault]),
			func() { l.set(fault) }, func() { l.set(linkFine) }
	case 5:
		return "connections reset", l.reset, nothing
	case 6:
		return "connections silenced", l.silence, nothing
	case 7:
		return s.storeFault()
	case 8:
		return "endpoint faults", func() { s.setEndpointFaults(true) }, func() { s.setEndpointFaults(false) }
	case 9:
		return "configuration", func() { s.configure() }, nothing
	case 10:
		return "kill all", func() { s.each(func(in *instance) { in.kill() }) }, func() { s.each(func(in *instance) { s.restart(in) }) }
	case 11:
		return "cut off", func() { in.store.set(linkSilent); in.peers.set(linkSilent) },
			func() { in.store.set(linkFine); in.peers.set(linkFine) }
	case 12:
		return "no way to the store", func() { in.store.set(linkSilent) }, func() { in.store.set(linkFine) }
	default:
		return s.storeFault()
	}
}

func (s *soak) restart(in *instance) {
	if err := in.restart(); err != nil {
		s.violate("%s cannot be started: %v", in.name, err)
	}
}

func (s *soak) each(f func(in *instance)) {
	var work sync.WaitGroup
	for _, in := range s.instances {
		work.Go(func() { f(in) })
	}
	work.Wait()
}

func (s *soak) storeFault() (name string, begin, end func()) {
	faults := []struct {
		name string
		rows fakeplatform.RowFaults
	}{
		{"store down", fakeplatform.RowFaults{Outage: true}},
		{"store silent", fakeplatform.RowFaults{Silent: true}},
		{"store slow", fakeplatform.RowFaults{Delay: 300 * time.Millisecond}},
		{"store loses answers", fakeplatform.RowFaults{LoseAnswers: 0.4}},
		{"store answers late", fakeplatform.RowFaults{LoseAnswers: 0.4, LandLate: 2 * time.Second}},
		{"store refuses some", fakeplatform.RowFaults{Refused: map[string]bool{
			s.instances[s.random.IntN(len(s.instances))].name: true,
			s.instances[s.random.IntN(len(s.instances))].name: true,
		}}},
	}
	f := faults[s.random.IntN(len(faults))]
	return f.name, func() { s.rows.SetFaults(f.rows) }, func() { s.rows.SetFaults(fakeplatform.RowFaults{}) }
}

func (s *soak) setEndpointFaults(on bool) {
	faults := standin.EndpointFaults{}
	if on {
		faults = standin.EndpointFaults{
			Dropped: 0.1, Truncated: 0.1, Rejected: 0.2, Duplicated: 0.1, BrokenBetween: 0.2, Unframed: 0.3, FailedResumption: 0.3,
		}
	}
	for _, e := range append(append([]*standin.Endpoint(nil), s.services...), s.engines...) {
		e.SetFaults(faults)
	}
}

// The limits of endpoints: from limitSettle after an endpoint stated its limit, it gets at
// most limitFactor times what that allows in limitWindow, and limitSlack more.
const (
	limitRate   = 5.0
	limitSettle = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// injectLimits lets some endpoints state a limit until ctx ends, and checks what they got.
func (s *soak) injectLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 3))
	var limited []*standin.Endpoint
	for _, e := range append(append([]*standin.Endpoint(nil), s.services...), s.engines...) {
		if random.IntN(2) == 0 {
			e.SetLimit(limitRate)
			limited = append(limited, e)
		}
	}
	settled := time.Now().Add(limitSettle)
	<-ctx.Done()
	allowed := int(limitFactor*limitRate*limitWindow.Seconds()) + limitSlack
	for _, e := range limited {
		e.SetLimit(0)
		s.count(s.report.Checks, "limit")
		if n := e.MostArrivals(settled, limitWindow); n > allowed {
			s.violate("LIMIT: %s with a limit of %g a second got %d requests in %v, allowed %d", e.ID, limitRate, n, limitWindow, allowed)
		}
	}
}

func (s *soak) configure() {
	s.version += 1 + s.random.IntN(3)
	routes := 1
	if s.random.IntN(3) == 0 {
		routes = largeConfiguration
	}
	prefixes := make([]string, routes)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("/further-%d-%d/", s.version, i)
	}
	if err := standin.WriteAccounts(s.rows, s.version, s.accounts.next(), prefixes...); err != nil {
		s.violate("the configuration cannot be written: %v", err)
	}
}

// heal ends all faults.
func (s *soak) heal() error {
	s.rows.SetFaults(fakeplatform.RowFaults{})
	s.setEndpointFaults(false)
	for _, l := range s.links {
		l.set(linkFine)
	}
	for _, in := range s.instances {
		if err := in.restart(); err != nil {
			return eris.Wrap(err, in.name)
		}
	}
	return nil
}

// runs returns the executions of the request at all endpoints.
func (s *soak) runs(id string) []standin.Run {
	var runs []standin.Run
	for _, e := range append(append([]*standin.Endpoint(nil), s.services...), s.engines...) {
		runs = append(runs, e.Runs(id)...)
	}
	return runs
}

// runsOf returns how often endpoints ran the request, and the body of the first run.
func (s *soak) runsOf(id string) (runs int, body string) {
	all := s.runs(id)
	if len(all) == 0 {
		return 0, ""
	}
	return len(all), all[0].Body
}
