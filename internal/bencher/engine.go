package bencher

import (
	"slices"
	"time"
)

const (
	// stepBase is the time of a decode step with an empty batch.
	stepBase = 8 * time.Millisecond
	// stepPerSequence is the time that each decoding sequence adds to a step.
	stepPerSequence = 600 * time.Microsecond
	// prefillPerToken is the time that each prefilled token adds to a step.
	prefillPerToken = 62500 * time.Nanosecond
	// prefillChunk is the prefill that one step takes at most, in tokens.
	prefillChunk = 512
	// engineSlots is the batch size.
	engineSlots = 24
)

// generation is one attempt at a turn on a fake engine.
type generation struct {
	turn     *turn
	priority int
	// number orders generations of the same priority.
	number int
	// prefill is the prompt still to be computed, output what was generated.
	prefill int
	output  int
	cached  int
	sent    time.Time
	first   time.Time
	shared  *held
	own     *held
	// over is set when the attempt has ended for the scheduler.
	over bool
}

// engine is a fake model engine with continuous batching, chunked prefill and
// a bounded prefix cache.
type engine struct {
	index int
	clock *clock
	cache *cache
	// slowdown multiplies the time of each step.
	slowdown float64
	silent   bool
	gone     bool
	leaving  bool
	stepping bool
	number   int
	waiting  []*generation
	running  []*generation
	observer engineObserver
}

// engineObserver is told what happens on an engine.
type engineObserver interface {
	prefilled(g *generation)
	firstToken(g *generation)
	finished(e *engine, g *generation)
	stored(e *engine, key string, tokens int)
	evicted(e *engine, key string, tokens int)
}

func newEngine(index, cacheTokens int, clock *clock, observer engineObserver) *engine {
	e := &engine{index: index, clock: clock, slowdown: 1, observer: observer}
	e.cache = newCache(cacheTokens, func(key string, tokens int) { observer.evicted(e, key, tokens) })
	return e
}

// submit queues a generation, by priority and then by arrival.
func (e *engine) submit(g *generation) {
	e.number++
	g.number = e.number
	i, _ := slices.BinarySearchFunc(e.waiting, g, compareGenerations)
	e.waiting = slices.Insert(e.waiting, i, g)
	e.wake()
}

func compareGenerations(a, b *generation) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return a.number - b.number
}

// abort takes a generation off the engine.
func (e *engine) abort(g *generation) {
	g.over = true
	if i := slices.Index(e.waiting, g); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if i := slices.Index(e.running, g); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		computed := g.turn.prompt - g.prefill + g.output - g.turn.program.agent.Instructions
		e.cache.shrink(g.own, max(min(computed, g.own.tokens), 0))
		e.free(g)
	}
}

// wake starts stepping if there is work.
func (e *engine) wake() {
	if e.stepping || e.silent || e.gone {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	prefill := e.chunk()
	decoding := 0
	for _, g := range e.running {
		if g.prefill == 0 {
			decoding++
		}
	}
	d := stepBase + time.Duration(decoding)*stepPerSequence + time.Duration(prefill)*prefillPerToken
	e.clock.after(time.Duration(float64(d)*e.slowdown), e.step)
}

// chunk returns the prefill of the next step, in tokens.
func (e *engine) chunk() int {
	total := 0
	for _, g := range e.running {
		total += g.prefill
	}
	return min(total, prefillChunk)
}

// admit moves waiting generations into the batch.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < engineSlots {
		g := e.waiting[0]
		if !e.start(g) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, g)
	}
}

// start looks the prompt up in the cache and takes the memory that the
// generation needs.
func (e *engine) start(g *generation) bool {
	t := g.turn
	sharedKey, ownKey := t.program.agent.Name, t.program.id
	sharedHeld, ownHeld := e.cache.tokens(sharedKey), e.cache.tokens(ownKey)
	g.shared, g.own = e.cache.pin(sharedKey), e.cache.pin(ownKey)
	instructions := t.program.agent.Instructions
	needed := t.prompt - instructions + t.output
	if !e.cache.grow(g.shared, instructions) || !e.cache.grow(g.own, needed) {
		e.cache.shrink(g.shared, sharedHeld)
		e.free(g)
		return false
	}
	g.cached = min(sharedHeld, instructions)
	if g.cached == instructions {
		g.cached += min(ownHeld, t.prompt-instructions)
	}
	// The last token of a prompt is always computed.
	g.cached = min(g.cached, t.prompt-1)
	g.prefill = t.prompt - g.cached
	e.observer.prefilled(g)
	return true
}

func (e *engine) free(g *generation) {
	e.cache.unpin(g.shared, e.clock.now)
	e.cache.unpin(g.own, e.clock.now)
}

// step ends one step: it applies the prefill, one token of each decoding
// sequence, and begins the next.
func (e *engine) step() {
	e.stepping = false
	if e.silent || e.gone {
		return
	}
	budget := prefillChunk
	kept := e.running[:0]
	var done []*generation
	for _, g := range e.running {
		if !e.advance(g, &budget) {
			kept = append(kept, g)
			continue
		}
		done = append(done, g)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for _, g := range done {
		e.finish(g)
	}
	e.wake()
}

// advance applies one step to the generation and says whether it is done.
func (e *engine) advance(g *generation, budget *int) bool {
	if g.prefill > 0 {
		part := min(g.prefill, *budget)
		g.prefill -= part
		*budget -= part
		return false
	}
	g.output++
	if g.output == 1 {
		g.first = e.clock.now
		e.observer.firstToken(g)
	}
	return g.output >= g.turn.output
}

func (e *engine) finish(g *generation) {
	e.free(g)
	g.over = true
	e.observer.stored(e, g.shared.key, g.shared.tokens)
	e.observer.stored(e, g.own.key, g.own.tokens)
	e.observer.finished(e, g)
}

// release drops what is held for a program that nobody uses.
func (e *engine) release(program string) {
	if !e.gone {
		e.cache.release(program)
	}
}
