// Package estimator learns what programs of a route need, from the programs that pass
// through the instance: turns, tokens, tool calls, and the time that they take on idle
// engines. Its memory is bounded. An Estimator is safe for concurrent use.
package estimator

import (
	"slices"
	"sync"
	"time"
)

const (
	// endAfter is the silence after which a program counts as ended. Between two turns,
	// tool calls take some hundred milliseconds, and a refused turn returns within 2 s.
	endAfter = 4 * time.Second
	// sweepInterval is the time between two searches for ended programs.
	sweepInterval = time.Second
	// maxPrograms and maxRoutes bound the memory. An instance at the target load has some
	// hundred programs under way.
	maxPrograms = 2000
	maxRoutes   = 200
	// maxServices bounds the services of tool calls that are told apart for a route.
	maxServices = 16
	// usualCalls is the mean number of calls of a service from which programs of a route
	// depend on it.
	usualCalls = 0.3
	// maxSessions bounds the lines of turns that are told apart within a program.
	maxSessions = 16
	// minEnded is the number of ended programs from which a need counts as learned.
	minEnded = 2
	// weight is that of a new sample in a mean. With some twenty samples a mean follows a
	// change of the workload within as many programs.
	weight = 0.1
	// contextWeight is the weight of a turn in the mean context of all routes.
	contextWeight = 0.02
	// idleRise is the weight of a time above the learned time on idle engines. Times under
	// load are longer, so that the learned time follows the short ones.
	idleRise = 0.01
	// maxScale bounds the length of one program against the mean of its route.
	maxScale = 3.0
)

// Turn is a turn of a program that an endpoint served.
type Turn struct {
	Program string
	Session string
	Route   string
	// PromptTokens is the size of the prompt, SharedTokens that of the part of it which
	// other programs have, too, and OutputTokens what was generated.
	PromptTokens int64
	SharedTokens int64
	OutputTokens int64
	// Took is the time from the turn's arrival to its end.
	Took time.Duration
}

// Need is what a program of a route needs. Its tags are those of the messages that carry it
// between instances.
type Need struct {
	// Turns is the number of turns, and Calls that of tool calls.
	Turns float64 `cbor:"1,keyasint"`
	Calls float64 `cbor:"2,keyasint,omitempty"`
	// Services are those of its tool calls that most programs of the route call.
	Services []string `cbor:"3,keyasint,omitempty"`
	// Prefill is the number of prompt tokens of a turn that the turn before did not leave
	// in the cache, and Output the number of generated ones.
	Prefill float64 `cbor:"4,keyasint"`
	Output  float64 `cbor:"5,keyasint"`
	// Context is the number of tokens that the program holds at its end.
	Context float64 `cbor:"6,keyasint"`
	// TurnTime is the time of a turn, and Period the time from one turn to the next, both on
	// idle engines; zero if unknown.
	TurnTime time.Duration `cbor:"7,keyasint,omitempty"`
	Period   time.Duration `cbor:"8,keyasint,omitempty"`
	// Target is the time from the program's start to its target; zero if unknown.
	Target time.Duration `cbor:"9,keyasint,omitempty"`
	// IsLearned is true if it comes from programs that ended.
	IsLearned bool `cbor:"10,keyasint,omitempty"`
}

// Progress is where a program stands.
type Progress struct {
	// Rest is what the rest of the program needs on idle engines; zero if unknown.
	Rest time.Duration
	// Target is the time from the program's start to its target; zero if unknown.
	Target time.Duration
	// TurnTime is what one turn needs on an idle engine; zero if unknown.
	TurnTime time.Duration
	// IsKnown is true if a turn of the program was served here.
	IsKnown bool
}

// program is a program under way.
type program struct {
	route  string
	target time.Duration
	lastAt time.Time
	// beganAt is when a turn began last, and turnsAtBegin the number of turns then.
	beganAt      time.Time
	turnsAtBegin int
	turns        int
	calls        map[string]int
	prefill      float64
	output       float64
	context      float64
	// contexts holds the tokens of the last turn of each session.
	contexts map[string]float64
}

// Estimator learns the needs of routes.
type Estimator struct {
	mu       sync.Mutex
	programs map[string]*program
	routes   map[string]*route
	sweptAt  time.Time
	// context is the mean number of tokens that a turn holds at its end.
	context float64
}

// route is what is known of a route.
type route struct {
	Need
	ended int
	// calls is the mean number of tool calls by service.
	calls map[string]float64
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{programs: map[string]*program{}, routes: map[string]*route{}}
}

// Begin records that a turn of the program was admitted, and the time left to its target if
// it has one.
func (e *Estimator) Begin(id, routeName string, left time.Duration, hasTarget bool) {
	if id == "" {
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lockedSweep(now)
	p := e.programs[id]
	if p == nil {
		if len(e.programs) >= maxPrograms {
			return
		}
		p = &program{route: routeName, contexts: map[string]float64{}, calls: map[string]int{}}
		if hasTarget && left > 0 {
			p.target = left
		}
		e.programs[id] = p
	}
	// Turns of concurrent sessions, and a turn that comes again after it failed, follow each
	// other faster than a program proceeds.
	if r := e.routes[p.route]; r != nil && len(p.contexts) == 1 && p.turns == p.turnsAtBegin+1 {
		r.Period = lowMean(r.Period, now.Sub(p.beganAt))
	}
	p.lastAt, p.beganAt, p.turnsAtBegin = now, now, p.turns
}

// End records that a turn was served.
func (e *Estimator) End(t Turn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.programs[t.Program]
	if p == nil {
		return
	}
	p.lastAt = time.Now()
	p.turns++
	held, isKnown := p.contexts[t.Session]
	if !isKnown {
		held = float64(t.SharedTokens)
	}
	p.prefill += max(float64(t.PromptTokens)-held, 0)
	p.output += float64(t.OutputTokens)
	total := float64(t.PromptTokens + t.OutputTokens)
	p.context = max(p.context, total)
	if e.context == 0 {
		e.context = total
	}
	e.context += contextWeight * (total - e.context)
	if isKnown || len(p.contexts) < maxSessions {
		p.contexts[t.Session] = total
	}
	if r := e.lockedRoute(p.route); r != nil {
		r.TurnTime = lowMean(r.TurnTime, t.Took)
	}
}

// Call records a tool call of the program to the service.
func (e *Estimator) Call(id, service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.programs[id]; p != nil {
		p.calls[service]++
		p.lastAt = time.Now()
	}
}

// Need returns what programs of the route need. Until two programs of it have ended, it is
// that of one turn as its caller states it, with the prompt and the maximum output.
func (e *Estimator) Need(routeName string, promptTokens, maxTokens int64) Need {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lockedSweep(time.Now())
	r := e.routes[routeName]
	if r == nil || r.ended < minEnded {
		n := Need{Turns: 1, Prefill: float64(promptTokens), Output: float64(maxTokens), Context: float64(promptTokens + maxTokens)}
		if r != nil {
			n.TurnTime, n.Period = r.TurnTime, r.Period
		}
		return n
	}
	n := r.Need
	n.IsLearned = true
	for service, calls := range r.calls {
		n.Calls += calls
		if calls >= usualCalls {
			n.Services = append(n.Services, service)
		}
	}
	slices.Sort(n.Services)
	return n
}

// Adopt records what another instance has learned of the route, if this one has not learned it
// yet.
func (e *Estimator) Adopt(routeName string, n Need) {
	if !n.IsLearned || !n.isPlausible() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.lockedRoute(routeName)
	if r == nil || r.ended >= minEnded {
		return
	}
	r.Need, r.ended = n, minEnded
	for _, service := range n.Services {
		r.calls[service] = n.Calls / float64(len(n.Services))
	}
	r.Calls, r.Services = 0, nil
}

// maxPlausible bounds the turns and tokens, and maxPlausibleTime the times, that another
// instance may state.
const (
	maxPlausible     = 1e7
	maxPlausibleTime = time.Hour
)

func (n Need) isPlausible() bool {
	for _, value := range []float64{n.Calls, n.Prefill, n.Output, n.Context} {
		if !(value >= 0 && value <= maxPlausible) {
			return false
		}
	}
	for _, d := range []time.Duration{n.TurnTime, n.Period, n.Target} {
		if d < 0 || d > maxPlausibleTime {
			return false
		}
	}
	return n.Turns >= 1 && n.Turns <= maxPlausible && len(n.Services) <= maxServices
}

// Progress returns where the program of the route stands. If first is true, it has not begun,
// and left is the time to its target, zero if it has none.
func (e *Estimator) Progress(id, routeName string, first bool, left time.Duration) Progress {
	need := e.Need(routeName, 0, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.programs[id]
	switch {
	case p != nil && p.turns > 0:
		return Progress{Target: p.target, Rest: need.Rest(p.turns, p.target), TurnTime: need.TurnTime, IsKnown: true}
	case first:
		return Progress{Target: max(left, 0), Rest: need.Rest(0, max(left, 0)), TurnTime: need.TurnTime}
	}
	// Other instances had the program's first turns. It needs at least this turn.
	return Progress{Target: need.Target, Rest: need.TurnTime, TurnTime: need.TurnTime}
}

// Context returns the mean number of tokens that turns of all routes hold; zero if unknown.
func (e *Estimator) Context() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.context
}

// Rest returns what a program with the target, of which the turns were served, still needs
// on idle engines. Callers set a program's target in proportion to what it needs, so that
// a program with a longer target than usual has more turns.
func (n Need) Rest(turns int, target time.Duration) time.Duration {
	total := n.Turns
	if n.Target > 0 && target > 0 {
		total *= min(max(float64(target)/float64(n.Target), 1/maxScale), maxScale)
	}
	later := max(total-float64(turns)-1, 0)
	return n.TurnTime + time.Duration(later*float64(max(n.Period, n.TurnTime)))
}

// decodeWeight is the time of a generated token in that of prompt tokens. The engines in use
// prefill 72 to 221 tokens/ms and generate 6 in a step of 1.7 to 3 ms, which gives 21 to 112.
const decodeWeight = 40

// Work returns the work of a whole program at engines, in prompt tokens.
func (n Need) Work() float64 { return n.Turns * (n.Prefill + decodeWeight*n.Output) }

// EngineShare returns the part of the program's time on idle engines that its turns take; 1
// if it is unknown.
func (n Need) EngineShare() float64 {
	if n.Period <= n.TurnTime {
		return 1
	}
	return float64(n.TurnTime) / float64(n.Period)
}

// lockedSweep counts the programs that have ended.
func (e *Estimator) lockedSweep(now time.Time) {
	if now.Sub(e.sweptAt) < sweepInterval {
		return
	}
	e.sweptAt = now
	for id, p := range e.programs {
		if now.Sub(p.lastAt) < endAfter {
			continue
		}
		delete(e.programs, id)
		if r := e.lockedRoute(p.route); r != nil && p.turns > 0 {
			r.add(p)
		}
	}
}

// lockedRoute returns the state of the route, or nil if there are too many routes.
func (e *Estimator) lockedRoute(name string) *route {
	r := e.routes[name]
	if r == nil && len(e.routes) < maxRoutes {
		r = &route{calls: map[string]float64{}}
		e.routes[name] = r
	}
	return r
}

// add counts an ended program. The first ones have equal weights.
func (r *route) add(p *program) {
	r.ended++
	w := max(weight, 1/float64(r.ended))
	mean := func(value *float64, sample float64) { *value += w * (sample - *value) }
	mean(&r.Turns, float64(p.turns))
	for service := range p.calls {
		if _, isKnown := r.calls[service]; !isKnown && len(r.calls) < maxServices {
			r.calls[service] = 0
		}
	}
	for service, known := range r.calls {
		mean(&known, float64(p.calls[service]))
		r.calls[service] = known
	}
	mean(&r.Prefill, p.prefill/float64(p.turns))
	mean(&r.Output, p.output/float64(p.turns))
	mean(&r.Context, p.context)
	if p.target > 0 && r.Target == 0 {
		r.Target = p.target
	} else if p.target > 0 {
		r.Target += time.Duration(w * float64(p.target-r.Target))
	}
}

// lowMean returns the learned time on idle engines after another sample.
func lowMean(known, sample time.Duration) time.Duration {
	switch {
	case sample <= 0:
		return known
	case known == 0:
		return sample
	case sample < known:
		return known + time.Duration(weight*float64(sample-known))
	}
	return known + time.Duration(idleRise*float64(sample-known))
}
