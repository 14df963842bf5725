package prober

import (
	"slices"
	"time"
)

const (
	// minGapEndpoints is the least number of endpoints with token gaps for which
	// the median of a group is used.
	minGapEndpoints = 3
	// defaultGapRatio is the ratio of an endpoint without a gap or a group median.
	defaultGapRatio = 1
)

// View is a snapshot of the state of one endpoint.
type View struct {
	Endpoint string
	// Usable is false for an endpoint that is leaving or ejected.
	Usable  bool
	Leaving bool
	Ejected bool
	// HasReport is set if a load report was received.
	HasReport bool
	Running   int
	Waiting   int
	Slots     int
	// ReportedAt is when the endpoint measured its load, and Age the time since.
	ReportedAt time.Time
	Age        time.Duration
	// ReportCount counts the load reports; it changes with each new one.
	ReportCount int64
	// Ramp is the share of its slots that may be used, from 0 to 1.
	Ramp float64
	// GapRatio is the average token gap divided by the median of the group.
	GapRatio float64
}

// View returns a snapshot of the endpoint, and false if it isn't in the document.
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

// Endpoints returns snapshots of all endpoints in the document, sorted by name.
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

// CachedTokens returns the estimated number of the program's tokens in the
// endpoint's cache.
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
	return e.averageGap > 0 && now.Sub(e.gapAt) <= maxGapAge
}

func (e *endpoint) gapRatio(now time.Time, median time.Duration) float64 {
	if median <= 0 || !e.hasGap(now) {
		return defaultGapRatio
	}
	return e.averageGap.Seconds() / median.Seconds()
}

// medianGaps returns the median token gap of each group with at least
// minGapEndpoints endpoints that have one.
func (p *Prober) medianGaps(now time.Time) map[string]time.Duration {
	gaps := map[string][]time.Duration{}
	for _, e := range p.sorted {
		if e.hasGap(now) {
			gaps[e.group] = append(gaps[e.group], e.averageGap)
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
