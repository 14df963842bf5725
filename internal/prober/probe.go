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

// probe is one probe of an endpoint.
type probe struct {
	config *compiler.Endpoint
	// fresh asks for a connection of its own.
	fresh bool
	// follow asks for what the cache holds too.
	follow bool
}

// probe asks the endpoint about itself and keeps what it answers.
func (p *Prober) probe(ctx context.Context, next probe) {
	if next.fresh {
		ctx = dispatcher.WithFreshConnection(ctx)
	}
	report, err := p.client.Load(ctx, next.config)
	offered := true
	if notOffered(err) {
		offered = false
		err = p.client.Ping(ctx, next.config)
	}
	if next.follow {
		p.follow(ctx, next.config, err == nil)
	}
	p.probed(ctx, next, report, offered, err)
}

// notOffered reports whether the endpoint has no load reports.
func notOffered(err error) bool {
	var failure *dispatcher.Failure
	return errors.As(err, &failure) && failure.Status == http.StatusNotFound
}

// probed keeps the result, unless the endpoint was replaced in the meantime or
// the process is stopping.
func (p *Prober) probed(ctx context.Context, done probe, report generator.LoadReport, offered bool, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.probing--
	e := p.same(done.config)
	if e == nil {
		return
	}
	e.probing = false
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		p.probeFailed(e, now, err)
		return
	}
	p.probeWorked(e, now, report, offered)
}

func (p *Prober) probeWorked(e *endpoint, now time.Time, report generator.LoadReport, offered bool) {
	e.probeFailures = 0
	if e.back(now) {
		p.log.Log(endpointReturned, "Endpoint", e.config.Name)
	}
	if !offered {
		return
	}
	if report.Leaving && !e.leaving {
		p.log.Log(endpointLeaving, "Endpoint", e.config.Name, "Sign", "LoadReport")
	}
	e.takeReport(now, report)
}

func (p *Prober) probeFailed(e *endpoint, now time.Time, err error) {
	var failure *dispatcher.Failure
	if errors.As(err, &failure) {
		if failure.Leaving {
			e.leave(now)
			return
		}
		if failure.Reason == dispatcher.Silent && failure.Reused {
			e.hurry(p.interval)
			return
		}
	}
	e.probeFailures++
	if e.probeFailures >= p.threshold {
		p.eject(e, now)
	}
}

// same returns the endpoint, or nil if it was removed or replaced since.
func (p *Prober) same(config *compiler.Endpoint) *endpoint {
	e := p.endpoints[config.Name]
	if e == nil || e.config.Address != config.Address {
		return nil
	}
	return e
}

var _ Client = (*dispatcher.Dispatcher)(nil)
