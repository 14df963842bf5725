package fakeengine

import (
	"container/list"
	"slices"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// The changes that cache events tell.
const (
	changeStored  = "Stored"
	changeEvicted = "Evicted"
)

// seenLimit bounds the blocks remembered after their eviction.
const seenLimit = 1 << 20

// cache is a prefix cache of blocks, bounded and evicted from the least
// recently used. A block is held by each program whose prefix covers it.
type cache struct {
	blockTokens int
	limit       int // blocks
	blocks      map[uint64]*block
	recency     *list.List // of *block, the most recently used first
	holders     map[string]map[uint64]*block
	// pins counts the running generations that use a block, cached or not yet.
	pins map[uint64]int
	// seen remembers blocks that were held once, to tell repeated prefills.
	seen map[uint64]struct{}
	// notify is told each change of a program's holding.
	notify func(program, change string, tokens int)
}

// block is a run of tokens together with all tokens before it.
type block struct {
	hash     uint64
	place    *list.Element
	programs map[string]struct{}
}

func newCache(limitTokens, blockTokens int, notify func(program, change string, tokens int)) *cache {
	return &cache{
		blockTokens: blockTokens,
		limit:       limitTokens / blockTokens,
		blocks:      map[uint64]*block{},
		recency:     list.New(),
		holders:     map[string]map[uint64]*block{},
		pins:        map[uint64]int{},
		seen:        map[uint64]struct{}{},
		notify:      notify,
	}
}

// match returns the number of tokens of the longest cached prefix.
func (c *cache) match(hashes []uint64) int {
	n := 0
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; !ok {
			break
		}
		n++
	}
	return n * c.blockTokens
}

// recomputed returns how many tokens after the cached prefix were held before.
func (c *cache) recomputed(hashes []uint64) int {
	n := 0
	for _, hash := range hashes[c.match(hashes)/c.blockTokens:] {
		if _, ok := c.seen[hash]; ok {
			n++
		}
	}
	return n * c.blockTokens
}

// store holds the prefix for the program and evicts what no longer fits.
func (c *cache) store(program string, hashes []uint64) {
	hashes = hashes[:min(len(hashes), c.limit)]
	added := 0
	// The first block is used last, so that a prefix is evicted from its end.
	for _, hash := range slices.Backward(hashes) {
		if c.hold(program, c.use(hash)) {
			added++
		}
	}
	if added > 0 {
		c.notify(program, changeStored, added*c.blockTokens)
	}
	c.evict()
}

// use returns the block, made if need be, as the most recently used.
func (c *cache) use(hash uint64) *block {
	if b, ok := c.blocks[hash]; ok {
		c.recency.MoveToFront(b.place)
		return b
	}
	b := &block{hash: hash, programs: map[string]struct{}{}}
	b.place = c.recency.PushFront(b)
	c.blocks[hash] = b
	if len(c.seen) >= seenLimit {
		clear(c.seen)
	}
	c.seen[hash] = struct{}{}
	return b
}

// hold adds the program to the block's holders and says whether it is new.
func (c *cache) hold(program string, b *block) bool {
	if _, ok := b.programs[program]; ok {
		return false
	}
	b.programs[program] = struct{}{}
	if c.holders[program] == nil {
		c.holders[program] = map[uint64]*block{}
	}
	c.holders[program][b.hash] = b
	return true
}

// pin adds to the count of running generations that use the blocks. What is
// pinned is not evicted.
func (c *cache) pin(hashes []uint64, count int) {
	for _, hash := range hashes {
		c.pins[hash] += count
		if c.pins[hash] == 0 {
			delete(c.pins, hash)
		}
	}
}

// victim returns the least recently used block that is not pinned, or nil.
func (c *cache) victim() *block {
	for e := c.recency.Back(); e != nil; e = e.Prev() {
		if b := e.Value.(*block); c.pins[b.hash] == 0 {
			return b
		}
	}
	return nil
}

// evict drops the least recently used blocks until the rest fits. Pinned
// blocks may keep it above its limit.
func (c *cache) evict() {
	lost := map[string]int{}
	for len(c.blocks) > c.limit {
		b := c.victim()
		if b == nil {
			break
		}
		for program := range b.programs {
			c.letGo(program, b)
			lost[program]++
		}
		c.remove(b)
	}
	for _, program := range sortedNames(lost) {
		c.notify(program, changeEvicted, lost[program]*c.blockTokens)
	}
}

// release drops the program's holdings; blocks without a holder are freed.
func (c *cache) release(program string) {
	held := c.holders[program]
	if len(held) == 0 {
		return
	}
	count := len(held)
	for _, b := range held {
		c.letGo(program, b)
		if len(b.programs) == 0 {
			c.remove(b)
		}
	}
	c.notify(program, changeEvicted, count*c.blockTokens)
}

// letGo takes the program from the block's holders.
func (c *cache) letGo(program string, b *block) {
	delete(b.programs, program)
	delete(c.holders[program], b.hash)
	if len(c.holders[program]) == 0 {
		delete(c.holders, program)
	}
}

func (c *cache) remove(b *block) {
	c.recency.Remove(b.place)
	delete(c.blocks, b.hash)
}

// tokens returns the tokens in use.
func (c *cache) tokens() int { return len(c.blocks) * c.blockTokens }

// holdings returns each program's share, by program.
func (c *cache) holdings() []generator.Holding {
	all := make([]generator.Holding, 0, len(c.holders))
	for program, held := range c.holders {
		all = append(all, generator.Holding{Program: program, Tokens: len(held) * c.blockTokens})
	}
	slices.SortFunc(all, func(a, b generator.Holding) int { return strings.Compare(a.Program, b.Program) })
	return all
}

// export returns the hashes that the program holds, the least recently used last.
func (c *cache) export(program string) []uint64 {
	held := c.holders[program]
	hashes := make([]uint64, 0, len(held))
	for e := c.recency.Front(); e != nil && len(hashes) < len(held); e = e.Next() {
		hash := e.Value.(*block).hash
		if _, ok := held[hash]; ok {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

func sortedNames(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
