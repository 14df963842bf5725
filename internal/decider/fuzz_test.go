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

// seeds is how many seeds a run of the test tries, from FUZZ_SEED on.
const seeds = 8

// TestMain fixes how much rapid draws; FUZZ_SEED and FUZZ_SEEDS ask for more.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func number(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	value := os.Getenv(variable)
	if value == "" {
		return otherwise
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

var fuzzSteps int

// bubbled hides the test's deadline, which may not be asked for in a bubble.
type bubbled struct{ rapid.TB }

// TestCoreInvariants draws callers, engines, services, a journal that
// loses answers, takeovers, handovers and late effects of replaced owners, and
// checks order, history, budgets, at most one run, whole answers, not-run
// refusals and memory against the books of world.
func TestCoreInvariants(t *testing.T) { fuzz(t, checkCore) }

// TestBudgetInvariants draws little but turns, failures, lost appends and takeovers
// of two programs, so that budgets run out in most histories.
func TestBudgetInvariants(t *testing.T) { fuzz(t, checkBudgets) }

func fuzz(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	fuzzSteps = 0
	first := number(t, "FUZZ_SEED", 1)
	for seed := first; seed < first+number(t, "FUZZ_SEEDS", seeds); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			_ = flag.Set("rapid.seed", strconv.Itoa(seed))
			synctest.Test(t, func(t *testing.T) { rapid.Check(bubbled{t}, check) })
		})
	}
	t.Logf("%d steps", fuzzSteps)
}

func checkCore(t *rapid.T) {
	w := newWorld(t)
	w.start()
	t.Repeat(map[string]func(*rapid.T){
		"open":      w.stepOpen,
		"turn":      w.stepTurn,
		"turn2":     w.stepTurn,
		"call":      w.stepCall,
		"end":       w.stepEnd,
		"hangup":    w.stepHangUp,
		"commit":    w.stepCommit,
		"commit2":   w.stepCommit,
		"commit3":   w.stepCommit,
		"generate":  w.stepGenerate,
		"generate2": w.stepGenerate,
		"invoke":    w.stepInvoke,
		"zombie":    w.stepZombie,
		"release":   w.stepReleaseMemory,
		"draw":      w.stepDraw,
		"store":     w.stepStore,
		"time":      w.stepTime,
		"takeover":  w.stepTakeover,
		"handover":  w.stepHandover,
		"snapshot":  w.stepSnapshot,
		"":          func(*rapid.T) { fuzzSteps++ },
	})
	w.quiesce()
}

func checkBudgets(t *rapid.T) {
	w := newWorld(t)
	w.programLimit = 2
	w.budgetChoices = []int{150, 250, 400}
	w.tight = true
	w.businessBudget = 450
	w.start()
	t.Repeat(map[string]func(*rapid.T){
		"open":      w.stepOpen,
		"turn":      w.stepTurn,
		"turn2":     w.stepTurn,
		"turn3":     w.stepTurn,
		"hangup":    w.stepHangUp,
		"commit":    w.stepCommit,
		"commit2":   w.stepCommit,
		"commit3":   w.stepCommit,
		"generate":  w.stepGenerate,
		"generate2": w.stepGenerate,
		"generate3": w.stepGenerate,
		"draw":      w.stepDraw,
		"draw2":     w.stepDraw,
		"takeover":  w.stepTakeover,
		"snapshot":  w.stepSnapshot,
		"":          func(*rapid.T) { fuzzSteps++ },
	})
	w.quiesce()
}

func (w *world) request(command requester.Command) {
	w.serial++
	command.Request = fmt.Sprintf("r%d", w.serial)
	w.requests[command.Request] = &asked{command: command}
	w.order = append(w.order, command.Request)
	w.handle(decider.CommandReceived{Command: command, Deadline: time.Now().Add(time.Minute)})
}

func (w *world) stepOpen(t *rapid.T) {
	name := rapid.SampledFrom([]string{business, rival}).Draw(t, "business")
	id := fmt.Sprintf("p%d", rapid.IntRange(1, w.programLimit).Draw(t, "program"))
	open := &requester.Open{Program: id, Agent: "editor", Budget: rapid.SampledFrom(w.budgetChoices).Draw(t, "budget")}
	if rapid.Bool().Draw(t, "child") && len(w.programs) > 0 {
		open.Parent = rapid.SampledFrom(w.programs).Draw(t, "parent")
		open.Program = requester.NewChild(open.Parent, id)
		open.Budget = 0
	} else if _, ok := w.budgets[id]; !ok {
		w.budgets[id] = programBudget
		if open.Budget > 0 {
			w.budgets[id] = open.Budget
		}
	} else if open.Budget > 0 && open.Budget != w.budgets[id] {
		w.budgets[id] = max(open.Budget, w.budgets[id])
	}
	w.request(requester.Command{Business: name, Open: open})
}

func (w *world) stepTurn(t *rapid.T) {
	if len(w.programs) == 0 {
		t.Skip("no program")
	}
	program := rapid.SampledFrom(w.programs).Draw(t, "program")
	number := rapid.SampledFrom([]int{0, 0, 1, 1, 2}).Draw(t, "number")
	if w.tight {
		number = 0
	}
	if number > 0 {
		number += len(w.acked[program]) - 1
	}
	turn := &requester.Turn{
		Program: program, Number: max(number, 0), Input: rapid.SampledFrom([]string{"one", "two words"}).Draw(t, "input"),
		MaxTokens: rapid.SampledFrom([]int{0, 20}).Draw(t, "max"),
	}
	if rapid.Bool().Draw(t, "keyed") {
		turn.Key = fmt.Sprintf("k%d", rapid.IntRange(1, 4).Draw(t, "key"))
	}
	caller := w.owners[program]
	if rapid.IntRange(0, 9).Draw(t, "stranger") == 0 {
		caller = rival
	}
	w.request(requester.Command{Business: caller, Turn: turn})
}

func (w *world) stepCall(t *rapid.T) {
	key := fmt.Sprintf("c%d", rapid.IntRange(1, 5).Draw(t, "key"))
	service := rapid.SampledFrom([]string{"fees", "fees", "lookups"}).Draw(t, "service")
	body := key
	if service == "lookups" {
		// Calls that may be repeated are told apart by their bodies.
		body = fmt.Sprintf("%s of %d", key, w.serial)
	}
	w.request(requester.Command{Business: business, Call: &requester.Call{
		Service: service, Key: key, Method: "POST", Path: "/post", Body: []byte(body),
	}})
}

func (w *world) stepEnd(t *rapid.T) {
	if len(w.programs) == 0 {
		t.Skip("no program")
	}
	program := rapid.SampledFrom(w.programs).Draw(t, "program")
	if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
		w.request(requester.Command{Business: w.owners[program], End: &requester.End{Program: program}})
	}
}

func (w *world) stepHangUp(t *rapid.T) {
	open := w.waiting()
	if len(open) == 0 {
		t.Skip("nobody waits")
	}
	id := rapid.SampledFrom(open).Draw(t, "request")
	w.requests[id].orphaned = true
	w.handle(decider.RequestCanceled{Request: id})
}

func (w *world) waiting() []string {
	return slices.DeleteFunc(slices.Clone(w.order), func(id string) bool {
		return w.requests[id].answered || w.requests[id].orphaned
	})
}

func (w *world) stepCommit(t *rapid.T) {
	w.makeDurable(rapid.IntRange(1, 4).Draw(t, "appends"), rapid.IntRange(0, 4).Draw(t, "lost") > 0)
}

func (w *world) stepGenerate(t *rapid.T) {
	attempts := sortedKeys(w.flights)
	if len(attempts) == 0 {
		t.Skip("no attempt")
	}
	attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
	a := w.flights[attempt]
	delete(w.flights, attempt)
	generated := rapid.SampledFrom([]int{1, a.Request.MaxTokens, a.Request.MaxTokens}).Draw(t, "tokens")
	outcome := rapid.SampledFrom([]string{"Whole", "Whole", "Whole", "NotSent", "Failed", "Truncated", "Silent", "Accounted"}).Draw(t, "outcome")
	if outcome == "NotSent" {
		w.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.CauseNotSent})
		return
	}
	if w.canceled[attempt] {
		generated += rapid.IntRange(0, overshoot).Draw(t, "overshoot")
	}
	usage := w.consume(a, generated)
	text := w.answer(a, generated)
	switch outcome {
	case "Whole":
		w.handle(decider.GenerateCompleted{Attempt: attempt, Text: text, Usage: usage})
	case "Truncated":
		w.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.CauseTruncated, Offset: 0})
	case "Accounted":
		w.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.CauseFailed, Usage: &usage})
	default:
		w.handle(decider.GenerateFailed{Attempt: attempt, Cause: decider.Cause(outcome), Offset: generated})
	}
}

// run executes a call at its service and books it.
func (w *world) run(a decider.Invoke) {
	id := a.Call.Service + "/" + a.Call.Key
	w.runs[id]++
	if a.AtMostOnce && w.runs[id] > 1 {
		w.t.Fatalf("call %s ran %d times", id, w.runs[id])
	}
	live := false
	for _, request := range w.order {
		q := w.requests[request]
		if q.command.Call == nil || !cmp.Equal(*q.command.Call, a.Call) || q.notRun {
			continue
		}
		live = true
		q.executed = q.executed || !q.answered
	}
	if a.AtMostOnce && !live {
		w.t.Fatalf("call %s ran though every request for it was refused as not run", id)
	}
}

func (w *world) stepInvoke(t *rapid.T) {
	attempts := sortedKeys(w.invokes)
	if len(attempts) == 0 {
		t.Skip("no attempt")
	}
	attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
	a := w.invokes[attempt]
	delete(w.invokes, attempt)
	switch rapid.SampledFrom([]string{"Whole", "Whole", "Lost", "NotSent", "Unheard"}).Draw(t, "outcome") {
	case "Whole":
		w.run(a)
		w.handle(decider.InvokeCompleted{Attempt: attempt, Status: 200, Body: []byte("done " + a.Call.Key)})
	case "Lost":
		w.run(a)
		w.handle(decider.InvokeFailed{Attempt: attempt})
	case "NotSent":
		w.handle(decider.InvokeFailed{Attempt: attempt, NotSent: true})
	default:
		w.handle(decider.InvokeFailed{Attempt: attempt})
	}
}

// stepZombie runs a call that a replaced owner had dispatched before its pause.
func (w *world) stepZombie(t *rapid.T) {
	if len(w.zombies) == 0 {
		t.Skip("no replaced owner")
	}
	a := w.zombies[0]
	w.zombies = w.zombies[1:]
	w.run(a)
}

func (w *world) stepReleaseMemory(t *rapid.T) {
	if len(w.releases) == 0 {
		t.Skip("no release")
	}
	a := w.releases[0]
	w.releases = w.releases[1:]
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	delete(w.held[a.Endpoint], a.Program)
	w.handle(decider.MemoryReleased(a))
}

func (w *world) stepDraw(t *rapid.T) {
	if len(w.draws) == 0 {
		t.Skip("no draw")
	}
	d := w.draws[0]
	w.draws = w.draws[1:]
	tokens := min(drawTokens, d.Limit-w.drawn[d.Business])
	if rapid.IntRange(0, 4).Draw(t, "failed") == 0 {
		w.handle(decider.EscrowDrawn{Business: d.Business, Failed: true})
		return
	}
	w.drawn[d.Business] += tokens
	w.handle(decider.EscrowDrawn{Business: d.Business, Tokens: tokens})
}

func (w *world) stepStore(t *rapid.T) {
	w.handle(decider.StoreHealthChanged{Down: rapid.IntRange(0, 2).Draw(t, "down") == 0})
}

func (w *world) stepTime(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 20 * time.Second, 2 * time.Minute}).Draw(t, "time"))
	w.handle(decider.Tick{})
}

// stepTakeover replaces the owner: some of its appends have landed, what it had
// sent goes on, and its callers hear nothing.
func (w *world) stepTakeover(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no takeover")
	}
	w.makeDurable(rapid.IntRange(0, len(w.pending)).Draw(t, "landed"), false)
	for _, attempt := range sortedKeys(w.invokes) {
		w.zombies = append(w.zombies, w.invokes[attempt])
	}
	w.invokes = map[string]decider.Invoke{}
	for _, id := range w.waiting() {
		w.requests[id].orphaned = true
	}
	w.start()
}

// stepHandover releases all shards and starts a successor once they are gone.
func (w *world) stepHandover(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no handover")
	}
	for _, number := range usedShards {
		w.handle(decider.ShardReleaseRequested{Shard: number})
	}
	w.drain(false)
	for _, number := range usedShards {
		w.handle(decider.ShardRevoked{Shard: number})
	}
	w.drain(false)
	w.makeDurable(len(w.pending), true)
	if len(w.gone) != len(usedShards) || len(w.pending) > 0 {
		t.Fatalf("%d of %d shards were given up, %d appends are left", len(w.gone), len(usedShards), len(w.pending))
	}
	for _, attempt := range sortedKeys(w.invokes) {
		w.zombies = append(w.zombies, w.invokes[attempt])
	}
	w.invokes = map[string]decider.Invoke{}
	for _, id := range w.waiting() {
		w.requests[id].orphaned = true
	}
	w.start()
}

func (w *world) stepSnapshot(t *rapid.T) {
	w.makeDurable(len(w.pending), true)
	if len(w.pending) > 0 {
		t.Skip("appends followed the commits")
	}
	for _, number := range usedShards {
		body, _, ok := w.core.Snapshot(number)
		if !ok {
			continue
		}
		w.snapshots[number] = body
		w.journal[number] = []sharder.Entry(nil)
	}
}

// drain lets everything in flight end well; calls too if asked.
func (w *world) drain(calls bool) {
	w.makeDurable(len(w.pending), true)
	for len(w.pending)+len(w.flights)+len(w.draws) > 0 || (calls && len(w.invokes) > 0) {
		w.makeDurable(len(w.pending), true)
		for _, attempt := range sortedKeys(w.flights) {
			a := w.flights[attempt]
			delete(w.flights, attempt)
			generated := min(5, a.Request.MaxTokens)
			usage := w.consume(a, generated)
			w.handle(decider.GenerateCompleted{Attempt: attempt, Text: w.answer(a, generated), Usage: usage})
		}
		for _, d := range w.draws {
			tokens := min(drawTokens, d.Limit-w.drawn[d.Business])
			w.drawn[d.Business] += tokens
			w.draws = w.draws[1:]
			w.handle(decider.EscrowDrawn{Business: d.Business, Tokens: tokens})
		}
		if !calls {
			continue
		}
		for _, attempt := range sortedKeys(w.invokes) {
			a := w.invokes[attempt]
			delete(w.invokes, attempt)
			w.run(a)
			w.handle(decider.InvokeCompleted{Attempt: attempt, Status: 200, Body: []byte("done " + a.Call.Key)})
		}
	}
}

// quiesce ends everything and checks that nobody waits, nothing is lost and no
// engine holds memory for a program that has ended.
func (w *world) quiesce() {
	w.handle(decider.StoreHealthChanged{})
	w.drain(true)
	for _, program := range w.programs {
		w.request(requester.Command{Business: w.owners[program], End: &requester.End{Program: program}})
	}
	w.drain(true)
	time.Sleep(2 * time.Minute)
	w.handle(decider.Tick{})
	w.drain(true)
	if open := w.waiting(); len(open) > 0 {
		w.t.Fatalf("requests %v were never answered", open)
	}
	w.checkAcknowledged()
	for engine := range w.held {
		w.handle(decider.HoldingsReported{Endpoint: engine, Programs: sortedKeys(w.held[engine])})
	}
	for len(w.releases) > 0 {
		a := w.releases[0]
		w.releases = w.releases[1:]
		delete(w.held[a.Endpoint], a.Program)
		w.handle(decider.MemoryReleased(a))
	}
	for engine, programs := range w.held {
		if len(programs) > 0 {
			w.t.Fatalf("%s holds memory for ended programs %v", engine, sortedKeys(programs))
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
