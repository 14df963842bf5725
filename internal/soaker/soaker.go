// Package soaker owns the fault soak: it runs real entries as processes on
// loopback before stand-ins, injects faults from outside, plays callers and
// checks the promises from what callers and endpoints see. The schedule of
// faults follows from the seed; how processes interleave does not.
package soaker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
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
	// PlannedOnly leaves all out but planned stops, configurations and releases.
	PlannedOnly bool
	// Losses plays a day in which all instances are lost at once, and some stay away, in place of other
	// faults. Accounts have quotas, Instances is the largest number to begin with, and Length has no effect.
	Losses bool
	// NoHTTP10 lets all callers speak HTTP/1.1.
	NoHTTP10 bool
	// SingleVersion gives all endpoints one software version, and CountsFromOne numbers the events
	// of all streams from 1.
	SingleVersion bool
	CountsFromOne bool
	// DataCentres is the number of data centres; zero for one.
	DataCentres int
	// EngineSlots and ServiceSlots are the slots of an endpoint; zero for the stand-in's own.
	EngineSlots, ServiceSlots int
	// Timeouts are the timeouts of routes by their path, beside the stand-in's own.
	Timeouts map[string]time.Duration
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
	random   *rand.Rand
	rows     *fakeplatform.Rows
	version  int
	accounts *accounts
	history  history
	outages  []outage
	// lifetime ends with the run, and changes are the planned changes under way.
	lifetime context.Context //nolint:containedctx // Endpoints that join later end with the run.
	changes  sync.WaitGroup

	mu        sync.Mutex
	report    Report
	events    io.Writer
	instances []*instance
	endpoints []*endpoint
	links     []*link
	// network is the third byte of the addresses of the instances.
	network uint64
	// added is the number of endpoints that have been added.
	added int
}

// Run plays one run. It ends only processes that it started.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{
		Config: config, random: rand.New(rand.NewPCG(config.Seed, 3)), rows: fakeplatform.NewRows(config.Seed), version: 1, lifetime: ctx,
		accounts: newAccounts(accountCount, 0),
		report:   Report{Seed: config.Seed, Faults: map[string]int{}, Answers: map[string]int{}, Checks: map[string]int{}},
	}
	defer func() {
		for _, in := range s.instances {
			in.kill()
		}
	}()
	if s.Losses {
		s.accounts = newAccounts(lossAccounts, quotaRate)
		s.Instances = fewestInstances + s.random.IntN(max(1, s.Instances-fewestInstances+1))
	}
	if err := s.reserveNetwork(ctx); err != nil {
		return s.report, err
	}
	if err := s.build(ctx); err != nil {
		return s.report, err
	}
	if !s.awaitReady(ctx) {
		return s.report, eris.New("the instances were not ready in time")
	}
	playing, stop := context.WithCancel(ctx)
	if !s.Losses {
		playing, stop = context.WithTimeout(ctx, config.Length)
	}
	defer stop()
	var work sync.WaitGroup
	callers := make([]*caller, config.Callers)
	for i := range callers {
		callers[i] = newCaller(s, i)
		work.Go(func() { callers[i].run(playing) })
	}
	switch {
	case s.Losses:
		s.playLosses(playing)
		stop()
	case !s.Calm:
		if !s.PlannedOnly {
			work.Go(func() { s.injectLimits(playing) })
		}
		s.injectFaults(playing)
	}
	work.Wait()
	s.changes.Wait()
	if err := s.heal(); err != nil {
		return s.report, err
	}
	if !s.awaitReady(ctx) {
		s.violate("the instances were not ready %v after the faults", readyWithin)
	}
	time.Sleep(settleTime)
	s.checkReturns(callers)
	s.checkQuotas(callers)
	for _, c := range callers {
		c.check(ctx)
		c.checkWithdrawn(ctx)
	}
	return s.report, s.checkLogs()
}

// checkLogs looks for panics, which net/http and the messenger recover.
func (s *soak) checkLogs() error {
	for _, in := range s.instances {
		text, err := os.ReadFile(in.file("log"))
		if err != nil {
			return eris.Wrap(err, "read the log of an instance")
		}
		for _, mark := range []string{"panic serving", `"CallPanicked"`} {
			if n := bytes.Count(text, []byte(mark)); n > 0 {
				s.violate("FAULT: %d times %s in the log of %s", n, mark, in.name)
			}
		}
	}
	return nil
}

func (s *soak) build(ctx context.Context) error {
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return eris.Wrap(err, "make the folder of the run")
	}
	events, err := os.Create(filepath.Join(s.Folder, "faults.log"))
	if err != nil {
		return eris.Wrap(err, "make the log of faults")
	}
	context.AfterFunc(ctx, func() { _ = events.Close() }) // It is written at once.
	s.events = events
	for kind, count := range map[string]int{standin.ServiceEngine: s.Engines, standin.ServicePlain: s.Services} {
		for i := range count {
			if err := s.addEndpoint(ctx, kind, s.versionOf(i)); err != nil {
				return err
			}
		}
	}
	for i, text := range standin.MalformedRegistrations() {
		s.rows.Put(storer.RowKey{Table: "servers", Name: fmt.Sprintf("odd-%d", i)}, []byte(text))
	}
	if err := s.writeConfiguration(); err != nil {
		return err
	}
	for i := range s.Instances {
		if err := s.addInstance(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// reserveNetwork draws addresses that no other run on this host uses, and keeps them until ctx ends.
func (s *soak) reserveNetwork(ctx context.Context) error {
	const networks = 200
	for i := range uint64(networks) {
		s.network = (s.Seed + i) % networks
		listener, err := listenConfig.Listen(ctx, "tcp", fmt.Sprintf("127.88.%d.255:7100", s.network))
		if err == nil {
			context.AfterFunc(ctx, func() { _ = listener.Close() }) // The addresses are free from then on.
			return nil
		}
	}
	return eris.New("no network is free")
}

func (s *soak) addInstance(ctx context.Context, i int) error {
	in := &instance{
		name: fmt.Sprintf("entry-%d", i), host: fmt.Sprintf("127.88.%d.%d", s.network, i+1), binary: s.Binary, folder: s.Folder,
		dataCentre: dataCentre(i % max(s.DataCentres, 1)), hasQuotas: s.accounts.rate > 0,
	}
	if s.OtherBinary != "" && i%2 == 1 {
		in.binary = s.OtherBinary
	}
	in.onEnd = func(state *os.ProcessState, wasStopped bool) {
		s.log("%s ended: %s, stopped %t", in.name, state, wasStopped)
		s.violate("FAULT: %s ended by itself: %s, stopped %t", in.name, state, wasStopped)
	}
	store, err := serve(ctx, standin.NewStore(s.rows.For(in.name)))
	if err != nil {
		return err
	}
	if in.store, err = newLink(ctx, "127.0.0.1:0", store, in.name); err != nil {
		return err
	}
	if in.peers, err = newLink(ctx, "127.0.0.1:0", in.host+":7103", in.name); err != nil {
		return err
	}
	s.mu.Lock()
	for _, before := range s.instances[:min(len(s.instances), maxSeeds)] {
		in.seeds = append(in.seeds, before.peers.address().String())
	}
	s.instances, s.links = append(s.instances, in), append(s.links, in.store, in.peers)
	s.mu.Unlock()
	if err := in.settings(); err != nil {
		return err
	}
	return in.start()
}

// present returns the instances that have not gone away for good.
func (s *soak) present() []*instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.instances), func(in *instance) bool { return in.away })
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
		if !slices.ContainsFunc(s.present(), func(in *instance) bool { return !in.isReady(ctx) }) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// log writes a line to the log of faults in the folder of the run.
func (s *soak) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A line that is missing does not change the result.
	_, _ = fmt.Fprintf(s.events, "%s %s\n", time.Now().UTC().Format(timeFormat), fmt.Sprintf(format, args...))
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
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
	if err := s.writeConfiguration(prefixes...); err != nil {
		s.violate("the configuration cannot be written: %v", err)
	}
}

func (s *soak) writeConfiguration(prefixes ...string) error {
	return standin.WriteSettings(s.rows, standin.Settings{
		Version: s.version, Accounts: s.accounts.next(), ExtraPrefixes: prefixes, Timeouts: s.Timeouts,
	})
}

// heal ends all faults, also those that endpoints usually have: a kept turn has few tries.
func (s *soak) heal() error {
	s.rows.SetFaults(fakeplatform.RowFaults{})
	for _, e := range s.allEndpoints() {
		e.SetFaults(standin.EndpointFaults{})
	}
	for _, l := range s.links {
		l.set(linkFine)
	}
	for _, in := range s.present() {
		if err := in.restart(); err != nil {
			return eris.Wrap(err, in.name)
		}
	}
	return nil
}
