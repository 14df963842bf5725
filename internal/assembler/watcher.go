package assembler

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/prober"
)

// memory tells the owner what engines' caches hold.
type memory struct{ daemon *daemon }

// ProgramEvicted implements prober.CacheObserver.
func (m memory) ProgramEvicted(endpoint, program string) {
	m.daemon.tell(decider.PrefixEvicted{Endpoint: endpoint, Program: program})
}

// CacheListed implements prober.CacheObserver.
func (m memory) CacheListed(endpoint string, holdings []generator.Holding) {
	programs := make([]string, 0, len(holdings))
	for _, holding := range holdings {
		programs = append(programs, holding.Program)
	}
	m.daemon.tell(decider.HoldingsReported{Endpoint: endpoint, Programs: programs})
}

// tell hands the event to the owner of the present generation, if there is one.
func (d *daemon) tell(event decider.Event) {
	if t := d.tenure.Load(); t != nil {
		t.owner.Send(event)
	}
}

// watch tells the owner whether the store confirms the lease and how the
// endpoints are.
func (d *daemon) watch(ctx context.Context) {
	reports := map[string]int64{}
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t := d.tenure.Load()
		if t == nil {
			continue
		}
		t.owner.Send(decider.StoreHealthChanged{Down: !t.lease.Confirmed()})
		t.owner.Send(decider.EndpointsChanged{Views: views(d.prober.Endpoints(), reports)})
	}
}

// views translates the prober's views; reports holds the number of each
// endpoint's last report.
func views(probed []prober.View, reports map[string]int64) []decider.EndpointView {
	all := make([]decider.EndpointView, 0, len(probed))
	for _, v := range probed {
		all = append(all, decider.EndpointView{
			Name: v.Endpoint, Running: v.Running, Waiting: v.Waiting, Slots: v.Slots, Age: v.Age,
			Usable: v.Usable, Ramp: v.Ramp, GapRatio: v.GapRatio, Fresh: v.ReportCount != reports[v.Endpoint],
		})
		reports[v.Endpoint] = v.ReportCount
	}
	return all
}

// stateOf names the state of an endpoint for operators.
func stateOf(v prober.View) string {
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
