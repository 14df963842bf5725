package bencher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	// reportPeriod and reportLag are the usual period of the engines' load reports
	// and their age on arrival.
	reportPeriod = 500 * time.Millisecond
	reportLag    = 300 * time.Millisecond
	// eventDelayLow and eventDelayHigh bound the lateness of cache events.
	eventDelayLow  = 200 * time.Millisecond
	eventDelayHigh = time.Second
	// eventLoss is the share of cache events that are lost.
	eventLoss = 0.05
	// gapTimeout is the silence after which an attempt is given up.
	gapTimeout = 5 * time.Second
	// refusalTries bounds how often a refused caller comes back.
	refusalTries = 3
	// runBound ends a run whose backlog does not drain, in lengths of arrivals.
	runBound = 4

	eventStored  = "Stored"
	eventEvicted = "Evicted"
)

// driver brings programs to the policies and their actions to the engines.
type driver struct {
	config   Config
	clock    *clock
	random   *rand.Rand
	engines  []*engine
	policies []Policy
	programs map[string]*program
	turns    map[string]*turn
	active   int
	started  int
	recorder *recorder
}

func newDriver(c Config) *driver {
	d := &driver{
		config: c, clock: newClock(), random: rand.New(rand.NewPCG(c.Seed, 2)),
		programs: make(map[string]*program), turns: make(map[string]*turn),
	}
	d.recorder = newRecorder(c)
	for i := range c.Engines {
		d.engines = append(d.engines, newEngine(i, c.CacheTokens, d.clock, d))
	}
	for i := range c.Schedulers {
		d.policies = append(d.policies, d.newPolicy(i))
	}
	return d
}

func (d *driver) newPolicy(instance int) Policy {
	if d.config.NewPolicy != nil {
		return d.config.NewPolicy(d.config, instance)
	}
	seed := d.config.Seed<<8 + uint64(instance)
	return newScheduler(d.config.Features, d.config.Engines, seed, epoch)
}

// start sets the first arrivals, the reports and the fault.
func (d *driver) start() {
	for i, a := range agents() {
		rate := a.Share * d.config.Load * float64(d.config.Engines) / a.engineTime()
		if a.Name == agentTally {
			rate *= 1 + d.config.Flood/(a.Share*d.config.Load)
		}
		seed := rand.NewPCG(d.config.Seed, uint64(100+i))
		g := &gaps{random: rand.New(seed), rate: rate, bursts: a.Name == agentTally}
		d.arrivals(a, g, 0)
	}
	for i, e := range d.engines {
		phase := time.Duration(i) * d.config.ReportPeriod / time.Duration(len(d.engines))
		d.clock.after(phase, func() { d.report(e) })
	}
	d.clock.after(time.Second, d.sample)
	d.setFault()
}

// arrivals sets the arrival that follows the time since the start.
func (d *driver) arrivals(a *agent, g *gaps, since time.Duration) {
	next := g.next(since)
	if next >= d.config.Arrivals {
		return
	}
	d.clock.after(next-d.clock.elapsed(), func() {
		d.started++
		id := fmt.Sprint(a.Name, "-", d.started)
		p := newProgram(id, a, g.random.Uint64(), d.clock.now)
		p.owner = requester.ShardOf(id) % len(d.policies)
		d.begin(p)
		d.arrivals(a, g, next)
	})
}

func (d *driver) done() bool {
	elapsed := d.clock.elapsed()
	if elapsed > runBound*d.config.Arrivals {
		return true
	}
	return elapsed > d.config.Arrivals && d.active == 0
}

func (d *driver) begin(p *program) {
	d.programs[p.id] = p
	d.active++
	d.arrive(p)
}

// arrive brings the program's next turn to its owner.
func (d *driver) arrive(p *program) {
	t := p.nextTurn(d.clock.now)
	d.turns[t.id] = t
	d.recorder.ready(t)
	if d.config.Patience {
		t.expires = d.clock.now.Add(p.agent.Patience)
		d.clock.after(p.agent.Patience, func() { d.hangup(t) })
	}
	d.offer(t)
}

func (d *driver) offer(t *turn) {
	p := t.program
	a := &Arrival{
		Turn: t.id, Program: p.id, Root: p.root.id, Agent: p.agent.Name,
		Business: p.agent.Business, Weight: 1, Precedence: p.agent.Precedence,
		Prompt: t.prompt, Instructions: p.agent.Instructions, MaxOutput: p.agent.MaxOutput,
		Attained: p.root.attained,
	}
	if !t.expires.IsZero() {
		a.Left = t.expires.Sub(d.clock.now)
	}
	d.recorder.waits(t)
	d.deliver(p.owner, Event{Arrival: a})
}

// hangup ends the program of a turn that still waits.
func (d *driver) hangup(t *turn) {
	if t.dispatched || t.over {
		return
	}
	d.recorder.hangups++
	d.deliver(t.program.owner, Event{Hangup: &Hangup{Turn: t.id}})
	d.abandon(t)
}

// abandon ends a program before its last turn.
func (d *driver) abandon(t *turn) {
	t.over = true
	d.recorder.leaves(t)
	delete(d.turns, t.id)
	d.recorder.abandoned(t.program)
	d.close(t.program)
}

// deliver hands an event to an instance and does what it asks.
func (d *driver) deliver(instance int, event Event) {
	for _, action := range d.policies[instance].Handle(d.clock.now, event) {
		switch {
		case action.Dispatch != nil:
			d.dispatch(instance, action.Dispatch)
		case action.Refuse != nil:
			d.refuse(action.Refuse)
		case action.Fail != nil:
			d.abandon(d.turns[action.Fail.Turn])
		case action.Release != nil:
			d.engines[action.Release.Engine].release(action.Release.Program)
		}
	}
}

func (d *driver) broadcast(event Event) {
	for i := range d.policies {
		d.deliver(i, event)
	}
}

func (d *driver) dispatch(instance int, action *Dispatch) {
	t := d.turns[action.Turn]
	e := d.engines[action.Engine]
	t.dispatched, t.engine = true, action.Engine
	d.recorder.leaves(t)
	d.recorder.dispatched(d.clock.elapsed(), instance, t, e)
	g := &generation{turn: t, priority: action.Priority, sent: d.clock.now}
	t.current = g
	if e.gone {
		d.clock.after(0, func() { d.fail(e, g) })
		return
	}
	e.submit(g)
	if e.silent {
		d.clock.after(gapTimeout, func() { d.fail(e, g) })
	}
}

// fail reports an attempt as broken off.
func (d *driver) fail(e *engine, g *generation) {
	if g.over {
		return
	}
	e.abort(g)
	g.over = true
	g.turn.dispatched = false
	d.recorder.failures++
	d.recorder.waits(g.turn)
	d.deliver(g.turn.program.owner, Event{Failed: &Failed{Turn: g.turn.id, Engine: e.index}})
}

func (d *driver) refuse(action *Refuse) {
	t := d.turns[action.Turn]
	d.recorder.leaves(t)
	d.recorder.refusals++
	t.tries++
	if t.tries > refusalTries {
		d.abandon(t)
		return
	}
	d.clock.after(action.ComeBack, func() {
		if t.over {
			return
		}
		if d.config.Patience {
			t.expires = d.clock.now.Add(t.program.agent.Patience)
		}
		d.offer(t)
	})
}

// prefilled implements engineObserver.
func (d *driver) prefilled(g *generation) {
	p := g.turn.program
	d.recorder.prefilled(g, p)
	p.root.attained += g.prefill
	p.computed = max(p.computed, g.turn.prompt)
}

// firstToken implements engineObserver.
func (d *driver) firstToken(g *generation) {
	if !g.turn.first {
		g.turn.first = true
		d.recorder.firstToken(g.turn, d.clock.now)
	}
	d.deliver(g.turn.program.owner, Event{Started: &Started{
		Turn: g.turn.id, Engine: g.turn.engine, Latency: d.clock.now.Sub(g.sent),
		Prefill: g.turn.prompt - g.cached,
	}})
}

// finished implements engineObserver.
func (d *driver) finished(e *engine, g *generation) {
	t := g.turn
	p := t.program
	p.root.attained += g.output
	p.history = t.prompt + t.output
	p.computed = p.history
	t.over = true
	delete(d.turns, t.id)
	gap := d.clock.now.Sub(g.first) / time.Duration(max(g.output-1, 1))
	d.recorder.gap(t, gap)
	d.deliver(p.owner, Event{Finished: &Finished{
		Turn: t.id, Engine: e.index, Gap: gap,
		Usage: generator.Usage{Prompt: t.prompt, Cached: g.cached, Generated: g.output},
	}})
	d.proceed(p)
}

// proceed pauses, starts sub-agents or ends the program after a turn.
func (d *driver) proceed(p *program) {
	switch {
	case p.turn >= p.turns:
		d.recorder.completed(p, d.clock.now)
		d.close(p)
	case p.spawnAt > 0 && p.turn == p.spawnAt:
		d.spawn(p)
	default:
		d.pause(p)
	}
}

func (d *driver) pause(p *program) {
	pause := p.pause()
	p.paused += pause
	d.clock.after(pause, func() { d.arrive(p) })
}

func (d *driver) spawn(p *program) {
	p.children = p.agent.Children.draw(p.random)
	for i := range p.children {
		id := requester.NewChild(p.id, fmt.Sprint(i+1))
		child := newProgram(id, &helper, p.random.Uint64(), d.clock.now)
		child.root, child.parent, child.owner = p, p, p.owner
		d.begin(child)
	}
}

// close ends a program and lets its parent go on after its last sub-agent.
func (d *driver) close(p *program) {
	p.ended = true
	d.active--
	d.deliver(p.owner, Event{Ended: &Ended{Program: p.id}})
	parent := p.parent
	if parent == nil {
		return
	}
	parent.children--
	if parent.children == 0 && !parent.ended {
		parent.paused += p.paused
		parent.ideal += p.ideal
		d.pause(parent)
	}
}
