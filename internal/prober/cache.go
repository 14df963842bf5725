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
	responseBytes  = 350
	eventBytes   = 95
	holdingBytes = 60
	// cacheReadReserve is set aside while what a cache holds is being read.
	cacheReadReserve = 1 << 10
)

// maxSkippedPages bounds the pages of old events that are read over at a time.
const maxSkippedPages = 4

// cacheContents is what an engine is believed to hold. Events come late and a list
// does not say which of them it includes, so the token counts are estimates
// until the next list.
type cacheContents struct {
	lastEvent  int64
	listedAt time.Time
	tokens map[string]int
}

// readCache reads the engine's cache events, and its whole list after a gap or
// when the last one is old. One probe of an endpoint runs at a time, so no
// other call changes the cache meanwhile. An engine that doesn't answer is not
// asked.
func (p *Prober) readCache(ctx context.Context, config *compiler.Endpoint, answers bool) {
	defer p.chargeCacheBudget(-cacheReadReserve)
	if !answers {
		return
	}
	after, listed, ok := p.cachePosition(config)
	if !ok {
		return
	}
	if listed.IsZero() {
		p.readHoldings(ctx, config, p.skipEvents(ctx, config, after))
		return
	}
	page, err := p.readEvents(ctx, config, after)
	if err != nil {
		return
	}
	if hasEventGap(after, page) {
		p.log.Log(cacheEventGap, "Endpoint", config.Name, "After", after, "Next", page.Next)
		p.readHoldings(ctx, config, page.Next)
		return
	}
	p.applyEvents(config, page)
	if time.Since(listed) >= p.resync {
		p.readHoldings(ctx, config, page.Next)
	}
}

// readEvents reads one page and counts its size.
func (p *Prober) readEvents(ctx context.Context, config *compiler.Endpoint, after int64) (generator.CacheEventPage, error) {
	page, err := p.client.Events(ctx, config, after)
	p.chargeCacheBudget(responseBytes + len(page.Events)*eventBytes)
	return page, err
}

func (p *Prober) chargeCacheBudget(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cacheBudget -= float64(bytes)
}

// skipEvents returns the number of the last event there is.
func (p *Prober) skipEvents(ctx context.Context, config *compiler.Endpoint, after int64) int64 {
	for range maxSkippedPages {
		page, err := p.readEvents(ctx, config, after)
		if err != nil || len(page.Events) == 0 || page.Next <= after {
			break
		}
		after = page.Next
	}
	return after
}

// hasEventGap reports whether events after the number are missing from the page, or
// the engine numbers them anew.
func hasEventGap(after int64, page generator.CacheEventPage) bool {
	for _, event := range page.Events {
		if event.Number != after+1 {
			return true
		}
		after = event.Number
	}
	return page.Next != after
}

func (p *Prober) cachePosition(config *compiler.Endpoint) (after int64, listed time.Time, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.endpointOf(config)
	if e == nil {
		return 0, time.Time{}, false
	}
	return e.cache.lastEvent, e.cache.listedAt, true
}

// readHoldings replaces what is believed by the engine's whole readHoldings.
func (p *Prober) readHoldings(ctx context.Context, config *compiler.Endpoint, after int64) {
	report, err := p.client.Holdings(ctx, config)
	if err != nil {
		return
	}
	p.chargeCacheBudget(responseBytes + len(report.Holdings)*holdingBytes)
	tokens := make(map[string]int, len(report.Holdings))
	for _, holding := range report.Holdings {
		tokens[holding.Program] = holding.Tokens
	}
	p.mutex.Lock()
	if e := p.endpointOf(config); e != nil {
		e.cache = cacheContents{lastEvent: after, listedAt: time.Now(), tokens: tokens}
	}
	p.mutex.Unlock()
	p.cacheObserver.CacheListed(config.Name, report.Holdings)
}

// applyEvents changes what is believed by the page's events.
func (p *Prober) applyEvents(config *compiler.Endpoint, page generator.CacheEventPage) {
	for _, program := range p.updateCache(config, page) {
		p.cacheObserver.ProgramEvicted(config.Name, program)
	}
}

// updateCache applies the events and returns the programs that are no longer held.
func (p *Prober) updateCache(config *compiler.Endpoint, page generator.CacheEventPage) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.endpointOf(config)
	if e == nil {
		return nil
	}
	e.cache.lastEvent = page.Next
	var evicted []string
	for _, event := range page.Events {
		if !e.cache.apply(event) {
			evicted = append(evicted, event.Program)
		}
	}
	return evicted
}

// apply reports whether anything of the event's program is still held.
func (c *cacheContents) apply(event generator.CacheEvent) bool {
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
