package prober

import (
	"errors"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
)

// RecordSuccess records that a request of this instance succeeded.
func (p *Prober) RecordSuccess(name string, _ time.Duration) {
	p.withEndpoint(name, func(e *endpoint, now time.Time) {
		e.usedAt = now
		e.failures = 0
		if e.ejections > 0 && !e.ejected && now.Sub(e.ejectedUntil) > p.rampTime {
			e.ejections = 0
		}
	})
}

// RecordFailure records that a request of this instance failed for the reason.
// Canceled requests are ignored: they say nothing about the endpoint's health.
func (p *Prober) RecordFailure(name string, reason dispatcher.Reason) {
	if reason == dispatcher.Canceled {
		return
	}
	p.withEndpoint(name, func(e *endpoint, now time.Time) {
		e.usedAt = now
		e.expediteProbe(p.probeInterval)
		if reason == dispatcher.Silent && !e.countsSilentFailure(now) {
			return
		}
		e.failures++
		if e.failures >= p.failureThreshold {
			p.eject(e, now)
		}
	})
}

// MarkLeaving records that the endpoint refused a request because it is leaving.
func (p *Prober) MarkLeaving(name string) {
	p.withEndpoint(name, func(e *endpoint, now time.Time) {
		if !e.leaving {
			p.log.Log(endpointLeaving, "Endpoint", name, "Sign", "Refusal")
		}
		e.markLeaving(now)
	})
}

// RecordResult records the result of a request of this instance. err is the
// dispatcher's error, nil for a success.
func (p *Prober) RecordResult(name string, took time.Duration, err error) {
	var failure *dispatcher.Failure
	switch {
	case err == nil:
		p.RecordSuccess(name, took)
	case errors.As(err, &failure) && failure.Leaving:
		p.MarkLeaving(name)
	default:
		p.RecordFailure(name, dispatcher.ReasonOf(err))
	}
}

// RecordTokenGap records the time between two tokens of the endpoint.
func (p *Prober) RecordTokenGap(name string, gap time.Duration) {
	p.withEndpoint(name, func(e *endpoint, now time.Time) {
		e.usedAt = now
		e.addGap(now, gap)
	})
}

// withEndpoint calls f with the endpoint, if it is known, while holding the mutex.
func (p *Prober) withEndpoint(name string, f func(*endpoint, time.Time)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e := p.endpoints[name]; e != nil {
		f(e, time.Now())
	}
}

// eject ejects the endpoint for a time that grows with repeated ejections,
// unless the largest allowed share of its group is ejected already.
func (p *Prober) eject(e *endpoint, now time.Time) {
	if e.ejected {
		return
	}
	if size, ejected := p.countGroup(e.group); ejected+1 > p.maxEjected(size) {
		p.logDenied(e, now)
		return
	}
	e.ejected = true
	e.ejections = min(e.ejections+1, maxEjectionFactor)
	e.ejectedUntil = now.Add(p.ejectionTime * time.Duration(e.ejections))
	p.log.Log(endpointEjected, "Endpoint", e.config.Name, "Failures", e.failures, "Probes", e.probeFailures, "Until", e.ejectedUntil)
}

func (p *Prober) logDenied(e *endpoint, now time.Time) {
	if !e.deniedLoggedAt.IsZero() && now.Sub(e.deniedLoggedAt) < deniedLogInterval {
		return
	}
	e.deniedLoggedAt = now
	p.log.Log(ejectionDenied, "Endpoint", e.config.Name)
}

// maxEjected returns how many endpoints of a group of the size may be ejected.
func (p *Prober) maxEjected(size int) int { return int(p.maxEjectedShare * float64(size)) }

// countGroup returns how many of the group's endpoints are not leaving, and how
// many of those are ejected.
func (p *Prober) countGroup(group string) (size, ejected int) {
	for _, e := range p.sorted {
		if e.group != group || e.isLeaving() {
			continue
		}
		size++
		if e.ejected {
			ejected++
		}
	}
	return size, ejected
}

// readmitExcess readmits ejected endpoints of groups that exceed the largest
// ejected share because other endpoints of the group are leaving or were removed.
func (p *Prober) readmitExcess(now time.Time) {
	for _, e := range p.sorted {
		if !e.ejected || e.isLeaving() {
			continue
		}
		if size, ejected := p.countGroup(e.group); ejected > p.maxEjected(size) {
			e.readmit(now)
			p.logDenied(e, now)
		}
	}
}
