package prober

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Values of generator.CacheEvent.Change.
const (
	changeStored  = "Stored"
	changeEvicted = "Evicted"
)

// Estimated response sizes in bytes, charged to the cache read budget.
const (
	responseBytes = 350
	eventBytes    = 95
	holdingBytes  = 60
	// cacheReadReserve is charged to the budget while a cache read is in flight, in bytes.
	cacheReadReserve = 1 << 10
)

// maxSkippedPages bounds the pages of old events that one probe skips.
const maxSkippedPages = 4

// cacheContents estimates the contents of an engine's cache. Events arrive
// late, and a list does not say which events it includes, so the token counts
// are approximate until the next list.
type cacheContents struct {
	lastEvent int64
	listedAt  time.Time
	tokens    map[string]int
}

// readCache reads the engine's cache events, and the full list of its holdings
// on the first read, after a gap in the events or when the resync interval has
// passed. It reads nothing if the engine did not answer the probe. Probes of
// one endpoint do not overlap, so no other call changes the cache concurrently.
func (p *Prober) readCache(ctx context.Context, config *compiler.Endpoint, answered bool) {
	defer p.chargeCacheBudget(-cacheReadReserve)
	if !answered {
		return
	}
	after, listedAt, ok := p.cachePosition(config)
	if !ok {
		return
	}
	if listedAt.IsZero() {
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
	if time.Since(listedAt) >= p.resync {
		p.readHoldings(ctx, config, page.Next)
	}
}

// readEvents reads one page of events and charges its size to the cache read budget.
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

// skipEvents discards old events, up to maxSkippedPages pages, and returns the
// number of the last one read.
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

// hasEventGap reports whether the page does not continue at the event number
// after, because events are missing or the engine restarted its numbering.
func hasEventGap(after int64, page generator.CacheEventPage) bool {
	for _, event := range page.Events {
		if event.Number != after+1 {
			return true
		}
		after = event.Number
	}
	return page.Next != after
}

func (p *Prober) cachePosition(config *compiler.Endpoint) (after int64, listedAt time.Time, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.endpointOf(config)
	if e == nil {
		return 0, time.Time{}, false
	}
	return e.cache.lastEvent, e.cache.listedAt, true
}

// readHoldings replaces the estimated cache contents by the engine's full list.
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

// applyEvents updates the estimated cache contents and notifies the observer of
// evicted programs.
func (p *Prober) applyEvents(config *compiler.Endpoint, page generator.CacheEventPage) {
	for _, program := range p.updateCache(config, page) {
		p.cacheObserver.ProgramEvicted(config.Name, program)
	}
}

// updateCache applies the events and returns the programs that are no longer cached.
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

// apply applies the event and reports whether any of its program is still cached.
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
