// Package prober checks the health of endpoints, actively by probes and
// passively by the results of this instance's requests. It ejects failing
// endpoints, and tracks their load reports, which of them are leaving, and the
// estimated contents of engines' caches. A Client sends the probes; the caller
// chooses endpoints and records the results of requests.
//
// An instance does not probe every endpoint. It probes those that it uses and a
// sample of each group of equivalent endpoints, selected by a hash of its name,
// at a limited rate.
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

	defaultProbeInterval    = time.Second
	defaultProbeRate        = 32
	defaultLocalSample      = 8
	defaultRemoteSample     = 4
	defaultFailureThreshold = 3
	defaultEjectionTime     = 5 * time.Second
	defaultMaxEjectedShare  = 0.5
	defaultRampTime         = 10 * time.Second
	defaultResync           = 30 * time.Second
	// defaultCacheReadRate is in bytes per second.
	defaultCacheReadRate = 4 << 10

	// inUsePeriod is how long an endpoint counts as in use after the last result or token gap.
	inUsePeriod = 10 * time.Second
	// maxEjectionFactor bounds the time of repeated ejections, as a multiple of the first.
	maxEjectionFactor = 6
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 64
)

// Client sends status requests to endpoints. *dispatcher.Dispatcher implements it.
type Client interface {
	Ping(ctx context.Context, endpoint *compiler.Endpoint) error
	Load(ctx context.Context, endpoint *compiler.Endpoint) (generator.LoadReport, error)
	Events(ctx context.Context, endpoint *compiler.Endpoint, after int64) (generator.CacheEventPage, error)
	Holdings(ctx context.Context, endpoint *compiler.Endpoint) (generator.HoldingReport, error)
}

// CacheObserver receives changes of the contents of engines' caches. Its methods
// are called from several goroutines and must not block.
type CacheObserver interface {
	// ProgramEvicted is called when the engine has evicted all of the program.
	ProgramEvicted(endpoint, program string)
	// CacheListed is called with the full list of the engine's holdings.
	CacheListed(endpoint string, holdings []generator.Holding)
}

// Prober tracks the state of the endpoints in the document in force. It is safe
// for concurrent use.
type Prober struct {
	current       func() *compiler.Version
	client        Client
	cacheObserver CacheObserver
	log           *logger.Logger

	instance         string
	dataCentre       string
	probeInterval    time.Duration
	probeRate        int
	localSample      int
	remoteSample     int
	failureThreshold int
	ejectionTime     time.Duration
	maxEjectedShare  float64
	rampTime         time.Duration
	resync           time.Duration
	cacheReadRate    float64

	mutex     sync.Mutex
	version   *compiler.Version
	endpoints map[string]*endpoint
	// sorted holds the endpoints in order of their names.
	sorted []*endpoint
	// probeBudget is the number of probes that may be started, and cacheBudget
	// the bytes that cache reads may use. A large page makes the latter negative.
	probeBudget    float64
	cacheBudget    float64
	probesInFlight int
}

// Option sets one property of a Prober.
type Option func(*Prober)

// WithInstance sets the instance's name and data centre, which determine its sample.
func WithInstance(name, dataCentre string) Option {
	return func(p *Prober) { p.instance, p.dataCentre = name, dataCentre }
}

// WithCacheObserver sets the receiver of changes of cache contents.
func WithCacheObserver(o CacheObserver) Option { return func(p *Prober) { p.cacheObserver = o } }

// WithLogger sets the logger.
func WithLogger(l *logger.Logger) Option { return func(p *Prober) { p.log = l } }

// WithProbeRate sets the time between probes of one endpoint, and the number of
// probes per second of the whole instance.
func WithProbeRate(interval time.Duration, rate int) Option {
	return func(p *Prober) { p.probeInterval, p.probeRate = interval, rate }
}

// WithSample sets how many endpoints of each group are probed while they are
// not in use, inside and outside the instance's data centre. A part that one
// side does not need is added to the other.
func WithSample(local, remote int) Option {
	return func(p *Prober) { p.localSample, p.remoteSample = local, remote }
}

// WithEjection sets after how many consecutive failures an endpoint is ejected,
// the time of its first ejection, and the largest share of a group that may be
// ejected at a time.
func WithEjection(threshold int, first time.Duration, share float64) Option {
	return func(p *Prober) { p.failureThreshold, p.ejectionTime, p.maxEjectedShare = threshold, first, share }
}

// WithRampTime sets the ramp-up time of a new or readmitted endpoint.
func WithRampTime(d time.Duration) Option { return func(p *Prober) { p.rampTime = d } }

// WithResync sets the time between full lists of the holdings of an engine in use.
func WithResync(d time.Duration) Option { return func(p *Prober) { p.resync = d } }

// WithCacheReadRate limits the responses to cache reads, in bytes per second.
// Engines report all their programs to each reader, so without a limit this
// traffic would grow with the load of the whole system rather than of the instance.
func WithCacheReadRate(bytes int) Option { return func(p *Prober) { p.cacheReadRate = float64(bytes) } }

// New returns a Prober of the endpoints in the version that current returns.
// current returns nil while no version is in force.
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

// Run probes the endpoints until ctx is canceled, and returns once the last probe
// has ended.
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

// tick applies the version in force and returns the probes to start.
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
