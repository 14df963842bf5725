package bencher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/apportioner"
	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	contentionEngines  = 16
	contentionAccounts = 82
	// contentionBooks is the number of bookkeepers, each of which sees a part of the programs.
	contentionBooks = 8
	// contentionLength is the time in which programs arrive. In the part from burstStart to
	// burstEnd more arrive.
	contentionLength = 90 * time.Second
	burstStart       = 30 * time.Second
	burstEnd         = 60 * time.Second
	// contentionReportAge is the time between two reports of the engines' loads.
	contentionReportAge = 200 * time.Millisecond
	// contentionWindow is the length of the windows of which the worst is shown.
	contentionWindow = 4 * time.Second
	// contentionUsual is the usual load, in the unit of Config.Load.
	contentionUsual = 0.85
	// maxReturns is how often a refused caller returns.
	maxReturns = 2
	// minAccountPrograms is the number of programs from which an account is compared.
	minAccountPrograms = 15
	contentionMargin   = 1.5
)

// contentionKinds are the kinds of programs. The factors are those of the observed burst.
var contentionKinds = []struct {
	agent
	burst float64
}{
	{agent{Name: "query", Precedence: 0, Instructions: 512, Turns: span{2, 4}, Input: span{500, 800}, Output: span{50, 70}, Pause: span{200, 400}, Share: 0.5}, 2.1},
	{agent{Name: "planner", Precedence: 2, Instructions: 512, Turns: span{8, 14}, Input: span{250, 400}, Output: span{60, 90}, Pause: span{200, 400}, Share: 0.5}, 1.5},
}

// ContentionCase is one policy under one load.
type ContentionCase struct {
	// Admission is "None", "MeanLoad", "MeanLoadTight" with lower limits, "Need", or "Shares",
	// the last being Need with fair shares.
	Admission string
	// HasOrder says that turns are ordered by priority and slack, and not by arrival.
	HasOrder bool
	// Load is "Kinds", where both kinds send more, "Account", where one of the accounts sends
	// seven times its usual rate, or "Memory", which is Kinds with a third of the memory.
	Load string
	Seed uint64
}

// ContentionFigures is the result of one run. All but TokensTwice are shares of programs, which
// count once however often their callers return.
type ContentionFigures struct {
	Programs                      int
	InTime, Late, Refused, Failed float64
	// Value is InTime and a third of Late.
	Value float64
	// WorstAccount and WorstWindow are the least shares in time of an account but the one that
	// sends more, and of a window of arrivals. Urgent is that of the first kind.
	WorstAccount, WorstWindow, Urgent float64
	// TokensTwice is the part of all prefilled tokens that was prefilled before.
	TokensTwice float64
}

// rival is a program with its account.
type rival struct {
	*program
	account int
	target  time.Duration
	begun   bool
	returns int
	home    int
}

// contention is the state of one run. It implements engineObserver.
type contention struct {
	ContentionCase
	clock *clock
	// arrivals draws the programs, so that all policies see the same ones, and random the
	// samples of decisions.
	arrivals, random      *rand.Rand
	engines               []*engine
	reports               []registrar.Candidate
	books                 []*apportioner.Apportioner
	rivals                map[*program]*rival
	prefilledAll, repeats float64
	outcomes              map[string]int
	accounts, windows     map[int][2]int
	urgent                [2]int
}

var contentionPolicy = admitter.Policy{SoftLimit: 1.2, HardLimit: 2, MinRetryAfter: 200 * time.Millisecond, MaxRetryAfter: 900 * time.Millisecond}

// RunContention runs the case once.
func RunContention(c ContentionCase) ContentionFigures {
	r := &contention{
		ContentionCase: c, clock: newClock(),
		arrivals: rand.New(rand.NewPCG(c.Seed, 1)), random: rand.New(rand.NewPCG(c.Seed, 2)), rivals: map[*program]*rival{},
		outcomes: map[string]int{}, accounts: map[int][2]int{}, windows: map[int][2]int{},
	}
	tokens := ampleCache / 2
	if c.Load == "Memory" {
		tokens /= 3
	}
	for i := range contentionEngines {
		r.engines = append(r.engines, newEngine(i, tokens, r.clock, r))
	}
	for range contentionBooks {
		r.books = append(r.books, apportioner.New())
	}
	r.report()
	for i := range contentionKinds {
		r.clock.after(0, func() { r.arrive(i) })
	}
	for r.clock.elapsed() < 3*contentionLength && r.clock.step() {
	}
	return r.figures()
}

// report takes the loads that decisions are made on until the next report.
func (r *contention) report() {
	r.reports = r.reports[:0]
	for _, e := range r.engines {
		r.reports = append(r.reports, registrar.Candidate{
			Endpoint: registrar.Endpoint{ID: fmt.Sprint(e.index), Slots: engineSlots},
			Load:     float64(len(e.running) + len(e.waiting)),
		})
	}
	if r.clock.elapsed() < 2*contentionLength {
		r.clock.after(contentionReportAge, r.report)
	}
}

// arrive lets a program of the kind arrive and sets the next arrival.
func (r *contention) arrive(kind int) {
	k := &contentionKinds[kind]
	at := r.clock.elapsed()
	if at > contentionLength {
		return
	}
	rate, isBurst := contentionUsual*k.Share*contentionEngines/k.engineTime(), at >= burstStart && at < burstEnd
	// A few accounts are large: the share of each falls with its number.
	account := int(contentionAccounts * r.arrivals.Float64() * r.arrivals.Float64())
	if isBurst && r.Load == "Account" {
		// Account 0 usually sends 0.066 of all programs, and now seven times as much.
		const usual = 0.066
		rate *= 1 + 6*usual
		if r.arrivals.Float64() < 6*usual/(1+6*usual) {
			account = 0
		}
	} else if isBurst {
		rate *= k.burst
	}
	r.clock.after(time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), func() { r.arrive(kind) })
	p := newProgram(fmt.Sprintf("%d-%d", kind, at), &k.agent, r.arrivals.Uint64(), r.clock.now)
	v := &rival{program: p, account: account, home: -1, target: time.Duration(1.4*float64(p.needed(p.turns))) + 500*time.Millisecond}
	r.rivals[p] = v
	r.request(v)
}

// needed returns what the turns of the program need without waiting, with the pauses between.
// The steps of an engine are those of a full batch: unlike the engines in use, this one is
// slower by a batch than by one sequence.
func (p *program) needed(turns int) time.Duration {
	a := p.agent
	turn := time.Duration(a.Input.mean())*prefillPerToken + time.Duration(a.Output.mean())*(stepBase+engineSlots*stepPerSequence)
	pause := time.Duration(a.Pause.mean()) * time.Millisecond
	return time.Duration(turns)*(turn+pause) - pause
}

func (r *contention) left(v *rival) time.Duration { return v.target - r.clock.now.Sub(v.arrived) }

// request asks for admission.
func (r *contention) request(v *rival) {
	turn := admitter.Turn{First: true, Left: r.left(v) + v.target, LimitSample: r.random.Float64(), RetrySample: r.random.Float64()}
	d := admitter.Decision{Admitted: true}
	switch r.Admission {
	case "MeanLoad":
		d = admitter.Admit(contentionPolicy, turn, r.reports)
	case "MeanLoadTight":
		tight := contentionPolicy
		tight.SoftLimit, tight.HardLimit = 0.8, 0.95
		d = admitter.Admit(tight, turn, r.reports)
	case "Need", "Shares":
		rest := v.needed(v.turns)
		c := admitter.Contend(contentionPolicy, admitter.Need{
			Priority: v.agent.Precedence, Left: r.left(v), Target: v.target, Rest: rest,
			EngineShare: 1 - float64(v.turns-1)*v.agent.Pause.mean()*float64(time.Millisecond)/float64(rest),
		}, admitter.RoomOf(r.reports, r.engines[0].cache.limit, r.meanContext()))
		refused := c.Refused
		if r.Admission == "Shares" {
			refused = r.books[r.random.IntN(contentionBooks)].AskAt(r.clock.now, apportioner.Contender{
				Account: fmt.Sprint(v.account), Level: c.Level, Work: v.agent.engineTime() * 1000, Refused: refused,
			})
		}
		d = admitter.Decide(contentionPolicy, turn, c, refused)
	}
	switch {
	case d.Admitted:
		v.begun = true
		r.send(v)
	case v.returns >= maxReturns || r.left(v)+v.target < 0:
		r.end(v, "Refused")
	default:
		v.returns++
		r.clock.after(d.RetryAfter, func() { r.request(v) })
	}
}

// meanContext returns the mean context of the running requests.
func (r *contention) meanContext() float64 {
	sum, n := 0, 0
	for _, e := range r.engines {
		for _, g := range e.running {
			sum += g.turn.prompt + g.turn.output
			n++
		}
	}
	return float64(sum) / float64(max(n, 1))
}

// send sends the program's next turn to an engine.
func (r *contention) send(v *rival) {
	t := v.nextTurn(r.clock.now)
	priority := 0
	if r.HasOrder {
		priority = admitter.Priority(admitter.Order{
			Priority: v.agent.Precedence, First: v.turn == 1, HasTarget: true, Left: r.left(v), Rest: v.needed(v.turns - v.turn + 1), Target: v.target,
		})
	}
	i := chooser.ForTurn(chooser.Turn{Key: v.id, Home: fmt.Sprint(v.home)}, r.reports, contentionMargin)
	v.home = i
	r.reports[i].Load++
	r.engines[i].submit(&generation{turn: t, priority: priority, sent: r.clock.now})
}

func (r *contention) prefilled(g *generation) {
	fresh := g.turn.prompt - g.turn.program.history
	r.prefilledAll += float64(g.prefill)
	r.repeats += float64(max(g.prefill-fresh, 0))
}

func (r *contention) firstToken(*generation)       {}
func (r *contention) stored(*engine, string, int)  {}
func (r *contention) evicted(*engine, string, int) {}

func (r *contention) finished(_ *engine, g *generation) {
	v := r.rivals[g.turn.program]
	v.history = g.turn.prompt + g.turn.output
	switch {
	case r.left(v)+v.target < 0:
		r.end(v, "Failed")
	case v.turn < v.turns:
		r.clock.after(v.pause(), func() { r.send(v) })
	case r.left(v) < 0:
		r.end(v, "Late")
	default:
		r.end(v, "InTime")
	}
}

// end counts the program. What is cut off at the end of the run counts as failed.
func (r *contention) end(v *rival, outcome string) {
	delete(r.rivals, v.program)
	for _, e := range r.engines {
		e.release(v.id)
	}
	r.outcomes[outcome]++
	inTime := 0
	if outcome == "InTime" {
		inTime = 1
	}
	count := func(at [2]int) [2]int { return [2]int{at[0] + inTime, at[1] + 1} }
	if r.Load != "Account" || v.account != 0 {
		r.accounts[v.account] = count(r.accounts[v.account])
	}
	window := int(v.arrived.Sub(epoch) / contentionWindow)
	r.windows[window] = count(r.windows[window])
	if v.agent.Precedence == 0 {
		r.urgent = count(r.urgent)
	}
}

func (r *contention) figures() ContentionFigures {
	for _, v := range r.rivals {
		r.end(v, "Failed")
	}
	n := 0
	for _, count := range r.outcomes {
		n += count
	}
	share := func(outcome string) float64 { return float64(r.outcomes[outcome]) / float64(n) }
	worst := func(counts map[int][2]int) float64 {
		least := 1.0
		for _, c := range counts {
			if c[1] >= minAccountPrograms {
				least = min(least, float64(c[0])/float64(c[1]))
			}
		}
		return least
	}
	return ContentionFigures{
		Programs: n, InTime: share("InTime"), Late: share("Late"), Refused: share("Refused"), Failed: share("Failed"),
		Value:        share("InTime") + share("Late")/3,
		WorstAccount: worst(r.accounts), WorstWindow: worst(r.windows), Urgent: float64(r.urgent[0]) / float64(max(r.urgent[1], 1)),
		TokensTwice: r.repeats / max(r.prefilledAll, 1),
	}
}
