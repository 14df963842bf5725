package decider_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/router"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

const (
	business      = "laulukaar"
	rival         = "binfold"
	programBudget = 900
	// drawTokens is small, so that draws run out.
	drawTokens = 100
	maxOutput  = 40
	overshoot  = 32
)

// alwaysRetrier allows every retry.
type alwaysRetrier struct{}

func (alwaysRetrier) Earn(time.Time, string, float64) {}
func (alwaysRetrier) Spend(time.Time, string) bool    { return true }
func (alwaysRetrier) Backoff(int) time.Duration       { return time.Second / 2 }

// newVersion returns a document with one agent program a business, two engines
// and a service of each kind.
func newVersion(budget int) *compiler.Version {
	v := &compiler.Version{
		Number: 1, Businesses: map[string]*compiler.Business{}, Agents: map[string]*compiler.Agent{},
		Endpoints: map[string]*compiler.Endpoint{}, Services: map[string]*compiler.Service{},
	}
	for _, name := range []string{business, rival} {
		v.Businesses[name] = &compiler.Business{Name: name, Weight: 1, Budget: budget, RetryShare: 1}
		v.Agents[compiler.AgentName(name, "editor")] = &compiler.Agent{
			Business: name, Name: "editor", Model: "m", Budget: programBudget, MaxTurns: 9, MaxOutput: maxOutput,
			IdleTimeout: time.Hour, WallLimit: 24 * time.Hour,
		}
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		v.Endpoints[name] = &compiler.Endpoint{Name: name, Models: []string{"m"}, Slots: 4}
	}
	for _, name := range []string{"fees", "lookups"} {
		v.Services[name] = &compiler.Service{Name: name, Repeatable: name == "lookups"}
		v.Endpoints[name+"-1"] = &compiler.Endpoint{Name: name + "-1", Service: name, Slots: 4}
	}
	return v
}

// appended is one append of the current owner that is not yet durable.
type appended struct {
	ticket  int64
	entries []sharder.Entry
}

// asked is what a caller asked for and what was found out about it.
type asked struct {
	command  requester.Command
	answered bool
	orphaned bool
	// executed is true once an endpoint ran something for it.
	executed bool
	notRun   bool
}

// world drives one core as its surroundings would and checks what it does
// against plain books of its own.
type world struct {
	t    *rapid.T
	core *decider.Core

	programLimit  int
	budgetChoices []int
	// businessBudget is of each business, in tokens.
	businessBudget int
	// tight asks for nothing but next turns.
	tight bool

	serial    int
	snapshots map[int][]byte
	journal   map[int][]sharder.Entry
	pending   []appended
	durable   int64

	requests map[string]*asked
	order    []string
	programs []string
	owners   map[string]string
	budgets  map[string]int
	flights  map[string]decider.Generate
	canceled map[string]bool
	invokes  map[string]decider.Invoke
	zombies  []decider.Invoke
	releases []decider.ReleaseMemory
	draws    []decider.DrawEscrow
	drawn    map[string]int
	gone     map[int]bool

	// The oracle's books.
	acked    map[string]map[int]string
	consumed map[string]int
	billed   map[string]int
	// lengths is what each generated text counts for in a prompt, in tokens.
	lengths map[string]int
	runs    map[string]int
	held    map[string]map[string]bool
	ended   map[string]bool
}

// usedShards are the shards that the drawn programs and keys are placed on.
var usedShards = findShards()

func findShards() []int {
	var shards []int
	for n := range 10 {
		shards = append(shards,
			requester.ShardOf(fmt.Sprintf("p%d", n)),
			requester.ShardOf(requester.CallRoutingKey(business, fmt.Sprintf("c%d", n))))
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, programLimit: 6, budgetChoices: []int{0, 300, 600}, businessBudget: 3000, snapshots: map[int][]byte{}, journal: map[int][]sharder.Entry{}, requests: map[string]*asked{},
		owners: map[string]string{}, budgets: map[string]int{}, flights: map[string]decider.Generate{}, canceled: map[string]bool{},
		invokes: map[string]decider.Invoke{}, drawn: map[string]int{}, gone: map[int]bool{},
		acked: map[string]map[int]string{}, consumed: map[string]int{}, billed: map[string]int{}, lengths: map[string]int{}, runs: map[string]int{},
		held: map[string]map[string]bool{"engine-1": {}, "engine-2": {}}, ended: map[string]bool{},
	}
	return w
}

// start makes a new core from what is durable, as a takeover does.
func (w *world) start() {
	w.serial++
	policy := compiler.Policy{}
	w.core = decider.New(newVersion(w.businessBudget), queuer.New(policy), router.New(policy, 1), alwaysRetrier{},
		decider.WithIDPrefix(fmt.Sprintf("owner%d", w.serial)), decider.WithAllowanceIncrement(64))
	w.pending = nil
	w.durable = 0
	w.draws = nil
	w.gone = map[int]bool{}
	for _, number := range usedShards {
		actions, err := w.core.Restore(number, w.snapshots[number], w.journal[number])
		if err != nil {
			w.t.Fatalf("shard %d does not restore: %v", number, err)
		}
		w.carryOut(actions)
	}
	w.checkAcknowledged()
}

func (w *world) handle(event decider.Event) { w.carryOut(w.core.Handle(event)) }

func (w *world) carryOut(actions []decider.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decider.Append:
			w.pending = append(w.pending, appended{ticket: a.Ticket, entries: a.Entries})
		case decider.Generate:
			w.checkPrompt(a)
			w.flights[a.Attempt] = a
		case decider.CancelGenerate:
			w.canceled[a.Attempt] = true
		case decider.Invoke:
			w.invokes[a.Attempt] = a
		case decider.Answer:
			w.answered(a)
		case decider.ReleaseMemory:
			w.releases = append(w.releases, a)
		case decider.DrawEscrow:
			w.draws = append(w.draws, a)
		case decider.ShardReleased:
			w.checkDurable(a.Shard)
			w.gone[a.Shard] = true
		}
	}
}

// checkDurable fails if a shard is given up while its entries are not durable.
func (w *world) checkDurable(shard int) {
	for _, a := range w.pending {
		for _, e := range a.entries {
			if e.Shard == shard {
				w.t.Fatalf("shard %d was given up before its entries were durable", shard)
			}
		}
	}
}

// makeDurable lands the oldest appends; the core is told unless the answer is lost.
func (w *world) makeDurable(count int, tell bool) {
	for range min(count, len(w.pending)) {
		w.durable = w.pending[0].ticket
		for _, e := range w.pending[0].entries {
			w.journal[e.Shard] = append(w.journal[e.Shard], e)
		}
		w.pending = w.pending[1:]
	}
	if tell {
		w.handle(decider.AppendsCommitted{Ticket: w.durable})
	}
}

// checkPrompt fails unless the prompt continues exactly the acknowledged history.
func (w *world) checkPrompt(a decider.Generate) {
	program := a.Request.Program
	turns := (len(a.Request.Messages) - 1) / 2
	if len(w.acked[program]) > turns {
		w.t.Fatalf("turn %d of %s was sent after %d acknowledged turns", turns+1, program, len(w.acked[program]))
	}
	for number := 1; number <= turns; number++ {
		text := a.Request.Messages[2*number-1].Text
		if !strings.HasPrefix(text, program+" ") {
			w.t.Fatalf("the prompt of %s holds another program's text %q", program, text)
		}
		if want, ok := w.acked[program][number]; ok {
			if diff := cmp.Diff(want, text); diff != "" {
				w.t.Fatalf("turn %d of %s changed:\n%s", number, program, diff)
			}
		}
	}
	if w.inFlight(program) {
		w.t.Fatalf("two turns of %s are in flight", program)
	}
}

func (w *world) inFlight(program string) bool {
	for attempt, a := range w.flights {
		if a.Request.Program == program && strings.HasPrefix(attempt, fmt.Sprintf("owner%d-", w.serial)) && !w.canceled[attempt] {
			return true
		}
	}
	return false
}

func (w *world) answered(a decider.Answer) {
	q := w.requests[a.Request]
	if q == nil {
		w.t.Fatalf("an answer to a request that was not made: %+v", a)
	}
	if q.answered {
		w.t.Fatalf("request %s was answered twice", a.Request)
	}
	q.answered = true
	if a.Err != nil {
		w.refused(a, q)
		return
	}
	switch {
	case q.command.Turn != nil:
		w.turned(q, a.Reply.Turned)
	case q.command.Open != nil:
		w.opened(q, a.Reply.Opened)
	case q.command.Call != nil:
		w.called(q, a.Reply.Called)
	case q.command.End != nil:
		w.ended[q.command.End.Program] = true
	}
}

func (w *world) refused(a decider.Answer, q *asked) {
	if a.Err.Answer().Ran != answerer.NotRun {
		return
	}
	q.notRun = true
	if q.executed {
		w.t.Fatalf("request %s was run and refused as not run: %v", a.Request, a.Err)
	}
}

func (w *world) opened(q *asked, reply *requester.Opened) {
	if diff := cmp.Diff(q.command.Open.Program, reply.Program); diff != "" {
		w.t.Fatalf("another program was opened:\n%s", diff)
	}
	if w.acked[reply.Program] != nil {
		return
	}
	w.acked[reply.Program] = map[int]string{}
	w.programs = append(w.programs, reply.Program)
	w.owners[reply.Program] = q.command.Business
}

func (w *world) turned(q *asked, reply *requester.Turned) {
	turn := q.command.Turn
	if w.owners[turn.Program] != q.command.Business {
		w.t.Fatalf("business %s continued %s, a program of %s", q.command.Business, turn.Program, w.owners[turn.Program])
	}
	if reply.Program != turn.Program || (turn.Number != 0 && turn.Number != reply.Number) {
		w.t.Fatalf("turn %d of %s was answered with turn %d of %s", turn.Number, turn.Program, reply.Number, reply.Program)
	}
	if !strings.Contains(reply.Text, " answers "+turn.Input+" ") {
		w.t.Fatalf("the answer to %q is %q", turn.Input, reply.Text)
	}
	if known, ok := w.acked[reply.Program][reply.Number]; ok && known != reply.Text {
		w.t.Fatalf("turn %d of %s has two answers: %q and %q", reply.Number, reply.Program, known, reply.Text)
	}
	if reply.Number > len(w.acked[reply.Program])+1 {
		w.t.Logf("turn %d of %s is acknowledged before an earlier one was asked for", reply.Number, reply.Program)
	}
	w.acked[reply.Program][reply.Number] = reply.Text
}

func (w *world) called(q *asked, reply *requester.Called) {
	if diff := cmp.Diff("done "+q.command.Call.Key, string(reply.Body)); diff != "" && q.command.Call.Service == "fees" {
		w.t.Fatalf("a call got another's answer:\n%s", diff)
	}
}

// checkAcknowledged fails unless every acknowledged turn is in the history.
func (w *world) checkAcknowledged() {
	for _, program := range w.programs {
		w.serial++
		id := fmt.Sprintf("check%d", w.serial)
		command := requester.Command{Request: id, Business: w.owners[program], History: &requester.History{Program: program}}
		w.requests[id] = &asked{command: command}
		page := w.ask(decider.CommandReceived{Command: command})
		for number, text := range w.acked[program] {
			if number > len(page.Turns) || page.Turns[number-1].Text != text {
				w.t.Fatalf("turn %d of %s is lost", number, program)
			}
		}
	}
}

// ask returns the history that the core answers at once or after its commits.
func (w *world) ask(event decider.CommandReceived) *requester.HistoryPage {
	actions := w.core.Handle(event)
	w.carryOut(actions)
	for {
		for _, action := range actions {
			if a, ok := action.(decider.Answer); ok && a.Request == event.Command.Request {
				if a.Err != nil {
					w.t.Fatalf("a history is refused: %v", a.Err)
				}
				return a.Reply.History
			}
		}
		if len(w.pending) == 0 {
			w.t.Fatalf("a history is not answered")
		}
		for _, e := range w.pending[0].entries {
			w.journal[e.Shard] = append(w.journal[e.Shard], e)
		}
		w.durable = w.pending[0].ticket
		w.pending = w.pending[1:]
		actions = w.core.Handle(decider.AppendsCommitted{Ticket: w.durable})
		w.carryOut(actions)
	}
}

// consume books what an engine really spent on an attempt, in tokens.
func (w *world) consume(a decider.Generate, generated int) generator.Usage {
	prompt := w.promptTokens(a)
	w.held[a.Endpoint][a.Request.Program] = true
	root := requester.Root(a.Request.Program)
	w.consumed[root] += prompt + generated
	w.billed[w.owners[a.Request.Program]] += prompt + generated
	if w.consumed[root] > w.budgets[root] {
		w.t.Fatalf("program %s spent %d tokens of %d", root, w.consumed[root], w.budgets[root])
	}
	if w.billed[w.owners[a.Request.Program]] > w.businessBudget {
		w.t.Fatalf("business %s spent beyond its budget", w.owners[a.Request.Program])
	}
	if q := w.requests[a.Sink]; q != nil {
		w.execute(q)
	}
	return generator.Usage{Prompt: prompt, Generated: generated}
}

// promptTokens counts a prompt as the worst of tokenizers would: one token a
// byte of what callers wrote, and some around each message.
func (w *world) promptTokens(a decider.Generate) int {
	const aroundMessage = 8
	tokens := 0
	for _, message := range a.Request.Messages {
		generated, ok := w.lengths[message.Text]
		if !ok {
			generated = len(message.Text)
		}
		tokens += generated + aroundMessage
	}
	return tokens
}

// answer returns the text of an attempt's output.
func (w *world) answer(a decider.Generate, generated int) string {
	input := a.Request.Messages[len(a.Request.Messages)-1].Text
	text := a.Request.Program + " answers " + input + " in " + a.Attempt
	w.lengths[text] = generated
	return text
}

func (w *world) execute(q *asked) {
	q.executed = true
	if q.notRun {
		w.t.Fatalf("request %s runs after it was refused as not run", q.command.Request)
	}
}
