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
	otherBusiness = "binfold"
	programBudget = 900
	// maxDrawTokens is small, so that escrows run out.
	maxDrawTokens = 100
	maxOutput     = 40
	maxOvershoot  = 32
)

// unlimitedRetries is a RetryBudget that allows every retry.
type unlimitedRetries struct{}

func (unlimitedRetries) Earn(time.Time, string, float64) {}
func (unlimitedRetries) Spend(time.Time, string) bool    { return true }
func (unlimitedRetries) Backoff(int) time.Duration       { return time.Second / 2 }

// newVersion returns a document with an agent program per business, two engines,
// a repeatable service and one that is not.
func newVersion(budget int) *compiler.Version {
	v := &compiler.Version{
		Number: 1, Businesses: map[string]*compiler.Business{}, Agents: map[string]*compiler.Agent{},
		Endpoints: map[string]*compiler.Endpoint{}, Services: map[string]*compiler.Service{},
	}
	for _, name := range []string{business, otherBusiness} {
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

// pendingAppend is an append of the current owner that is not yet durable.
type pendingAppend struct {
	ticket  int64
	entries []sharder.Entry
}

// trackedRequest is a request of a caller and what is known of its processing.
type trackedRequest struct {
	command   requester.Command
	answered  bool
	abandoned bool
	// executed is true once an endpoint has executed it.
	executed bool
	// notRun is true once it was refused as not run.
	notRun bool
}

// harness simulates the environment of a Core and checks its actions against a
// simple model.
type harness struct {
	t    *rapid.T
	core *decider.Core

	programLimit  int
	budgetChoices []int
	// businessBudget is the budget of each business, in tokens.
	businessBudget int
	// nextTurnsOnly makes every requested turn the next one.
	nextTurnsOnly bool

	lastID        int
	snapshots     map[int][]byte
	journal       map[int][]sharder.Entry
	pending       []pendingAppend
	durableTicket int64

	requests          map[string]*trackedRequest
	requestOrder      []string
	programs          []string
	programBusinesses map[string]string
	programBudgets    map[string]int
	generates         map[string]decider.Generate
	canceled          map[string]bool
	invokes           map[string]decider.Invoke
	staleInvokes      []decider.Invoke
	releases          []decider.ReleaseMemory
	draws             []decider.DrawEscrow
	drawnTokens       map[string]int
	releasedShards    map[int]bool

	// The model: acknowledged texts by program and turn number, tokens used by tree
	// and by business, executions by call, and programs held by engine.
	acknowledged   map[string]map[int]string
	programTokens  map[string]int
	businessTokens map[string]int
	// textTokens is the length of each generated text, in tokens.
	textTokens map[string]int
	executions map[string]int
	held       map[string]map[string]bool
	ended      map[string]bool
}

// usedShards are the shards of the programs and keys that are drawn.
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

func newHarness(t *rapid.T) *harness {
	h := &harness{
		t: t, programLimit: 6, budgetChoices: []int{0, 300, 600}, businessBudget: 3000, snapshots: map[int][]byte{}, journal: map[int][]sharder.Entry{}, requests: map[string]*trackedRequest{},
		programBusinesses: map[string]string{}, programBudgets: map[string]int{}, generates: map[string]decider.Generate{}, canceled: map[string]bool{},
		invokes: map[string]decider.Invoke{}, drawnTokens: map[string]int{}, releasedShards: map[int]bool{},
		acknowledged: map[string]map[int]string{}, programTokens: map[string]int{}, businessTokens: map[string]int{}, textTokens: map[string]int{}, executions: map[string]int{},
		held: map[string]map[string]bool{"engine-1": {}, "engine-2": {}}, ended: map[string]bool{},
	}
	return h
}

// start replaces the core by one restored from durable state.
func (h *harness) start() {
	h.lastID++
	policy := compiler.Policy{}
	h.core = decider.New(newVersion(h.businessBudget), queuer.New(policy), router.New(policy, 1), unlimitedRetries{},
		decider.WithIDPrefix(fmt.Sprintf("owner%d", h.lastID)), decider.WithAllowanceIncrement(64))
	h.pending = nil
	h.durableTicket = 0
	h.draws = nil
	h.releasedShards = map[int]bool{}
	for _, number := range usedShards {
		actions, err := h.core.Restore(number, h.snapshots[number], h.journal[number])
		if err != nil {
			h.t.Fatalf("restore shard %d: %v", number, err)
		}
		h.apply(actions)
	}
	h.checkAcknowledged()
}

func (h *harness) handle(event decider.Event) { h.apply(h.core.Handle(event)) }

func (h *harness) apply(actions []decider.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decider.Append:
			h.pending = append(h.pending, pendingAppend{ticket: a.Ticket, entries: a.Entries})
		case decider.Generate:
			h.checkPrompt(a)
			h.generates[a.Attempt] = a
		case decider.CancelGenerate:
			h.canceled[a.Attempt] = true
		case decider.Invoke:
			h.invokes[a.Attempt] = a
		case decider.Answer:
			h.recordAnswer(a)
		case decider.ReleaseMemory:
			h.releases = append(h.releases, a)
		case decider.DrawEscrow:
			h.draws = append(h.draws, a)
		case decider.ShardReleased:
			h.checkDurable(a.Shard)
			h.releasedShards[a.Shard] = true
		}
	}
}

// checkDurable fails the test if a shard is released before its entries are durable.
func (h *harness) checkDurable(shard int) {
	for _, a := range h.pending {
		for _, e := range a.entries {
			if e.Shard == shard {
				h.t.Fatalf("shard %d was released before its entries were durable", shard)
			}
		}
	}
}

// makeDurable makes the oldest appends durable. Without notify, the core gets no
// acknowledgement.
func (h *harness) makeDurable(count int, notify bool) {
	for range min(count, len(h.pending)) {
		h.durableTicket = h.pending[0].ticket
		for _, e := range h.pending[0].entries {
			h.journal[e.Shard] = append(h.journal[e.Shard], e)
		}
		h.pending = h.pending[1:]
	}
	if notify {
		h.handle(decider.AppendsCommitted{Ticket: h.durableTicket})
	}
}

// checkPrompt fails the test unless the prompt continues the acknowledged history.
func (h *harness) checkPrompt(a decider.Generate) {
	program := a.Request.Program
	turns := (len(a.Request.Messages) - 1) / 2
	if len(h.acknowledged[program]) > turns {
		h.t.Fatalf("turn %d of %s was sent, but %d turns are acknowledged", turns+1, program, len(h.acknowledged[program]))
	}
	for number := 1; number <= turns; number++ {
		text := a.Request.Messages[2*number-1].Text
		if !strings.HasPrefix(text, program+" ") {
			h.t.Fatalf("the prompt of %s contains another program's text %q", program, text)
		}
		if want, ok := h.acknowledged[program][number]; ok {
			if diff := cmp.Diff(want, text); diff != "" {
				h.t.Fatalf("turn %d of %s changed:\n%s", number, program, diff)
			}
		}
	}
	if h.generating(program) {
		h.t.Fatalf("two turns of %s are in flight", program)
	}
}

func (h *harness) generating(program string) bool {
	for attempt, a := range h.generates {
		if a.Request.Program == program && strings.HasPrefix(attempt, fmt.Sprintf("owner%d-", h.lastID)) && !h.canceled[attempt] {
			return true
		}
	}
	return false
}

func (h *harness) recordAnswer(a decider.Answer) {
	q := h.requests[a.Request]
	if q == nil {
		h.t.Fatalf("unknown request was answered: %+v", a)
	}
	if q.answered {
		h.t.Fatalf("request %s was answered twice", a.Request)
	}
	q.answered = true
	if a.Err != nil {
		h.recordRefusal(a, q)
		return
	}
	switch {
	case q.command.Turn != nil:
		h.recordTurned(q, a.Reply.Turn)
	case q.command.Open != nil:
		h.recordOpened(q, a.Reply.Open)
	case q.command.Call != nil:
		h.checkCalled(q, a.Reply.Call)
	case q.command.End != nil:
		h.ended[q.command.End.Program] = true
	}
}

func (h *harness) recordRefusal(a decider.Answer, q *trackedRequest) {
	if a.Err.Response().Ran != answerer.NotRun {
		return
	}
	q.notRun = true
	if q.executed {
		h.t.Fatalf("request %s ran, but was refused as not run: %v", a.Request, a.Err)
	}
}

func (h *harness) recordOpened(q *trackedRequest, reply *requester.OpenReply) {
	if diff := cmp.Diff(q.command.Open.Program, reply.Program); diff != "" {
		h.t.Fatalf("another program was opened:\n%s", diff)
	}
	if h.acknowledged[reply.Program] != nil {
		return
	}
	h.acknowledged[reply.Program] = map[int]string{}
	h.programs = append(h.programs, reply.Program)
	h.programBusinesses[reply.Program] = q.command.Business
}

func (h *harness) recordTurned(q *trackedRequest, reply *requester.TurnReply) {
	turn := q.command.Turn
	if h.programBusinesses[turn.Program] != q.command.Business {
		h.t.Fatalf("business %s took a turn of %s, a program of %s", q.command.Business, turn.Program, h.programBusinesses[turn.Program])
	}
	if reply.Program != turn.Program || (turn.Number != 0 && turn.Number != reply.Number) {
		h.t.Fatalf("turn %d of %s was answered with turn %d of %s", turn.Number, turn.Program, reply.Number, reply.Program)
	}
	if !strings.Contains(reply.Text, " answers "+turn.Input+" ") {
		h.t.Fatalf("the answer to %q is %q", turn.Input, reply.Text)
	}
	if known, ok := h.acknowledged[reply.Program][reply.Number]; ok && known != reply.Text {
		h.t.Fatalf("turn %d of %s has two answers: %q and %q", reply.Number, reply.Program, known, reply.Text)
	}
	if reply.Number > len(h.acknowledged[reply.Program])+1 {
		h.t.Logf("turn %d of %s was acknowledged before an earlier one", reply.Number, reply.Program)
	}
	h.acknowledged[reply.Program][reply.Number] = reply.Text
}

func (h *harness) checkCalled(q *trackedRequest, reply *requester.CallReply) {
	if diff := cmp.Diff("done "+q.command.Call.Key, string(reply.Body)); diff != "" && q.command.Call.Service == "fees" {
		h.t.Fatalf("call got the answer to another:\n%s", diff)
	}
}

// checkAcknowledged fails the test unless the histories contain all acknowledged turns.
func (h *harness) checkAcknowledged() {
	for _, program := range h.programs {
		h.lastID++
		id := fmt.Sprintf("check%d", h.lastID)
		command := requester.Command{Request: id, Business: h.programBusinesses[program], History: &requester.History{Program: program}}
		h.requests[id] = &trackedRequest{command: command}
		page := h.readHistory(decider.CommandReceived{Command: command})
		for number, text := range h.acknowledged[program] {
			if number > len(page.Turns) || page.Turns[number-1].Text != text {
				h.t.Fatalf("turn %d of %s is lost", number, program)
			}
		}
	}
}

// readHistory returns the core's answer to a history command. It makes appends
// durable until the core answers.
func (h *harness) readHistory(event decider.CommandReceived) *requester.HistoryPage {
	actions := h.core.Handle(event)
	h.apply(actions)
	for {
		for _, action := range actions {
			if a, ok := action.(decider.Answer); ok && a.Request == event.Command.Request {
				if a.Err != nil {
					h.t.Fatalf("history command was refused: %v", a.Err)
				}
				return a.Reply.History
			}
		}
		if len(h.pending) == 0 {
			h.t.Fatalf("history command got no answer")
		}
		for _, e := range h.pending[0].entries {
			h.journal[e.Shard] = append(h.journal[e.Shard], e)
		}
		h.durableTicket = h.pending[0].ticket
		h.pending = h.pending[1:]
		actions = h.core.Handle(decider.AppendsCommitted{Ticket: h.durableTicket})
		h.apply(actions)
	}
}

// chargeUsage adds the actual usage of an attempt to the model and checks budgets.
func (h *harness) chargeUsage(a decider.Generate, generated int) generator.Usage {
	prompt := h.promptTokens(a)
	h.held[a.Endpoint][a.Request.Program] = true
	root := requester.Root(a.Request.Program)
	h.programTokens[root] += prompt + generated
	h.businessTokens[h.programBusinesses[a.Request.Program]] += prompt + generated
	if h.programTokens[root] > h.programBudgets[root] {
		h.t.Fatalf("program %s spent %d tokens of %d", root, h.programTokens[root], h.programBudgets[root])
	}
	if h.businessTokens[h.programBusinesses[a.Request.Program]] > h.businessBudget {
		h.t.Fatalf("business %s exceeded its budget", h.programBusinesses[a.Request.Program])
	}
	if q := h.requests[a.Sink]; q != nil {
		h.markExecuted(q)
	}
	return generator.Usage{Prompt: prompt, Generated: generated}
}

// promptTokens returns the largest length that a prompt can have in any tokenizer:
// a token per byte of caller text, plus an overhead per message.
func (h *harness) promptTokens(a decider.Generate) int {
	const messageOverhead = 8
	tokens := 0
	for _, message := range a.Request.Messages {
		generated, ok := h.textTokens[message.Text]
		if !ok {
			generated = len(message.Text)
		}
		tokens += generated + messageOverhead
	}
	return tokens
}

// outputText returns the output of an attempt and records its length.
func (h *harness) outputText(a decider.Generate, generated int) string {
	input := a.Request.Messages[len(a.Request.Messages)-1].Text
	text := a.Request.Program + " answers " + input + " in " + a.Attempt
	h.textTokens[text] = generated
	return text
}

func (h *harness) markExecuted(q *trackedRequest) {
	q.executed = true
	if q.notRun {
		h.t.Fatalf("request %s ran after it was refused as not run", q.command.Request)
	}
}
