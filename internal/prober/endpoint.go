package prober

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

const (
	// initialRamp is the share that a new or returned endpoint starts with.
	initialRamp = 0.1
	// gapWeight is the weight of one gap in the moving average.
	gapWeight = 0.05
	// maxGapAge is how long gaps say anything about an endpoint.
	maxGapAge = 30 * time.Second
	// silentFailureInterval is the time in which silent connections count as one
	// failure: all connections that were lost at one time go silent together.
	silentFailureInterval = 5 * time.Second
	// deniedLogInterval is the time between two log events of a denied ejection.
	deniedLogInterval = 10 * time.Second
	// urgentDivisor is the part of the interval that is kept to an urgent probe.
	urgentDivisor = 4
	// idleResync is the time between lists of an engine that is not in use.
	idleResync = time.Minute
	// leavingMargin is how much newer than the last sign of leaving a report
	// must be to say that the endpoint stays.
	leavingMargin = 10 * time.Second
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	config *compiler.Endpoint
	group  string
	// sampled says that it is probed without being in use.
	sampled bool
	sampleRank    uint64

	// failures counts failures of own requests, and probeFailures of probes, in a row.
	failures      int
	probeFailures int
	silentAt      time.Time
	usedAt        time.Time

	ejected      bool
	ejectedUntil time.Time
	ejections    int
	deniedAt     time.Time
	// rampFrom is zero for an endpoint that has its full share.
	rampFrom time.Time
	leaving  bool
	leavingAt   time.Time

	report generator.LoadReport
	// reportedAt is when the figures were true; zero if there are none.
	reportedAt time.Time
	reportCount    int64

	gap   time.Duration
	gapAt time.Time

	isProbing bool
	// urgent asks for a probe on a connection of its own, before the interval is over.
	urgent    bool
	lastProbe time.Time
	nextProbe time.Time
	cache     cacheContents
}

// startProbe marks the endpoint as being probed.
func (e *endpoint) startProbe(now time.Time, interval time.Duration, follow bool) probe {
	begun := probe{
		config: e.config,
		freshConnection:  e.urgent || e.ejected,
		readCache: follow && e.needsCacheRead(now),
	}
	e.isProbing = true
	e.urgent = false
	e.lastProbe = now
	e.nextProbe = now.Add(interval)
	return begun
}

// expediteProbe brings the next probe forward, to a part of the interval after the last.
func (e *endpoint) expediteProbe(interval time.Duration) {
	e.urgent = true
	soon := e.lastProbe.Add(interval / urgentDivisor)
	if soon.Before(e.nextProbe) {
		e.nextProbe = soon
	}
}

// needsCacheRead reports whether what its cache holds is to be read: all the time
// while it is in use, and now and then otherwise.
func (e *endpoint) needsCacheRead(now time.Time) bool {
	if e.config.Service != "" {
		return false
	}
	return e.inUse(now) || now.Sub(e.cache.listedAt) >= idleResync
}

// inUse reports whether this instance sent it a request not long ago.
func (e *endpoint) inUse(now time.Time) bool {
	return !e.usedAt.IsZero() && now.Sub(e.usedAt) < inUsePeriod
}

// isLeaving reports whether the document or the endpoint itself says so.
func (e *endpoint) isLeaving() bool { return e.config.Leaving || e.leaving }

// ramp returns the share of its slots that may be used.
func (e *endpoint) ramp(now time.Time, full time.Duration) float64 {
	if e.rampFrom.IsZero() || now.Sub(e.rampFrom) >= full {
		return 1
	}
	return initialRamp + (1-initialRamp)*now.Sub(e.rampFrom).Seconds()/full.Seconds()
}

// addGap moves the average by one gap between tokens.
func (e *endpoint) addGap(now time.Time, gap time.Duration) {
	if e.gapAt.IsZero() || now.Sub(e.gapAt) > maxGapAge {
		e.gap = gap
	}
	e.gap += time.Duration(gapWeight * float64(gap-e.gap))
	e.gapAt = now
}

// countsSilentFailure reports whether a silent connection counts as a failure.
func (e *endpoint) countsSilentFailure(now time.Time) bool {
	if !e.silentAt.IsZero() && now.Sub(e.silentAt) < silentFailureInterval {
		return false
	}
	e.silentAt = now
	return true
}

// markLeaving marks the endpoint as leaving.
func (e *endpoint) markLeaving(now time.Time) {
	e.leaving = true
	e.leavingAt = now
}

// storeReport keeps a load report that was received now.
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

// readmitIfDue ends an ejection once its time is over and a probe has worked.
func (e *endpoint) readmitIfDue(now time.Time) bool {
	if !e.ejected || now.Before(e.ejectedUntil) {
		return false
	}
	e.readmit(now)
	return true
}

// readmit gives an ejected endpoint a small share again.
func (e *endpoint) readmit(now time.Time) {
	e.ejected = false
	e.failures = 0
	e.rampFrom = now
}
