package prober

import (
	"slices"
	"time"
)

const (
	// minGapEndpoints is the number of endpoints of a group that must have gaps
	// before they are compared.
	minGapEndpoints = 3
	// defaultGapRatio is the ratio of an endpoint that can't be compared.
	defaultGapRatio = 1
)

// View is what is known of one endpoint now.
type View struct {
	Endpoint string
	// Usable is false for an endpoint that is leaving or ejected.
	Usable  bool
	Leaving bool
	Ejected bool
	// HasReport says that there is a load report.
	HasReport bool
	Running   int
	Waiting   int
	Slots     int
	// ReportedAt is when the load figures were true, and Age how long ago that is.
	ReportedAt time.Time
	Age        time.Duration
	// ReportCount counts the load reports, so that a new one is recognized.
	ReportCount int64
	// Ramp is the share of its slots that may be used, 0 to 1.
	Ramp float64
	// GapRatio is its time between tokens over the usual one of its group.
	GapRatio float64
}

// View returns what is known of the endpoint; false if it isn't in the document.
func (p *Prober) View(name string) (View, bool) {
	version := p.current()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.applyVersion(version, now)
	e := p.endpoints[name]
	if e == nil {
		return View{}, false
	}
	return p.view(e, now, p.medianGaps(now)), true
}

// Endpoints returns the views of all endpoints in the document, by name.
func (p *Prober) Endpoints() []View {
	version := p.current()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.applyVersion(version, now)
	gaps := p.medianGaps(now)
	views := make([]View, 0, len(p.sorted))
	for _, e := range p.sorted {
		views = append(views, p.view(e, now, gaps))
	}
	return views
}

// CachedTokens returns how much of the program the endpoint is believed to hold.
func (p *Prober) CachedTokens(name, program string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.endpoints[name]
	if e == nil {
		return 0
	}
	return e.cache.tokens[program]
}

func (p *Prober) view(e *endpoint, now time.Time, gaps map[string]time.Duration) View {
	v := View{
		Endpoint:    e.config.Name,
		Usable:      !e.isLeaving() && !e.ejected,
		Leaving:     e.isLeaving(),
		Ejected:     e.ejected,
		Slots:       e.config.Slots,
		Ramp:        e.ramp(now, p.rampTime),
		GapRatio:    e.gapRatio(now, gaps[e.group]),
		ReportCount: e.reportCount,
	}
	if e.reportedAt.IsZero() {
		return v
	}
	v.HasReport = true
	v.Running = e.report.Running
	v.Waiting = e.report.Waiting
	if e.report.Slots > 0 {
		v.Slots = e.report.Slots
	}
	v.ReportedAt = e.reportedAt
	v.Age = now.Sub(e.reportedAt)
	return v
}

func (e *endpoint) hasGap(now time.Time) bool {
	return e.gap > 0 && now.Sub(e.gapAt) <= maxGapAge
}

func (e *endpoint) gapRatio(now time.Time, median time.Duration) float64 {
	if median <= 0 || !e.hasGap(now) {
		return defaultGapRatio
	}
	return e.gap.Seconds() / median.Seconds()
}

// medianGaps returns the median gap of each group that can be compared.
func (p *Prober) medianGaps(now time.Time) map[string]time.Duration {
	gaps := map[string][]time.Duration{}
	for _, e := range p.sorted {
		if e.hasGap(now) {
			gaps[e.group] = append(gaps[e.group], e.gap)
		}
	}
	medians := map[string]time.Duration{}
	for group, all := range gaps {
		if len(all) < minGapEndpoints {
			continue
		}
		slices.Sort(all)
		medians[group] = all[len(all)/2]
	}
	return medians
}
