package assembler_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/fakeengine"
	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

// fleetSeeds is how many seeds a run of the test tries, from FUZZ_SEED on.
const fleetSeeds = 4

// TestMain fixes how much rapid draws; FUZZ_SEED and FUZZ_SEEDS ask for more.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.checks", "1")
	_ = flag.Set("rapid.steps", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "1s")
	os.Exit(m.Run())
}

func variable(t *testing.T, name string, otherwise int) int {
	t.Helper()
	value := os.Getenv(name)
	if value == "" {
		return otherwise
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// bubbled hides the test's deadline, which may not be asked for in a bubble.
type bubbled struct{ rapid.TB }

// TestFleetKeepsItsPromises draws callers, kills, planned stops, cuts, silent
// connections, outages, lost answers and failing endpoints, and checks that
// what was acknowledged lasts, that postings run once, that nothing refused as
// not run was run, that budgets hold and that engines hold no memory in the end.
func TestFleetKeepsItsPromises(t *testing.T) {
	first := variable(t, "FUZZ_SEED", 1)
	for seed := first; seed < first+variable(t, "FUZZ_SEEDS", fleetSeeds); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			_ = flag.Set("rapid.seed", strconv.Itoa(seed))
			synctest.Test(t, func(t *testing.T) {
				rapid.Check(bubbled{t}, func(rt *rapid.T) { checkFleet(t, rt) })
			})
		})
	}
	t.Logf("%d steps", fleetSteps)
}

// fleetSteps counts what was drawn in all seeds.
var fleetSteps int

func checkFleet(t *testing.T, rt *rapid.T) {
	w := &world{fleet: newFleet(t, logWriter()), t: rt, sessions: map[string]*session{}, postings: map[string]*posting{}}
	defer w.fleet.close()
	time.Sleep(10 * time.Second)
	rt.Repeat(map[string]func(*rapid.T){
		"open":    w.stepOpen,
		"turn":    w.stepTurn,
		"turn2":   w.stepTurn,
		"turn3":   w.stepTurn,
		"post":    w.stepPost,
		"post2":   w.stepPost,
		"time":    w.stepTime,
		"kill":    w.stepKill,
		"drain":   w.stepDrain,
		"cut":     w.stepCut,
		"heal":    func(*rapid.T) { w.fleet.fabric.heal() },
		"silence": func(*rapid.T) { w.fleet.fabric.silenceAll() },
		"store":   w.stepStore,
		"engine":  w.stepEngine,
		"service": w.stepService,
		"": func(*rapid.T) {
			fleetSteps++
			w.report()
		},
	})
	w.settle()
}

// session is one program and what its caller knows of it.
type session struct {
	mu    sync.Mutex
	id    string
	acked map[int]string
	taken map[int]string
	busy  bool
}

// posting is one key and what its callers know of it.
type posting struct {
	mu   sync.Mutex
	done bool
}

// world drives a fleet and keeps the books of its callers.
type world struct {
	fleet    *fleet
	t        *rapid.T
	work     sync.WaitGroup
	serial   int
	sessions map[string]*session
	postings map[string]*posting

	mu     sync.Mutex
	faults []string
}

// fail notes a broken promise; it may be called from any goroutine.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) > 0 {
		w.t.Fatalf("%s", strings.Join(w.faults, "\n"))
	}
}

func (w *world) alive() []int {
	var alive []int
	for n, m := range w.fleet.running {
		if m != nil {
			alive = append(alive, n)
		}
	}
	return alive
}

func (w *world) client(t *rapid.T) *caller.Client {
	return w.fleet.client(rapid.SampledFrom(w.alive()).Draw(t, "entry"))
}

func (w *world) stepOpen(t *rapid.T) {
	w.serial++
	key := fmt.Sprintf("session-%d", w.serial)
	client := w.client(t)
	s := &session{acked: map[int]string{}, taken: map[int]string{}}
	w.sessions[key] = s
	w.work.Go(func() {
		p, err := client.Open(context.Background(), "lyric-editor", caller.WithOpenKey(key))
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.id = p.ID()
	})
}

func (w *world) openSessions() []string {
	var keys []string
	for key, s := range w.sessions {
		s.mu.Lock()
		if s.id != "" && !s.busy {
			keys = append(keys, key)
		}
		s.mu.Unlock()
	}
	slices.Sort(keys)
	return keys
}

// stepTurn takes the session's next turn, or its last one again.
func (w *world) stepTurn(t *rapid.T) {
	synctest.Wait()
	keys := w.openSessions()
	if len(keys) == 0 {
		t.Skip("no session")
	}
	s := w.sessions[rapid.SampledFrom(keys).Draw(t, "session")]
	client := w.client(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.acked) + 1
	if number > 1 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		number--
	}
	input := fmt.Sprintf("line %d please", number)
	if known, ok := s.taken[number]; ok {
		input = known
	}
	s.taken[number] = input
	s.busy = true
	w.work.Go(func() { w.take(client, s, number, input) })
}

func (w *world) take(client *caller.Client, s *session, number int, input string) {
	answer, err := client.Program(s.id).Ask(context.Background(), input, caller.WithNumber(number))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	if err != nil {
		var refusal *caller.Error
		if errors.As(err, &refusal) && (refusal.Kind == "TurnGap" || refusal.Kind == "TurnConflict" || refusal.Kind == "NotFound") {
			w.fail("turn %d of %s was acknowledged up to %d and is refused: %v", number, s.id, len(s.acked), err)
		}
		return
	}
	if answer.Number != number || answer.Program != s.id {
		w.fail("turn %d of %s was answered with turn %d of %s", number, s.id, answer.Number, answer.Program)
	}
	if known, ok := s.acked[number]; ok && known != answer.Text {
		w.fail("turn %d of %s has two answers: %q and %q", number, s.id, known, answer.Text)
	}
	s.acked[number] = answer.Text
}

func (w *world) stepPost(t *rapid.T) {
	key := fmt.Sprintf("fee-%d", rapid.IntRange(1, 8).Draw(t, "key"))
	if w.postings[key] == nil {
		w.postings[key] = &posting{}
	}
	p, client := w.postings[key], w.client(t)
	w.work.Go(func() {
		result, err := client.Call(context.Background(), "fee-posting", http.MethodPost, "/postings",
			caller.WithCallKey(key), caller.WithBody("application/json", []byte(`{"Key":"`+key+`"}`)))
		p.mu.Lock()
		defer p.mu.Unlock()
		p.done = p.done || (err == nil && result.Status == http.StatusOK)
	})
}

func (w *world) stepTime(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, 15 * time.Second}).Draw(t, "time"))
}

func (w *world) stepKill(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no kill")
	}
	n := rapid.SampledFrom(w.alive()).Draw(t, "instance")
	w.fleet.kill(n)
	w.fleet.start(n)
}

func (w *world) stepDrain(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no planned stop")
	}
	n := rapid.SampledFrom(w.alive()).Draw(t, "instance")
	w.fleet.drain(n)
	w.fleet.start(n)
}

func (w *world) stepCut(t *rapid.T) {
	hosts := []string{instanceName(0), instanceName(1), instanceName(2), "platform", "engine-0", "engine-1", "fees"}
	a := rapid.IntRange(0, fleetSize-1).Draw(t, "from")
	b := rapid.IntRange(0, len(hosts)-1).Draw(t, "to")
	if a != b {
		w.fleet.fabric.cut(hosts[a], hosts[b])
	}
}

func (w *world) stepStore(t *rapid.T) {
	w.fleet.platform.SetFaults(rapid.SampledFrom([]storer.Faults{
		{}, {}, {Outage: true}, {Silent: true}, {LoseAnswers: 0.3}, {Delay: 300 * time.Millisecond},
	}).Draw(t, "faults"))
}

func (w *world) stepEngine(t *rapid.T) {
	engine := rapid.SampledFrom(w.fleet.engines).Draw(t, "engine")
	engine.SetFaults(rapid.SampledFrom([]fakeengine.Faults{
		{}, {CutAfter: 3, Times: 2}, {Drop: true, Times: 2}, {Silent: true, Times: 1}, {Cross: true, Times: 1}, {Slow: 5},
	}).Draw(t, "faults"))
}

func (w *world) stepService(t *rapid.T) {
	w.fleet.service.SetFaults(rapid.SampledFrom([]fakeservice.Faults{
		{}, {CloseBefore: true, Times: 1}, {CloseAfter: true, Times: 1}, {HangAfter: true, Times: 1}, {Refuse: true, Times: 1},
	}).Draw(t, "faults"))
}

// settle ends all faults, waits for all callers and checks the books.
func (w *world) settle() {
	w.fleet.fabric.heal()
	w.fleet.platform.SetFaults(storer.Faults{})
	for _, engine := range w.fleet.engines {
		engine.SetFaults(fakeengine.Faults{})
	}
	w.fleet.service.SetFaults(fakeservice.Faults{})
	w.work.Wait()
	time.Sleep(time.Minute)
	w.report()
	w.checkPostings()
	for _, s := range w.sessions {
		w.checkSession(s)
	}
	time.Sleep(2 * time.Minute)
	for n, engine := range w.fleet.engines {
		if held := engine.Holdings().Holdings; len(held) > 0 {
			w.t.Fatalf("engine %d holds memory for ended programs: %v", n, held)
		}
	}
}

func (w *world) checkPostings() {
	runs := map[string]int{}
	for _, execution := range w.fleet.service.Counts().Executions {
		runs[execution.Key] += execution.Count
	}
	for key, p := range w.postings {
		if runs[key] > 1 {
			w.t.Fatalf("posting %s ran %d times", key, runs[key])
		}
		if p.done && runs[key] == 0 {
			w.t.Fatalf("posting %s was acknowledged and never ran", key)
		}
	}
}

func (w *world) checkSession(s *session) {
	if s.id == "" {
		return
	}
	p := w.fleet.client(-1).Program(s.id)
	history, err := p.History(context.Background(), 0)
	if err != nil {
		w.t.Fatalf("the history of %s: %v", s.id, err)
	}
	for number, text := range s.acked {
		if number > len(history.Turns) || history.Turns[number-1].Text != text {
			w.t.Fatalf("turn %d of %s is lost or changed; the history has %d turns", number, s.id, len(history.Turns))
		}
	}
	for i, turn := range history.Turns {
		if turn.Number != i+1 || turn.Input != s.taken[turn.Number] {
			w.t.Fatalf("turn %d of %s is %+v", i+1, s.id, turn)
		}
	}
	if _, err := p.End(context.Background()); err != nil {
		w.t.Fatalf("the end of %s: %v", s.id, err)
	}
}
