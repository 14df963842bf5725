package bencher

import (
	"container/list"
	"time"
)

// cache is the bounded prefix cache of a fake engine. Entries that no running
// generation uses are evicted from their tails, least recently used first.
type cache struct {
	limit   int
	used    int
	entries map[string]*held
	// recent lists the entries, least recently used first.
	recent *list.List
	// evicted is told what is left of an entry.
	evicted func(key string, tokens int)
}

// held is one entry of a cache.
type held struct {
	key    string
	tokens int
	pins   int
	// freed is the time at which the entry was last unpinned.
	freed time.Time
	place *list.Element
}

func newCache(limit int, evicted func(key string, tokens int)) *cache {
	return &cache{
		limit:   limit,
		entries: make(map[string]*held),
		recent:  list.New(),
		evicted: evicted,
	}
}

// tokens returns the tokens held for the key.
func (c *cache) tokens(key string) int {
	if h, ok := c.entries[key]; ok {
		return h.tokens
	}
	return 0
}

// pin marks the key as used and returns its entry, which is made if needed.
func (c *cache) pin(key string) *held {
	h, ok := c.entries[key]
	if !ok {
		h = &held{key: key}
		h.place = c.recent.PushBack(h)
		c.entries[key] = h
	}
	c.recent.MoveToBack(h.place)
	h.pins++
	return h
}

// unpin ends a use of the entry.
func (c *cache) unpin(h *held, now time.Time) {
	h.pins--
	h.freed = now
	if h.pins == 0 && h.tokens == 0 {
		c.drop(h)
	}
}

// grow sets a pinned entry to at least the tokens, evicting others; it says
// whether there was room.
func (c *cache) grow(h *held, tokens int) bool {
	more := tokens - h.tokens
	if more <= 0 {
		return true
	}
	if !c.makeRoom(more) {
		return false
	}
	h.tokens = tokens
	c.used += more
	return true
}

// shrink cuts an entry down to the tokens.
func (c *cache) shrink(h *held, tokens int) {
	c.used -= h.tokens - tokens
	h.tokens = tokens
	if tokens == 0 && h.pins == 0 {
		c.drop(h)
	}
}

// release drops the key's entry unless it is in use.
func (c *cache) release(key string) {
	h, ok := c.entries[key]
	if !ok || h.pins > 0 {
		return
	}
	c.shrink(h, 0)
}

func (c *cache) makeRoom(tokens int) bool {
	next := c.recent.Front()
	for c.used+tokens > c.limit && next != nil {
		h := next.Value.(*held)
		next = next.Next()
		if h.pins > 0 {
			continue
		}
		excess := c.used + tokens - c.limit
		c.shrink(h, max(h.tokens-excess, 0))
		c.evicted(h.key, h.tokens)
	}
	return c.used+tokens <= c.limit
}

func (c *cache) drop(h *held) {
	c.recent.Remove(h.place)
	delete(c.entries, h.key)
}
