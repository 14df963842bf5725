package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The businesses and the agent programs of the workload.
const (
	businessCatalogue = "Catalogue"
	businessBuffet    = "Buffet"

	agentHost   = "Host"
	agentEditor = "Editor"
	agentRights = "Rights"
	agentTrim   = "Trim"
	agentTally  = "Tally"
	agentLoop   = "Loop"
	agentHelper = "Helper"
)

const (
	// tallyPeriod is the time between two bursts of tallies.
	tallyPeriod = 120 * time.Second
	// tallyBurst is the part of the period in which tallies arrive.
	tallyBurst = 0.25
	// loopTurns is the limit at which a loop without end is cut.
	loopTurns = 60
)

// span is an even distribution over whole numbers.
type span struct{ low, high int }

func (s span) draw(random *rand.Rand) int { return s.low + random.IntN(s.high-s.low+1) }

func (s span) mean() float64 { return float64(s.low+s.high) / 2 }

// agent describes the programs of one kind.
type agent struct {
	Name       string
	Business   string
	Precedence int
	// Instructions is the prompt's part that all programs of the agent share, in tokens.
	Instructions int
	Turns        span
	Input        span
	Output       span
	// Pause is the time between turns, in milliseconds.
	Pause span
	// Share is the part of the load, in engine time.
	Share float64
	// Children is the number of sub-agents that one turn starts.
	Children span
	// Patience bounds the time that a caller waits for a turn to begin.
	Patience time.Duration
	// MaxOutput is the bound on a turn's output that the scheduler is told.
	MaxOutput int
}

// helper is the sub-agent that Rights programs start.
var helper = agent{
	Name: agentHelper, Business: businessCatalogue, Precedence: 2, Instructions: 900,
	Turns: span{2, 4}, Input: span{100, 400}, Output: span{60, 160}, Pause: span{200, 1500},
	Patience: 60 * time.Second, MaxOutput: 256,
}

// agents lists the kinds of root programs.
func agents() []*agent {
	return []*agent{
		{
			Name: agentHost, Business: businessCatalogue, Precedence: 0, Instructions: 800,
			Turns: span{2, 4}, Input: span{20, 60}, Output: span{30, 90}, Pause: span{100, 500},
			Share: 0.15, Patience: 10 * time.Second, MaxOutput: 128,
		},
		{
			Name: agentEditor, Business: businessCatalogue, Precedence: 1, Instructions: 1500,
			Turns: span{10, 30}, Input: span{50, 300}, Output: span{80, 250}, Pause: span{2000, 10000},
			Share: 0.25, Patience: 60 * time.Second, MaxOutput: 512,
		},
		{
			Name: agentRights, Business: businessCatalogue, Precedence: 2, Instructions: 1200,
			Turns: span{3, 6}, Input: span{100, 400}, Output: span{80, 200}, Pause: span{200, 1500},
			Share: 0.10, Children: span{2, 4}, Patience: 60 * time.Second, MaxOutput: 256,
		},
		{
			Name: agentTrim, Business: businessBuffet, Precedence: 1, Instructions: 6000,
			Turns: span{6, 15}, Input: span{60, 200}, Output: span{100, 300}, Pause: span{2000, 10000},
			Share: 0.25, Patience: 30 * time.Second, MaxOutput: 512,
		},
		{
			Name: agentTally, Business: businessBuffet, Precedence: 5, Instructions: 1000,
			Turns: span{3, 6}, Input: span{400, 1500}, Output: span{50, 150}, Pause: span{200, 2000},
			Share: 0.20, Patience: 300 * time.Second, MaxOutput: 256,
		},
		{
			Name: agentLoop, Business: businessBuffet, Precedence: 1, Instructions: 1000,
			Turns: span{loopTurns, loopTurns}, Input: span{60, 140}, Output: span{150, 250}, Pause: span{50, 200},
			Share: 0.05, Patience: 300 * time.Second, MaxOutput: 512,
		},
	}
}

// engineTime returns the mean time of a program on an engine whose batch is
// full and which finds every prefix, in seconds.
func (a *agent) engineTime() float64 {
	step := stepBase + engineSlots*stepPerSequence
	perToken := step.Seconds() / engineSlots
	prefill := a.Turns.mean() * a.Input.mean() * prefillPerToken.Seconds()
	decode := a.Turns.mean() * a.Output.mean() * perToken
	own := prefill + decode
	if a.Children.high > 0 {
		own += a.Children.mean() * helper.engineTime()
	}
	return own
}

// program is one program under way.
type program struct {
	id     string
	agent  *agent
	root   *program
	parent *program
	random *rand.Rand
	// turns is the number of turns it will take, spawnAt the one after which its
	// sub-agents run.
	turns   int
	spawnAt int
	turn    int
	history int
	// computed is the longest prefix that some engine has computed for it.
	computed int
	// attained is the service of the whole tree, kept at the root.
	attained int
	arrived  time.Time
	paused   time.Duration
	ideal    time.Duration
	children int
	ended    bool
	owner    int
}

// turn is one turn of a program that waits or is served.
type turn struct {
	id      string
	program *program
	prompt  int
	output  int
	ready   time.Time
	// expires is the time at which the caller hangs up, zero if never.
	expires time.Time
	tries   int
	first   bool
	current *generation
	engine  int
	// dispatched is set while an engine has it, over when it has ended.
	dispatched bool
	over       bool
}

// newProgram draws a program; its later draws depend on its own seed only, so
// that all policies see the same programs.
func newProgram(id string, a *agent, seed uint64, now time.Time) *program {
	random := rand.New(rand.NewPCG(seed, 1))
	p := &program{
		id: id, agent: a, random: random, arrived: now,
		turns: a.Turns.draw(random), history: a.Instructions,
	}
	p.root = p
	if a.Children.high > 0 {
		p.spawnAt = 1 + random.IntN(p.turns-1)
	}
	return p
}

// nextTurn draws the program's next turn.
func (p *program) nextTurn(now time.Time) *turn {
	p.turn++
	t := &turn{
		id:      fmt.Sprint(p.id, "/", p.turn),
		program: p,
		prompt:  p.history + p.agent.Input.draw(p.random),
		output:  p.agent.Output.draw(p.random),
		ready:   now,
		engine:  -1,
	}
	fresh := t.prompt - p.history
	p.ideal += time.Duration(fresh)*prefillPerToken + time.Duration(t.output)*(stepBase+stepPerSequence)
	return t
}

// pause draws the time between two turns.
func (p *program) pause() time.Duration {
	return time.Duration(p.agent.Pause.draw(p.random)) * time.Millisecond
}

// gaps draws the times between the arrivals of an agent's programs.
type gaps struct {
	random *rand.Rand
	// rate is in programs a second.
	rate   float64
	bursts bool
}

// next returns the arrival that follows the time since the start.
func (g *gaps) next(since time.Duration) time.Duration {
	seconds := -math.Log(1-g.random.Float64()) / g.rate
	if !g.bursts {
		return since + time.Duration(seconds*float64(time.Second))
	}
	return stretch(squeeze(since) + time.Duration(seconds*tallyBurst*float64(time.Second)))
}

// squeeze removes the quiet parts of the periods from a time.
func squeeze(since time.Duration) time.Duration {
	burst := time.Duration(tallyBurst * float64(tallyPeriod))
	return since/tallyPeriod*burst + min(since%tallyPeriod, burst)
}

// stretch puts the quiet parts back.
func stretch(busy time.Duration) time.Duration {
	burst := time.Duration(tallyBurst * float64(tallyPeriod))
	return busy/burst*tallyPeriod + busy%burst
}
