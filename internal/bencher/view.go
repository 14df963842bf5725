package bencher

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/limiter"
	"github.com/wigeonstand/wigeonstand/internal/router"
)

const (
	// reportBound is the age of a load report above which an engine is not used.
	reportBound = 3 * time.Second
	// suspectTime is how long an engine is not used after a failure, unless a
	// report arrives that is younger than the failure.
	suspectTime = 2 * time.Second
	// lastExcess is the share of its slots up to which the router may give an
	// engine the next turn of a program.
	lastExcess = 3
	// gapGain is the weight of the latest time between tokens in the mean.
	gapGain = 0.1
	// residenceGain is the weight of the latest eviction in the mean residence.
	residenceGain = 0.1
)

// view is what one instance believes about the engines.
type view struct {
	features Features
	engines  []*engineView
	programs map[string]*programView
	buffer   []router.Candidate
	indexes  []int
	// usual is the median time between tokens in seconds, zero if unknown or not
	// used; known is its scratch space.
	usual float64
	known []float64
}

// engineView is what is believed about one engine.
type engineView struct {
	name        string
	slots       int
	running     int
	waiting     int
	measured    time.Time
	leaving     bool
	suspect     time.Time
	outstanding int
	// sent holds the times of dispatches since the report was measured.
	sent []time.Time
	// waitingFor counts the waiting turns whose program was served here last.
	waitingFor int
	gap        float64
	window     *limiter.ConcurrencyWindow
	shared     map[string]int
	pressure   float64
	// residence is how long unused entries last before they are evicted.
	residence time.Duration
}

// programView is where a program's prefix is believed to be held.
type programView struct {
	last string
	// lastIndex is the index of the engine last, -1 before the first turn.
	lastIndex int
	// held is in tokens after the instructions, saved when a turn last ended there.
	held  []int
	saved []time.Time
	// touched marks the engines that were given a turn and not told to release.
	touched []bool
}

func newView(engines int, features Features, now time.Time) *view {
	v := &view{features: features, programs: make(map[string]*programView)}
	for i := range engines {
		v.engines = append(v.engines, &engineView{
			name: engineName(i), slots: engineSlots, measured: now,
			window: limiter.NewConcurrencyWindow(now, engineSlots), shared: make(map[string]int),
		})
	}
	return v
}

func engineName(index int) string { return fmt.Sprint("engine-", index) }

func (v *view) program(id string) *programView {
	p, ok := v.programs[id]
	if !ok {
		p = &programView{
			lastIndex: -1,
			held:      make([]int, len(v.engines)),
			saved:     make([]time.Time, len(v.engines)),
			touched:   make([]bool, len(v.engines)),
		}
		v.programs[id] = p
	}
	return p
}

// usable says whether the engine may be given work.
func (e *engineView) usable(now time.Time) bool {
	return !e.leaving && now.Sub(e.measured) <= reportBound && now.After(e.suspect)
}

func (v *view) limit(e *engineView) int {
	if v.features.Window {
		return min(e.slots, e.window.Limit())
	}
	return e.slots
}

// hasRoom says whether any engine may be given work now.
func (v *view) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(v.engines, func(e *engineView) bool {
		return e.usable(now) && e.load() < v.limit(e)
	})
}

func (e *engineView) load() int {
	return max(e.running+e.waiting+len(e.sent), e.outstanding)
}

// waits counts a waiting turn for the engine that served its program last.
func (v *view) waits(a *Arrival, by int) {
	if p, ok := v.programs[a.Program]; ok && p.lastIndex >= 0 {
		v.engines[p.lastIndex].waitingFor += by
	}
}

// anyAtLast says whether a waiting turn may be placed on a full engine because
// its program was served there last.
func (v *view) anyAtLast(now time.Time) bool {
	if routing := v.features.Routing; routing != "" && routing != router.Affinity {
		return false
	}
	return slices.ContainsFunc(v.engines, func(e *engineView) bool {
		return e.waitingFor > 0 && e.usable(now) && e.load() < lastExcess*v.limit(e)
	})
}

// candidates returns the usable engines and their indexes, or only the one
// that served the program's last turn; both slices are valid until the next call.
func (v *view) candidates(now time.Time, a *Arrival, lastOnly bool) ([]router.Candidate, []int) {
	v.buffer, v.indexes = v.buffer[:0], v.indexes[:0]
	last := ""
	if p, ok := v.programs[a.Program]; ok {
		last = p.last
	}
	for i, e := range v.engines {
		if lastOnly && e.name != last || !e.usable(now) {
			continue
		}
		ratio := 1.0
		if v.usual > 0 && e.gap > 0 {
			ratio = e.gap / v.usual
		}
		v.indexes = append(v.indexes, i)
		v.buffer = append(v.buffer, router.Candidate{
			Endpoint: e.name, Local: true, Running: e.running, Waiting: e.waiting, Slots: v.limit(e),
			ReportAge: now.Sub(e.measured), Outstanding: e.outstanding, SentSinceReport: len(e.sent),
			PrefixTokens: v.prefix(a, i), Ramp: 1, GapRatio: ratio,
		})
	}
	return v.buffer, v.indexes
}

// refreshGap takes the median of the engines' mean times between tokens.
func (v *view) refreshGap() {
	if !v.features.Gaps {
		return
	}
	v.known = v.known[:0]
	for _, e := range v.engines {
		if e.gap > 0 {
			v.known = append(v.known, e.gap)
		}
	}
	if len(v.known) == 0 {
		return
	}
	slices.Sort(v.known)
	v.usual = v.known[len(v.known)/2]
}

// prefix returns the part of the prompt that the engine is believed to hold.
func (v *view) prefix(a *Arrival, engine int) int {
	shared := min(v.engines[engine].shared[a.Agent], a.Instructions)
	p, ok := v.programs[a.Program]
	if !ok || shared < a.Instructions {
		return shared
	}
	return min(shared+p.held[engine], a.Prompt)
}

func (v *view) bestPrefix(a *Arrival) int {
	best := 0
	for i := range v.engines {
		best = max(best, v.prefix(a, i))
	}
	return best
}

func (v *view) request(a *Arrival, urgent bool) router.Request {
	r := router.Request{Program: a.Program, PromptTokens: a.Prompt, MaxTokens: a.MaxOutput, Urgent: urgent}
	if p, ok := v.programs[a.Program]; ok {
		r.LastEndpoint = p.last
	}
	return r
}

func (v *view) dispatched(now time.Time, a *Arrival, engine int) {
	e := v.engines[engine]
	e.outstanding++
	e.sent = append(e.sent, now)
	e.window.RecordInFlight(e.outstanding)
	e.shared[a.Agent] = a.Instructions
	p := v.program(a.Program)
	p.last, p.lastIndex = e.name, engine
	p.touched[engine] = true
}

func (v *view) started(now time.Time, s *Started) {
	v.engines[s.Engine].window.RecordFirstToken(now, s.Latency, s.Prefill)
}

func (v *view) finished(now time.Time, a *Arrival, f *Finished) {
	e := v.engines[f.Engine]
	e.outstanding--
	e.window.RecordGap(now, f.Gap)
	if e.gap == 0 {
		e.gap = f.Gap.Seconds()
	}
	e.gap += gapGain * (f.Gap.Seconds() - e.gap)
	p := v.program(a.Program)
	p.held[f.Engine] = f.Usage.Prompt + f.Usage.Generated - a.Instructions
	p.saved[f.Engine] = now
}

func (v *view) failed(now time.Time, a *Arrival, engine int) {
	e := v.engines[engine]
	e.outstanding--
	e.suspect = now.Add(suspectTime)
	e.window.RecordFailure(now)
	if p, ok := v.programs[a.Program]; ok {
		p.held[engine] = 0
	}
}

func (v *view) report(now time.Time, l *Load) {
	e := v.engines[l.Engine]
	r := l.Report
	e.measured = now.Add(-r.Age)
	e.running, e.waiting, e.slots, e.leaving = r.Running, r.Waiting, r.Slots, r.Leaving
	e.pressure = float64(r.CacheTokens) / float64(max(r.CacheLimit, 1))
	kept := 0
	for kept < len(e.sent) && !e.sent[kept].After(e.measured) {
		kept++
	}
	e.sent = slices.Delete(e.sent, 0, kept)
}

// cached applies a cache event. Events are late, so one may be about a time
// before the program's last turn there; the end of the next turn corrects it.
func (v *view) cached(now time.Time, c *Cache) {
	e := v.engines[c.Engine]
	if _, ok := e.shared[c.Event.Program]; ok {
		e.shared[c.Event.Program] = c.Event.Tokens
		return
	}
	p, ok := v.programs[c.Event.Program]
	if !ok {
		return
	}
	if saved := p.saved[c.Engine]; c.Event.Change == eventEvicted && !saved.IsZero() {
		age := now.Sub(saved)
		if e.residence == 0 {
			e.residence = age
		}
		e.residence += time.Duration(residenceGain * float64(age-e.residence))
	}
	if c.Event.Change == eventStored {
		p.held[c.Engine] = max(p.held[c.Engine], c.Event.Tokens)
		return
	}
	p.held[c.Engine] = min(p.held[c.Engine], c.Event.Tokens)
}

// released notes that the program's entries on the engine are gone.
func (v *view) released(program string, engine int) {
	if p, ok := v.programs[program]; ok {
		p.held[engine] = 0
		p.touched[engine] = false
	}
}

func (v *view) pressure(engine int) (float64, time.Duration) {
	return v.engines[engine].pressure, v.engines[engine].residence
}

// end forgets the program and returns the engines that may hold a part of it.
func (v *view) end(program string) []int {
	p, ok := v.programs[program]
	if !ok {
		return nil
	}
	delete(v.programs, program)
	var engines []int
	for i, touched := range p.touched {
		if touched {
			engines = append(engines, i)
		}
	}
	return engines
}
