package prober

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

const (
	// initialRamp is the share of its slots that a new or readmitted endpoint starts with.
	initialRamp = 0.1
	// gapWeight is the weight of one token gap in the moving average.
	gapWeight = 0.05
	// maxGapAge is how long the average token gap stays valid after the last gap.
	maxGapAge = 30 * time.Second
	// silentFailureInterval is the time in which silent connections count as one
	// failure, because connections that are lost together become silent together.
	silentFailureInterval = 5 * time.Second
	// deniedLogInterval is the least time between log events of denied ejections.
	deniedLogInterval = 10 * time.Second
	// urgentDivisor divides the probe interval for an urgent probe.
	urgentDivisor = 4
	// idleResync is the time between cache reads of an engine that is not in use.
	idleResync = time.Minute
	// leavingMargin is how much newer than the last leaving signal a load report
	// must be to clear the leaving state.
	leavingMargin = 10 * time.Second
)

// endpoint is the state of one endpoint.
type endpoint struct {
	config *compiler.Endpoint
	group  string
	// sampled is set if the endpoint is probed even while it is not in use.
	sampled    bool
	sampleRank uint64

	// failures counts consecutive failed requests of this instance, probeFailures
	// consecutive failed probes.
	failures      int
	probeFailures int
	// silentFailureAt is when a silent connection last counted as a failure.
	silentFailureAt time.Time
	usedAt          time.Time

	ejected        bool
	ejectedUntil   time.Time
	ejections      int
	deniedLoggedAt time.Time
	// rampFrom is when the ramp-up began; zero if there was none.
	rampFrom  time.Time
	leaving   bool
	leavingAt time.Time

	report generator.LoadReport
	// reportedAt is when the endpoint measured the report; zero without a report.
	reportedAt  time.Time
	reportCount int64

	averageGap time.Duration
	gapAt      time.Time

	isProbing bool
	// urgent requests a probe on a new connection before the interval ends.
	urgent    bool
	lastProbe time.Time
	nextProbe time.Time
	cache     cacheContents
}

// startProbe marks the endpoint as being probed and schedules its next probe.
func (e *endpoint) startProbe(now time.Time, interval time.Duration, mayReadCache bool) probe {
	started := probe{
		config:          e.config,
		freshConnection: e.urgent || e.ejected,
		readCache:       mayReadCache && e.needsCacheRead(now),
	}
	e.isProbing = true
	e.urgent = false
	e.lastProbe = now
	e.nextProbe = now.Add(interval)
	return started
}

// expediteProbe moves the next probe forward to interval/urgentDivisor after the
// last one and lets it use a new connection.
func (e *endpoint) expediteProbe(interval time.Duration) {
	e.urgent = true
	soon := e.lastProbe.Add(interval / urgentDivisor)
	if soon.Before(e.nextProbe) {
		e.nextProbe = soon
	}
}

// needsCacheRead reports whether the probe reads the engine's cache: every
// probe while the engine is in use, otherwise every idleResync.
func (e *endpoint) needsCacheRead(now time.Time) bool {
	if e.config.Service != "" {
		return false
	}
	return e.inUse(now) || now.Sub(e.cache.listedAt) >= idleResync
}

// inUse reports whether this instance used the endpoint within inUsePeriod.
func (e *endpoint) inUse(now time.Time) bool {
	return !e.usedAt.IsZero() && now.Sub(e.usedAt) < inUsePeriod
}

// isLeaving reports whether the document or the endpoint itself announced that
// it is leaving.
func (e *endpoint) isLeaving() bool { return e.config.Leaving || e.leaving }

// ramp returns the share of the endpoint's slots that may be used.
func (e *endpoint) ramp(now time.Time, full time.Duration) float64 {
	if e.rampFrom.IsZero() || now.Sub(e.rampFrom) >= full {
		return 1
	}
	return initialRamp + (1-initialRamp)*now.Sub(e.rampFrom).Seconds()/full.Seconds()
}

// addGap adds one gap between tokens to the moving average.
func (e *endpoint) addGap(now time.Time, gap time.Duration) {
	if e.gapAt.IsZero() || now.Sub(e.gapAt) > maxGapAge {
		e.averageGap = gap
	}
	e.averageGap += time.Duration(gapWeight * float64(gap-e.averageGap))
	e.gapAt = now
}

// countsSilentFailure reports whether a silent connection counts as a new
// failure. The first one in each silentFailureInterval does.
func (e *endpoint) countsSilentFailure(now time.Time) bool {
	if !e.silentFailureAt.IsZero() && now.Sub(e.silentFailureAt) < silentFailureInterval {
		return false
	}
	e.silentFailureAt = now
	return true
}

// markLeaving marks the endpoint as leaving.
func (e *endpoint) markLeaving(now time.Time) {
	e.leaving = true
	e.leavingAt = now
}

// storeReport stores a load report received at now.
func (e *endpoint) storeReport(now time.Time, report generator.LoadReport) {
	e.report = report
	e.reportedAt = now.Add(-report.Age)
	e.reportCount++
	if report.Leaving {
		e.markLeaving(now)
		return
	}
	if e.leaving && e.reportedAt.Sub(e.leavingAt) > leavingMargin {
		e.leaving = false
		e.rampFrom = now
	}
}

// readmitIfDue ends an ejection whose time is over and reports whether it did.
// It is called after a successful probe.
func (e *endpoint) readmitIfDue(now time.Time) bool {
	if !e.ejected || now.Before(e.ejectedUntil) {
		return false
	}
	e.readmit(now)
	return true
}

// readmit ends an ejection and starts the ramp-up.
func (e *endpoint) readmit(now time.Time) {
	e.ejected = false
	e.failures = 0
	e.rampFrom = now
}
