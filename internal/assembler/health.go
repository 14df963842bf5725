package assembler

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/prober"
)

// cacheObserver forwards changes of engines' caches to the executor.
type cacheObserver struct{ daemon *daemon }

// ProgramEvicted implements prober.CacheObserver.
func (o cacheObserver) ProgramEvicted(endpoint, program string) {
	o.daemon.sendEvent(decider.PrefixEvicted{Endpoint: endpoint, Program: program})
}

// CacheListed implements prober.CacheObserver.
func (o cacheObserver) CacheListed(endpoint string, holdings []generator.Holding) {
	programs := make([]string, 0, len(holdings))
	for _, holding := range holdings {
		programs = append(programs, holding.Program)
	}
	o.daemon.sendEvent(decider.HoldingsReported{Endpoint: endpoint, Programs: programs})
}

// sendEvent sends the event to the executor of the current generation, if there is one.
func (d *daemon) sendEvent(event decider.Event) {
	if g := d.generation.Load(); g != nil {
		g.executor.Send(event)
	}
}

// reportHealth periodically sends the executor whether the lease is confirmed and the
// health of the endpoints.
func (d *daemon) reportHealth(ctx context.Context) {
	reportCounts := map[string]int64{}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g := d.generation.Load()
		if g == nil {
			continue
		}
		g.executor.Send(decider.StoreHealthChanged{Down: !g.leaser.Confirmed()})
		g.executor.Send(decider.EndpointsChanged{Views: endpointViews(d.prober.Endpoints(), reportCounts)})
	}
}

// endpointViews converts the prober's views for the decision core. reportCounts holds
// each endpoint's report count at the previous call and is updated.
func endpointViews(probed []prober.View, reportCounts map[string]int64) []decider.EndpointView {
	views := make([]decider.EndpointView, 0, len(probed))
	for _, v := range probed {
		views = append(views, decider.EndpointView{
			Name: v.Endpoint, Running: v.Running, Waiting: v.Waiting, Slots: v.Slots, Age: v.Age,
			Usable: v.Usable, Ramp: v.Ramp, GapRatio: v.GapRatio, Fresh: v.ReportCount != reportCounts[v.Endpoint],
		})
		reportCounts[v.Endpoint] = v.ReportCount
	}
	return views
}

// endpointState returns the state of an endpoint as operators see it.
func endpointState(v prober.View) string {
	switch {
	case v.Leaving:
		return "Leaving"
	case v.Ejected:
		return "Down"
	case !v.HasReport:
		return "Suspect"
	}
	return "Healthy"
}
