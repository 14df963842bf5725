package decider_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// defaultSeeds is the number of seeds of a test run without FUZZ_SEEDS.
const defaultSeeds = 8

// TestMain sets the number and length of the histories that rapid draws per seed.
// FUZZ_SEED is the first seed and FUZZ_SEEDS the number of seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func envInt(t *testing.T, variable string, fallback int) int {
	t.Helper()
	value := os.Getenv(variable)
	if value == "" {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

var steps int

// withoutDeadline hides the Deadline method of the test, which must not be called
// in a synctest bubble.
type withoutDeadline struct{ rapid.TB }

// TestCoreInvariants checks random histories of callers, engines, services, lost
// acknowledgements of the journal, takeovers, handovers and late effects of
// replaced owners. In each, turns are ordered, acknowledged history is kept,
// budgets hold, non-repeatable calls run at most once, answers are complete,
// requests refused as not run did not run, and engine memory is released.
func TestCoreInvariants(t *testing.T) { fuzz(t, checkCore) }

// TestBudgetInvariants checks random histories of turns, failures, lost appends and
// takeovers of two programs, in most of which a budget is exhausted.
func TestBudgetInvariants(t *testing.T) { fuzz(t, checkBudgets) }

func fuzz(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	steps = 0
	first := envInt(t, "FUZZ_SEED", 1)
	for seed := first; seed < first+envInt(t, "FUZZ_SEEDS", defaultSeeds); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			_ = flag.Set("rapid.seed", strconv.Itoa(seed))
			synctest.Test(t, func(t *testing.T) { rapid.Check(withoutDeadline{t}, check) })
		})
	}
	t.Logf("%d steps", steps)
}

func checkCore(t *rapid.T) {
	h := newHarness(t)
	h.start()
	// rapid draws from the sorted keys: a repeated step is more likely, and renaming
	// a key changes the history that a seed draws.
	t.Repeat(map[string]func(*rapid.T){
		"open":      h.stepOpen,
		"turn":      h.stepTurn,
		"turn2":     h.stepTurn,
		"call":      h.stepCall,
		"end":       h.stepEnd,
		"hangup":    h.stepCancel,
		"commit":    h.stepCommit,
		"commit2":   h.stepCommit,
		"commit3":   h.stepCommit,
		"generate":  h.stepGenerate,
		"generate2": h.stepGenerate,
		"invoke":    h.stepInvoke,
		"zombie":    h.stepStaleInvoke,
		"release":   h.stepReleaseMemory,
		"draw":      h.stepDraw,
		"store":     h.stepStore,
		"time":      h.stepTime,
		"takeover":  h.stepTakeover,
		"handover":  h.stepHandover,
		"snapshot":  h.stepSnapshot,
		"":          func(*rapid.T) { steps++ },
	})
	h.finish()
}

func checkBudgets(t *rapid.T) {
	h := newHarness(t)
	h.programLimit = 2
	h.budgetChoices = []int{150, 250, 400}
	h.nextTurnsOnly = true
	h.businessBudget = 450
	h.start()
	t.Repeat(map[string]func(*rapid.T){
		"open":      h.stepOpen,
		"turn":      h.stepTurn,
		"turn2":     h.stepTurn,
		"turn3":     h.stepTurn,
		"hangup":    h.stepCancel,
		"commit":    h.stepCommit,
		"commit2":   h.stepCommit,
		"commit3":   h.stepCommit,
		"generate":  h.stepGenerate,
		"generate2": h.stepGenerate,
		"generate3": h.stepGenerate,
		"draw":      h.stepDraw,
		"draw2":     h.stepDraw,
		"takeover":  h.stepTakeover,
		"snapshot":  h.stepSnapshot,
		"":          func(*rapid.T) { steps++ },
	})
	h.finish()
}

func (h *harness) request(command requester.Command) {
	h.lastID++
	command.Request = fmt.Sprintf("r%d", h.lastID)
	h.requests[command.Request] = &trackedRequest{command: command}
	h.requestOrder = append(h.requestOrder, command.Request)
	h.handle(decider.CommandReceived{Command: command, Deadline: time.Now().Add(time.Minute)})
}

func (h *harness) stepOpen(t *rapid.T) {
	name := rapid.SampledFrom([]string{business, otherBusiness}).Draw(t, "business")
	id := fmt.Sprintf("p%d", rapid.IntRange(1, h.programLimit).Draw(t, "program"))
	open := &requester.Open{Program: id, Agent: "editor", Budget: rapid.SampledFrom(h.budgetChoices).Draw(t, "budget")}
	if rapid.Bool().Draw(t, "child") && len(h.programs) > 0 {
		open.Parent = rapid.SampledFrom(h.programs).Draw(t, "parent")
		open.Program = requester.NewChild(open.Parent, id)
		open.Budget = 0
	} else if _, ok := h.programBudgets[id]; !ok {
		h.programBudgets[id] = programBudget
		if open.Budget > 0 {
			h.programBudgets[id] = open.Budget
		}
	} else if open.Budget > 0 && open.Budget != h.programBudgets[id] {
		h.programBudgets[id] = max(open.Budget, h.programBudgets[id])
	}
	h.request(requester.Command{Business: name, Open: open})
}

func (h *harness) stepTurn(t *rapid.T) {
	if len(h.programs) == 0 {
		t.Skip("no program")
	}
	program := rapid.SampledFrom(h.programs).Draw(t, "program")
	number := rapid.SampledFrom([]int{0, 0, 1, 1, 2}).Draw(t, "number")
	if h.nextTurnsOnly {
		number = 0
	}
	if number > 0 {
		number += len(h.acknowledged[program]) - 1
	}
	turn := &requester.Turn{
		Program: program, Number: max(number, 0), Input: rapid.SampledFrom([]string{"one", "two words"}).Draw(t, "input"),
		MaxTokens: rapid.SampledFrom([]int{0, 20}).Draw(t, "max"),
	}
	if rapid.Bool().Draw(t, "keyed") {
		turn.Key = fmt.Sprintf("k%d", rapid.IntRange(1, 4).Draw(t, "key"))
	}
	caller := h.programBusinesses[program]
	if rapid.IntRange(0, 9).Draw(t, "stranger") == 0 {
		caller = otherBusiness
	}
	h.request(requester.Command{Business: caller, Turn: turn})
}

func (h *harness) stepCall(t *rapid.T) {
	key := fmt.Sprintf("c%d", rapid.IntRange(1, 5).Draw(t, "key"))
	service := rapid.SampledFrom([]string{"fees", "fees", "lookups"}).Draw(t, "service")
	body := key
	if service == "lookups" {
		// Repeatable calls are identified by their bodies.
		body = fmt.Sprintf("%s of %d", key, h.lastID)
	}
	h.request(requester.Command{Business: business, Call: &requester.Call{
		Service: service, Key: key, Method: "POST", Path: "/post", Body: []byte(body),
	}})
}

func (h *harness) stepEnd(t *rapid.T) {
	if len(h.programs) == 0 {
		t.Skip("no program")
	}
	program := rapid.SampledFrom(h.programs).Draw(t, "program")
	if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
		h.request(requester.Command{Business: h.programBusinesses[program], End: &requester.End{Program: program}})
	}
}

func (h *harness) stepCancel(t *rapid.T) {
	open := h.waiting()
	if len(open) == 0 {
		t.Skip("no waiter")
	}
	id := rapid.SampledFrom(open).Draw(t, "request")
	h.requests[id].abandoned = true
	h.handle(decider.RequestCanceled{Request: id})
}

func (h *harness) waiting() []string {
	return slices.DeleteFunc(slices.Clone(h.requestOrder), func(id string) bool {
		return h.requests[id].answered || h.requests[id].abandoned
	})
}

func (h *harness) stepCommit(t *rapid.T) {
	h.makeDurable(rapid.IntRange(1, 4).Draw(t, "appends"), rapid.IntRange(0, 4).Draw(t, "lost") > 0)
}

func (h *harness) stepGenerate(t *rapid.T) {
	attempts := sortedKeys(h.generates)
	if len(attempts) == 0 {
		t.Skip("no attempt")
	}
	attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
	a := h.generates[attempt]
	delete(h.generates, attempt)
	generated := rapid.SampledFrom([]int{1, a.Request.MaxTokens, a.Request.MaxTokens}).Draw(t, "tokens")
	outcome := rapid.SampledFrom([]string{"Whole", "Whole", "Whole", "NotSent", "Failed", "Truncated", "Silent", "Accounted"}).Draw(t, "outcome")
	if outcome == "NotSent" {
		h.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.CauseNotSent})
		return
	}
	if h.canceled[attempt] {
		generated += rapid.IntRange(0, maxOvershoot).Draw(t, "overshoot")
	}
	usage := h.chargeUsage(a, generated)
	text := h.outputText(a, generated)
	switch outcome {
	case "Whole":
		h.handle(decider.GenerateCompleted{Attempt: attempt, Text: text, Usage: usage})
	case "Truncated":
		h.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.CauseTruncated, Offset: 0})
	case "Accounted":
		h.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.CauseFailed, Usage: &usage})
	default:
		h.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.Cause(outcome), Offset: generated})
	}
}

// executeCall executes a call at its service and checks that it may run.
func (h *harness) executeCall(a decider.Invoke) {
	id := a.Call.Service + "/" + a.Call.Key
	h.executions[id]++
	if a.AtMostOnce && h.executions[id] > 1 {
		h.t.Fatalf("non-repeatable call %s ran %d times", id, h.executions[id])
	}
	live := false
	for _, request := range h.requestOrder {
		q := h.requests[request]
		if q.command.Call == nil || !cmp.Equal(*q.command.Call, a.Call) || q.notRun {
			continue
		}
		live = true
		q.executed = q.executed || !q.answered
	}
	if a.AtMostOnce && !live {
		h.t.Fatalf("call %s ran after all its requests were refused as not run", id)
	}
}

func (h *harness) stepInvoke(t *rapid.T) {
	attempts := sortedKeys(h.invokes)
	if len(attempts) == 0 {
		t.Skip("no attempt")
	}
	attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
	a := h.invokes[attempt]
	delete(h.invokes, attempt)
	switch rapid.SampledFrom([]string{"Whole", "Whole", "Lost", "NotSent", "Unheard"}).Draw(t, "outcome") {
	case "Whole":
		h.executeCall(a)
		h.handle(decider.InvokeCompleted{Attempt: attempt, Status: 200, Body: []byte("done " + a.Call.Key)})
	case "Lost":
		h.executeCall(a)
		h.handle(decider.InvokeFailed{Attempt: attempt})
	case "NotSent":
		h.handle(decider.InvokeFailed{Attempt: attempt, NotSent: true})
	default:
		h.handle(decider.InvokeFailed{Attempt: attempt})
	}
}

// stepStaleInvoke executes a call that a replaced owner dispatched.
func (h *harness) stepStaleInvoke(t *rapid.T) {
	if len(h.staleInvokes) == 0 {
		t.Skip("no replaced owner")
	}
	a := h.staleInvokes[0]
	h.staleInvokes = h.staleInvokes[1:]
	h.executeCall(a)
}

func (h *harness) stepReleaseMemory(t *rapid.T) {
	if len(h.releases) == 0 {
		t.Skip("no release")
	}
	a := h.releases[0]
	h.releases = h.releases[1:]
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	delete(h.held[a.Endpoint], a.Program)
	h.handle(decider.MemoryReleased(a))
}

func (h *harness) stepDraw(t *rapid.T) {
	if len(h.draws) == 0 {
		t.Skip("no draw")
	}
	d := h.draws[0]
	h.draws = h.draws[1:]
	tokens := min(maxDrawTokens, d.Limit-h.drawnTokens[d.Business])
	if rapid.IntRange(0, 4).Draw(t, "failed") == 0 {
		h.handle(decider.EscrowDrawn{Business: d.Business, Failed: true})
		return
	}
	h.drawnTokens[d.Business] += tokens
	h.handle(decider.EscrowDrawn{Business: d.Business, Tokens: tokens})
}

func (h *harness) stepStore(t *rapid.T) {
	h.handle(decider.StoreHealthChanged{Down: rapid.IntRange(0, 2).Draw(t, "down") == 0})
}

func (h *harness) stepTime(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 20 * time.Second, 2 * time.Minute}).Draw(t, "time"))
	h.handle(decider.Tick{})
}

// stepTakeover replaces the owner. Some of its unconfirmed appends are durable, its
// attempts in flight continue, and its callers get no answer.
func (h *harness) stepTakeover(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no takeover")
	}
	h.makeDurable(rapid.IntRange(0, len(h.pending)).Draw(t, "landed"), false)
	for _, attempt := range sortedKeys(h.invokes) {
		h.staleInvokes = append(h.staleInvokes, h.invokes[attempt])
	}
	h.invokes = map[string]decider.Invoke{}
	for _, id := range h.waiting() {
		h.requests[id].abandoned = true
	}
	h.start()
}

// stepHandover releases all shards and then starts a new owner.
func (h *harness) stepHandover(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no handover")
	}
	for _, number := range usedShards {
		h.handle(decider.ShardReleaseRequested{Shard: number})
	}
	h.drain(false)
	for _, number := range usedShards {
		h.handle(decider.ShardRevoked{Shard: number})
	}
	h.drain(false)
	h.makeDurable(len(h.pending), true)
	if len(h.releasedShards) != len(usedShards) || len(h.pending) > 0 {
		t.Fatalf("%d of %d shards were released, %d appends are not durable", len(h.releasedShards), len(usedShards), len(h.pending))
	}
	for _, attempt := range sortedKeys(h.invokes) {
		h.staleInvokes = append(h.staleInvokes, h.invokes[attempt])
	}
	h.invokes = map[string]decider.Invoke{}
	for _, id := range h.waiting() {
		h.requests[id].abandoned = true
	}
	h.start()
}

func (h *harness) stepSnapshot(t *rapid.T) {
	h.makeDurable(len(h.pending), true)
	if len(h.pending) > 0 {
		t.Skip("no snapshot: commits led to further appends")
	}
	for _, number := range usedShards {
		body, _, ok := h.core.Snapshot(number)
		if !ok {
			continue
		}
		h.snapshots[number] = body
		h.journal[number] = []sharder.Entry(nil)
	}
}

// drain completes all appends, generations and draws, and all calls if includeCalls.
func (h *harness) drain(includeCalls bool) {
	h.makeDurable(len(h.pending), true)
	for len(h.pending)+len(h.generates)+len(h.draws) > 0 || (includeCalls && len(h.invokes) > 0) {
		h.makeDurable(len(h.pending), true)
		for _, attempt := range sortedKeys(h.generates) {
			a := h.generates[attempt]
			delete(h.generates, attempt)
			generated := min(5, a.Request.MaxTokens)
			usage := h.chargeUsage(a, generated)
			h.handle(decider.GenerateCompleted{Attempt: attempt, Text: h.outputText(a, generated), Usage: usage})
		}
		for _, d := range h.draws {
			tokens := min(maxDrawTokens, d.Limit-h.drawnTokens[d.Business])
			h.drawnTokens[d.Business] += tokens
			h.draws = h.draws[1:]
			h.handle(decider.EscrowDrawn{Business: d.Business, Tokens: tokens})
		}
		if !includeCalls {
			continue
		}
		for _, attempt := range sortedKeys(h.invokes) {
			a := h.invokes[attempt]
			delete(h.invokes, attempt)
			h.executeCall(a)
			h.handle(decider.InvokeCompleted{Attempt: attempt, Status: 200, Body: []byte("done " + a.Call.Key)})
		}
	}
}

// finish ends all programs and checks that every request is answered, no
// acknowledged turn is lost and no engine holds memory for an ended program.
func (h *harness) finish() {
	h.handle(decider.StoreHealthChanged{})
	h.drain(true)
	for _, program := range h.programs {
		h.request(requester.Command{Business: h.programBusinesses[program], End: &requester.End{Program: program}})
	}
	h.drain(true)
	time.Sleep(2 * time.Minute)
	h.handle(decider.Tick{})
	h.drain(true)
	if open := h.waiting(); len(open) > 0 {
		h.t.Fatalf("requests %v got no answer", open)
	}
	h.checkAcknowledged()
	for engine := range h.held {
		h.handle(decider.HoldingsReported{Endpoint: engine, Programs: sortedKeys(h.held[engine])})
	}
	for len(h.releases) > 0 {
		a := h.releases[0]
		h.releases = h.releases[1:]
		delete(h.held[a.Endpoint], a.Program)
		h.handle(decider.MemoryReleased(a))
	}
	for engine, programs := range h.held {
		if len(programs) > 0 {
			h.t.Fatalf("%s holds memory for ended programs %v", engine, sortedKeys(programs))
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
