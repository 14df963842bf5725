package fakeengine

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// eventLimit bounds the cache events kept.
const eventLimit = 8192

// eventPageLimit bounds the cache events of one page.
const eventPageLimit = 1024

// eventLog keeps cache events until they are late enough to be seen.
type eventLog struct {
	delay  time.Duration
	loss   float64
	random *rand.Rand
	number int64
	kept   []datedEvent
}

type datedEvent struct {
	generator.CacheEvent
	visible time.Time
}

// add numbers the event and keeps it, unless it is drawn to be lost.
func (l *eventLog) add(now time.Time, program, change string, tokens int) {
	l.number++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	event := generator.CacheEvent{Number: l.number, Program: program, Change: change, Tokens: tokens}
	l.kept = append(l.kept, datedEvent{CacheEvent: event, visible: now.Add(l.delay)})
	if len(l.kept) > eventLimit {
		l.kept = l.kept[1:]
	}
}

// page returns the visible events after the number. A reader that is ahead of
// the log, because the engine was restarted, is given the log from its start.
func (l *eventLog) page(now time.Time, after int64) generator.CacheEventPage {
	if after > l.number {
		after = 0
	}
	page := generator.CacheEventPage{Events: []generator.CacheEvent{}, Next: after}
	for _, e := range l.kept {
		if e.Number <= after {
			continue
		}
		if e.visible.After(now) || len(page.Events) == eventPageLimit {
			break
		}
		page.Events = append(page.Events, e.CacheEvent)
		page.Next = e.Number
	}
	return page
}

// loadLog keeps the load figures that a lagging report may still show.
type loadLog struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	running int
	waiting int
	cache   int
}

// add keeps the sample and drops those that no report can show any more.
func (l *loadLog) add(s loadSample) {
	l.samples = append(l.samples, s)
	shown := s.at.Add(-l.lag)
	for len(l.samples) > 1 && !l.samples[1].at.After(shown) {
		l.samples = l.samples[1:]
	}
}

// at returns the figures as they were a lag ago.
func (l *loadLog) at(now time.Time) loadSample {
	shown := now.Add(-l.lag)
	var sample loadSample
	for _, s := range l.samples {
		if s.at.After(shown) {
			break
		}
		sample = s
	}
	return sample
}
