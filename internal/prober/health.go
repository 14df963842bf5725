package prober

import (
	"errors"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
)

// RecordSuccess says that a request of this instance was answered.
func (p *Prober) RecordSuccess(name string, _ time.Duration) {
	p.withEndpoint(name, func(e *endpoint, now time.Time) {
		e.usedAt = now
		e.failures = 0
		if e.ejections > 0 && !e.ejected && now.Sub(e.ejectedUntil) > p.rampTime {
			e.ejections = 0
		}
	})
}

// RecordFailure says that a request of this instance failed for the reason. What its
// caller gave up says nothing of the endpoint.
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

// MarkLeaving says that the endpoint answered that it takes no new work.
func (p *Prober) MarkLeaving(name string) {
	p.withEndpoint(name, func(e *endpoint, now time.Time) {
		if !e.leaving {
			p.log.Log(endpointLeaving, "Endpoint", name, "Sign", "Refusal")
		}
		e.markLeaving(now)
	})
}

// RecordResult records how a request of this instance went; err is the dispatcher's.
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

// RecordTokenGap records how long the endpoint took from one token to the next.
func (p *Prober) RecordTokenGap(name string, gap time.Duration) {
	p.withEndpoint(name, func(e *endpoint, now time.Time) {
		e.usedAt = now
		e.addGap(now, gap)
	})
}

// withEndpoint runs f on the endpoint, if it is in the document.
func (p *Prober) withEndpoint(name string, f func(*endpoint, time.Time)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e := p.endpoints[name]; e != nil {
		f(e, time.Now())
	}
}

// eject takes the endpoint out of use for a time, unless too many of its group
// are out already.
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
	if !e.deniedAt.IsZero() && now.Sub(e.deniedAt) < deniedLogInterval {
		return
	}
	e.deniedAt = now
	p.log.Log(ejectionDenied, "Endpoint", e.config.Name)
}

// maxEjected returns how many of a group may be ejected at a time.
func (p *Prober) maxEjected(size int) int { return int(p.maxEjectedShare * float64(size)) }

// countGroup returns how many of the group's endpoints are staying, and how many of
// those are ejected.
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

// readmitExcess takes ejected endpoints back into use where so many of their group
// have left meanwhile that the largest share is exceeded.
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
