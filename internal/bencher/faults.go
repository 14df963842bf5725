package bencher

import (
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

const (
	// faultStart is the time at which a fault begins, as a share of the arrivals.
	faultStart = 1.0 / 3
	// slowTime, silentTime and leavingTime are how long a fault lasts before the
	// engine recovers or goes, as shares of the arrivals.
	slowTime    = 1.0 / 3
	silentTime  = 0.1
	leavingTime = 0.05
	// slowFactor is how much longer a slow engine's steps are.
	slowFactor = 3
	// leavingGrace is the time after the announcement in which an engine may
	// still get work.
	leavingGrace = 3 * time.Second
)

// setFault plans the run's fault on the first engine.
func (d *driver) setFault() {
	e := d.engines[0]
	begin := d.share(faultStart)
	switch d.config.Fault {
	case Slow:
		d.clock.after(begin, func() { e.slowdown = slowFactor })
		d.clock.after(begin+d.share(slowTime), func() { e.slowdown = 1 })
	case Silent:
		d.clock.after(begin, func() { d.silence(e) })
		d.clock.after(begin+d.share(silentTime), func() { d.revive(e) })
	case Leaving:
		d.clock.after(begin, func() {
			e.leaving = true
			d.recorder.leavingSince = d.clock.elapsed()
		})
		d.clock.after(begin+d.share(leavingTime), func() { d.remove(e) })
	}
}

func (d *driver) share(part float64) time.Duration {
	return time.Duration(part * float64(d.config.Arrivals))
}

func (d *driver) silence(e *engine) {
	e.silent = true
	for _, g := range slices.Concat(e.running, e.waiting) {
		d.clock.after(gapTimeout, func() { d.fail(e, g) })
	}
}

// revive brings a silent engine back with an empty cache.
func (d *driver) revive(e *engine) {
	for _, g := range slices.Concat(e.running, e.waiting) {
		d.fail(e, g)
	}
	e.cache = newCache(d.config.CacheTokens, e.cache.evicted)
	e.silent = false
	e.wake()
}

// remove takes an engine away and cuts what it still serves.
func (d *driver) remove(e *engine) {
	e.gone = true
	cut := slices.Concat(e.running, e.waiting)
	d.recorder.cut += len(cut)
	for _, g := range cut {
		d.fail(e, g)
	}
	e.cache = newCache(d.config.CacheTokens, e.cache.evicted)
}

// report sends an engine's load to all instances, late.
func (d *driver) report(e *engine) {
	if e.gone {
		return
	}
	d.clock.after(d.config.ReportPeriod, func() { d.report(e) })
	if e.silent {
		return
	}
	r := generator.LoadReport{
		Endpoint: engineName(e.index), Running: len(e.running), Waiting: len(e.waiting),
		Slots: engineSlots, CacheTokens: e.cache.used, CacheLimit: e.cache.limit,
		Age: reportLag, Leaving: e.leaving,
	}
	d.clock.after(reportLag, func() { d.broadcast(Event{Load: &Load{Engine: e.index, Report: r}}) })
}

// stored implements engineObserver.
func (d *driver) stored(e *engine, key string, tokens int) {
	d.cacheEvent(e, generator.CacheEvent{Program: key, Change: eventStored, Tokens: tokens})
}

// evicted implements engineObserver.
func (d *driver) evicted(e *engine, key string, tokens int) {
	d.cacheEvent(e, generator.CacheEvent{Program: key, Change: eventEvicted, Tokens: tokens})
}

// cacheEvent sends a cache event late or not at all. Those about a program go to its
// owner, those about shared instructions to all.
func (d *driver) cacheEvent(e *engine, event generator.CacheEvent) {
	lost := d.random.Float64() < eventLoss
	delay := eventDelayLow + time.Duration(d.random.Int64N(int64(eventDelayHigh-eventDelayLow)))
	if lost {
		return
	}
	p, ok := d.programs[event.Program]
	if ok && p.ended {
		return
	}
	message := Event{Cache: &Cache{Engine: e.index, Event: event}}
	d.clock.after(delay, func() {
		if ok {
			d.deliver(p.owner, message)
			return
		}
		if event.Change == eventEvicted {
			d.broadcast(message)
		}
	})
}

// sample adds up what the engines hold once a second.
func (d *driver) sample() {
	d.clock.after(time.Second, d.sample)
	for _, e := range d.engines {
		for key, h := range e.cache.entries {
			d.recorder.held += h.tokens
			if p, ok := d.programs[key]; ok && p.ended {
				d.recorder.heldEnded += h.tokens
			}
		}
	}
}
