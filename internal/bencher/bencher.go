// Package bencher owns the experiments on the scheduling policy: fake engines,
// the workload, the figures and their pages. It drives the queue, the router
// and the limiters of the product on a virtual clock; the same seed gives the
// same figures. It does not own any policy, and it models neither the
// platform nor the network between instances.
package bencher

import "time"

// Fault is what goes wrong with an engine during a run.
type Fault string

// The faults. They begin at faultStart.
const (
	NoFault Fault = "None"
	// Slow makes one engine's steps three times as long for a while.
	Slow Fault = "Slow"
	// Silent stops one engine's streams and reports for a while; it comes back
	// with an empty cache.
	Silent Fault = "Silent"
	// Leaving announces one engine's departure and takes it away later.
	Leaving Fault = "Leaving"
)

// Config describes one run.
type Config struct {
	Seed uint64
	// Load is the offered work as a share of what the engines can do with full
	// batches and all prefixes held.
	Load       float64
	Engines    int
	Schedulers int
	// CacheTokens is each engine's cache.
	CacheTokens int
	// Arrivals is the time in which programs arrive; those of the first Warmup
	// are not counted.
	Arrivals time.Duration
	Warmup   time.Duration
	Fault    Fault
	// ReportPeriod is the time between two load reports of an engine.
	ReportPeriod time.Duration
	// Patience lets callers hang up and makes their bounds known.
	Patience bool
	// Flood is additional load of tallies, in the unit of Load.
	Flood    float64
	Features Features
	// NewPolicy makes the policy of one instance; nil means the product's queue,
	// router and limiters with the Features.
	NewPolicy func(c Config, instance int) Policy
}

const (
	// defaultEngines is nine replicas of each of two businesses.
	defaultEngines = 18
	// defaultSchedulers is the number of instances.
	defaultSchedulers = 12
	// ampleCache holds the programs under way, tightCache about half of them.
	ampleCache = 400000
	tightCache = 100000
	// defaultArrivals and defaultWarmup are the usual length of a run.
	defaultArrivals = 600 * time.Second
	defaultWarmup   = 60 * time.Second
)

// DefaultConfig returns a run at a load of 0.9 with ample caches.
func DefaultConfig() Config {
	return Config{
		Seed: 1, Load: 0.9, Engines: defaultEngines, Schedulers: defaultSchedulers,
		CacheTokens: ampleCache, Arrivals: defaultArrivals, Warmup: defaultWarmup,
		Fault: NoFault, ReportPeriod: reportPeriod, Features: Features{Release: true, Gaps: true},
	}
}

// Run runs the workload once and returns its figures.
func Run(c Config) Figures {
	d := newDriver(c)
	d.start()
	for !d.done() && d.clock.step() {
	}
	return d.recorder.figures(d)
}
