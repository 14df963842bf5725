// Package prober owns what this instance knows of the endpoints: their health
// from its own traffic and from probes, their load reports, which of them are
// leaving, and what their caches hold. It does not own the choice of an
// endpoint, nor the requests whose results it is told.
//
// An instance does not probe every endpoint. It probes those it uses and a
// sample of each group of equal endpoints, drawn by a hash of its own name, and
// makes no more probes a second than the rate it is given.
package prober

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

const (
	tickPeriod = 100 * time.Millisecond

	defaultProbeInterval     = time.Second
	defaultProbeRate         = 32
	defaultLocalSample  = 8
	defaultRemoteSample = 4
	defaultFailureThreshold    = 3
	defaultEjectionTime     = 5 * time.Second
	defaultMaxEjectedShare = 0.5
	defaultRampTime     = 10 * time.Second
	defaultResync       = 30 * time.Second
	// defaultCacheReadRate is in bytes a second.
	defaultCacheReadRate = 4 << 10

	// inUsePeriod is how long an endpoint counts as in use after its last request.
	inUsePeriod = 10 * time.Second
	// maxEjectionFactor bounds the growth of repeated ejections, as a multiple.
	maxEjectionFactor = 6
	// maxConcurrentProbes bounds the probes that wait for an answer.
	maxConcurrentProbes = 64
)

// Client asks an endpoint about itself; *dispatcher.Dispatcher is one.
type Client interface {
	Ping(ctx context.Context, endpoint *compiler.Endpoint) error
	Load(ctx context.Context, endpoint *compiler.Endpoint) (generator.LoadReport, error)
	Events(ctx context.Context, endpoint *compiler.Endpoint, after int64) (generator.CacheEventPage, error)
	Holdings(ctx context.Context, endpoint *compiler.Endpoint) (generator.HoldingReport, error)
}

// CacheObserver learns what engines' caches hold. Its methods are called from any
// goroutine and must not wait.
type CacheObserver interface {
	// ProgramEvicted says that the engine holds nothing of the program any more.
	ProgramEvicted(endpoint, program string)
	// CacheListed is the whole list of what the engine holds.
	CacheListed(endpoint string, holdings []generator.Holding)
}

// Prober follows the endpoints of the document in force. It is safe for
// concurrent use.
type Prober struct {
	current func() *compiler.Version
	client  Client
	cacheObserver CacheObserver
	log     *logger.Logger

	instance     string
	dataCentre   string
	probeInterval     time.Duration
	probeRate         int
	localSample  int
	remoteSample int
	failureThreshold    int
	ejectionTime     time.Duration
	maxEjectedShare float64
	rampTime     time.Duration
	resync       time.Duration
	cacheReadRate    float64

	mutex     sync.Mutex
	version   *compiler.Version
	endpoints map[string]*endpoint
	// sorted holds the endpoints by name.
	sorted []*endpoint
	// probeBudget is the probes that may be begun, and cacheAllowed the bytes about
	// caches that may be read; it is below zero after a large page.
	probeBudget      float64
	cacheBudget float64
	probesInFlight      int
}

// Option sets one property of a Prober.
type Option func(*Prober)

// WithInstance sets the instance's name and data centre, which decide its sample.
func WithInstance(name, dataCentre string) Option {
	return func(p *Prober) { p.instance, p.dataCentre = name, dataCentre }
}

// WithCacheObserver sets who learns what caches hold.
func WithCacheObserver(w CacheObserver) Option { return func(p *Prober) { p.cacheObserver = w } }

// WithLogger sets where events are logged.
func WithLogger(l *logger.Logger) Option { return func(p *Prober) { p.log = l } }

// WithProbeRate sets the time between probes of one endpoint, and how many probes
// are made a second in all.
func WithProbeRate(interval time.Duration, rate int) Option {
	return func(p *Prober) { p.probeInterval, p.probeRate = interval, rate }
}

// WithSample sets how many endpoints of each group are probed without being in
// use, in the own data centre and outside of it. What one side does not need
// goes to the other.
func WithSample(local, remote int) Option {
	return func(p *Prober) { p.localSample, p.remoteSample = local, remote }
}

// WithEjection sets after how many failures in a row an endpoint is ejected,
// for how long at first, and the largest share of a group that may be.
func WithEjection(threshold int, first time.Duration, share float64) Option {
	return func(p *Prober) { p.failureThreshold, p.ejectionTime, p.maxEjectedShare = threshold, first, share }
}

// WithRampTime sets how long a new or returned endpoint takes to get its full share.
func WithRampTime(d time.Duration) Option { return func(p *Prober) { p.rampTime = d } }

// WithResync sets the longest time between two whole lists of what an engine holds.
func WithResync(d time.Duration) Option { return func(p *Prober) { p.resync = d } }

// WithCacheReadRate bounds what is read about caches, in bytes a second. Engines
// report on all their programs to each reader, so this grows with the load of
// the whole system and not of the instance.
func WithCacheReadRate(bytes int) Option { return func(p *Prober) { p.cacheReadRate = float64(bytes) } }

// New returns a Prober of the endpoints in the version that current returns.
// Current returns nil while no version is in force.
func New(current func() *compiler.Version, client Client, options ...Option) *Prober {
	p := &Prober{
		current: current, client: client, cacheObserver: discardObserver{}, log: logger.Discard(),
		probeInterval: defaultProbeInterval, probeRate: defaultProbeRate,
		localSample: defaultLocalSample, remoteSample: defaultRemoteSample,
		failureThreshold: defaultFailureThreshold, ejectionTime: defaultEjectionTime, maxEjectedShare: defaultMaxEjectedShare,
		rampTime: defaultRampTime, resync: defaultResync, cacheReadRate: defaultCacheReadRate,
		endpoints: map[string]*endpoint{},
	}
	for _, option := range options {
		option(p)
	}
	p.applyVersion(current(), time.Now())
	return p
}

// Run probes until ctx ends and the last probe has returned.
func (p *Prober) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		for _, next := range p.tick() {
			probes.Go(func() { p.probe(ctx, next) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tick follows the document and returns the probes that are due.
func (p *Prober) tick() []probe {
	version := p.current()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.applyVersion(version, now)
	p.readmitExcess(now)
	p.probeBudget = min(p.probeBudget+float64(p.probeRate)*tickPeriod.Seconds(), float64(p.probeRate))
	p.cacheBudget = min(p.cacheBudget+p.cacheReadRate*tickPeriod.Seconds(), p.cacheReadRate)
	due := p.due(now)
	starting := min(int(p.probeBudget), maxConcurrentProbes-p.probesInFlight, len(due))
	if starting <= 0 {
		return nil
	}
	p.probeBudget -= float64(starting)
	p.probesInFlight += starting
	probes := make([]probe, 0, starting)
	for _, e := range due[:starting] {
		next := e.startProbe(now, p.probeInterval, p.cacheBudget > 0)
		if next.readCache {
			p.cacheBudget -= cacheReadReserve
		}
		probes = append(probes, next)
	}
	return probes
}

type discardObserver struct{}

func (discardObserver) ProgramEvicted(string, string)           {}
func (discardObserver) CacheListed(string, []generator.Holding) {}
