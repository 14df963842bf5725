package prober

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// probe describes one probe of an endpoint.
type probe struct {
	config *compiler.Endpoint
	// freshConnection is set if the probe uses a new connection.
	freshConnection bool
	// readCache is set if the probe also reads the contents of the cache.
	readCache bool
}

// probe reads the endpoint's load report, or pings an endpoint without load
// reports, and stores the result.
func (p *Prober) probe(ctx context.Context, next probe) {
	if next.freshConnection {
		ctx = dispatcher.WithFreshConnection(ctx)
	}
	report, err := p.client.Load(ctx, next.config)
	hasReport := true
	if lacksLoadReports(err) {
		hasReport = false
		err = p.client.Ping(ctx, next.config)
	}
	if next.readCache {
		p.readCache(ctx, next.config, err == nil)
	}
	p.finishProbe(ctx, next, report, hasReport, err)
}

// lacksLoadReports reports whether the error says that the endpoint does not
// serve load reports.
func lacksLoadReports(err error) bool {
	var failure *dispatcher.Failure
	return errors.As(err, &failure) && failure.Status == http.StatusNotFound
}

// finishProbe stores the result of a probe, unless the endpoint was removed or
// replaced meanwhile or ctx was canceled.
func (p *Prober) finishProbe(ctx context.Context, finished probe, report generator.LoadReport, hasReport bool, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.probesInFlight--
	e := p.endpointOf(finished.config)
	if e == nil {
		return
	}
	e.isProbing = false
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		p.probeFailed(e, now, err)
		return
	}
	p.probeSucceeded(e, now, report, hasReport)
}

func (p *Prober) probeSucceeded(e *endpoint, now time.Time, report generator.LoadReport, hasReport bool) {
	e.probeFailures = 0
	if e.readmitIfDue(now) {
		p.log.Log(endpointReturned, "Endpoint", e.config.Name)
	}
	if !hasReport {
		return
	}
	if report.Leaving && !e.leaving {
		p.log.Log(endpointLeaving, "Endpoint", e.config.Name, "Sign", "LoadReport")
	}
	e.storeReport(now, report)
}

func (p *Prober) probeFailed(e *endpoint, now time.Time, err error) {
	var failure *dispatcher.Failure
	if errors.As(err, &failure) {
		if failure.Leaving {
			e.markLeaving(now)
			return
		}
		if failure.Reason == dispatcher.Silent && failure.Reused {
			e.expediteProbe(p.probeInterval)
			return
		}
	}
	e.probeFailures++
	if e.probeFailures >= p.failureThreshold {
		p.eject(e, now)
	}
}

// endpointOf returns the endpoint of the configuration, or nil if it was
// removed or its address changed.
func (p *Prober) endpointOf(config *compiler.Endpoint) *endpoint {
	e := p.endpoints[config.Name]
	if e == nil || e.config.Address != config.Address {
		return nil
	}
	return e
}

var _ Client = (*dispatcher.Dispatcher)(nil)
