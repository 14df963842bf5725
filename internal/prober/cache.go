package prober

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// The changes of cache events.
const (
	changeStored  = "Stored"
	changeEvicted = "Evicted"
)

// The sizes of answers, for the bound on what is read about caches.
const (
	answerBytes  = 350
	eventBytes   = 95
	holdingBytes = 60
	// followReserve is set aside while what a cache holds is being read.
	followReserve = 1 << 10
)

// catchUpPages bounds the pages of old events that are read over at a time.
const catchUpPages = 4

// cache is what an engine is believed to hold. Events come late and a list
// does not say which of them it includes, so the token counts are estimates
// until the next list.
type cache struct {
	after  int64
	listed time.Time
	tokens map[string]int
}

// follow reads the engine's cache events, and its whole list after a gap or
// when the last one is old. One probe of an endpoint runs at a time, so no
// other call changes the cache meanwhile. An engine that doesn't answer is not
// asked.
func (p *Prober) follow(ctx context.Context, config *compiler.Endpoint, answers bool) {
	defer p.spend(-followReserve)
	if !answers {
		return
	}
	after, listed, ok := p.position(config)
	if !ok {
		return
	}
	if listed.IsZero() {
		p.list(ctx, config, p.readOver(ctx, config, after))
		return
	}
	page, err := p.events(ctx, config, after)
	if err != nil {
		return
	}
	if hasGap(after, page) {
		p.log.Log(eventGap, "Endpoint", config.Name, "After", after, "Next", page.Next)
		p.list(ctx, config, page.Next)
		return
	}
	p.apply(config, page)
	if time.Since(listed) >= p.resync {
		p.list(ctx, config, page.Next)
	}
}

// events reads one page and counts its size.
func (p *Prober) events(ctx context.Context, config *compiler.Endpoint, after int64) (generator.CacheEventPage, error) {
	page, err := p.client.Events(ctx, config, after)
	p.spend(answerBytes + len(page.Events)*eventBytes)
	return page, err
}

func (p *Prober) spend(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cacheAllowed -= float64(bytes)
}

// readOver returns the number of the last event there is.
func (p *Prober) readOver(ctx context.Context, config *compiler.Endpoint, after int64) int64 {
	for range catchUpPages {
		page, err := p.events(ctx, config, after)
		if err != nil || len(page.Events) == 0 || page.Next <= after {
			break
		}
		after = page.Next
	}
	return after
}

// hasGap reports whether events after the number are missing from the page, or
// the engine numbers them anew.
func hasGap(after int64, page generator.CacheEventPage) bool {
	for _, event := range page.Events {
		if event.Number != after+1 {
			return true
		}
		after = event.Number
	}
	return page.Next != after
}

func (p *Prober) position(config *compiler.Endpoint) (after int64, listed time.Time, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.same(config)
	if e == nil {
		return 0, time.Time{}, false
	}
	return e.cache.after, e.cache.listed, true
}

// list replaces what is believed by the engine's whole list.
func (p *Prober) list(ctx context.Context, config *compiler.Endpoint, after int64) {
	report, err := p.client.Holdings(ctx, config)
	if err != nil {
		return
	}
	p.spend(answerBytes + len(report.Holdings)*holdingBytes)
	tokens := make(map[string]int, len(report.Holdings))
	for _, holding := range report.Holdings {
		tokens[holding.Program] = holding.Tokens
	}
	p.mutex.Lock()
	if e := p.same(config); e != nil {
		e.cache = cache{after: after, listed: time.Now(), tokens: tokens}
	}
	p.mutex.Unlock()
	p.watcher.CacheListed(config.Name, report.Holdings)
}

// apply changes what is believed by the page's events.
func (p *Prober) apply(config *compiler.Endpoint, page generator.CacheEventPage) {
	for _, program := range p.change(config, page) {
		p.watcher.ProgramEvicted(config.Name, program)
	}
}

// change applies the events and returns the programs that are no longer held.
func (p *Prober) change(config *compiler.Endpoint, page generator.CacheEventPage) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.same(config)
	if e == nil {
		return nil
	}
	e.cache.after = page.Next
	var gone []string
	for _, event := range page.Events {
		if !e.cache.apply(event) {
			gone = append(gone, event.Program)
		}
	}
	return gone
}

// apply reports whether anything of the event's program is still held.
func (c *cache) apply(event generator.CacheEvent) bool {
	switch event.Change {
	case changeStored:
		c.tokens[event.Program] += event.Tokens
	case changeEvicted:
		c.tokens[event.Program] -= event.Tokens
	}
	if c.tokens[event.Program] > 0 {
		return true
	}
	delete(c.tokens, event.Program)
	return false
}
