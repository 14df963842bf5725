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

// defaultSeedCount is the number of seeds, starting at FUZZ_SEED, unless FUZZ_SEEDS is set.
const defaultSeedCount = 4

// TestMain fixes the number of steps that rapid draws for a seed.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.checks", "1")
	_ = flag.Set("rapid.steps", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "1s")
	os.Exit(m.Run())
}

func intFromEnv(t *testing.T, name string, fallback int) int {
	t.Helper()
	value := os.Getenv(name)
	if value == "" {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// bubbleTB hides the Deadline method of testing.T, which panics in a synctest bubble.
type bubbleTB struct{ rapid.TB }

// TestFleetInvariants draws requests, kills, graceful shutdowns, partitions, connections
// that drop data, store outages, lost replies and endpoint failures. It checks that
// acknowledged turns stay in the history with the input and the text that the caller
// saw, that a keyed call is executed at most once, and once if acknowledged, and that
// engines hold no cache for ended programs.
func TestFleetInvariants(t *testing.T) {
	first := intFromEnv(t, "FUZZ_SEED", 1)
	for seed := first; seed < first+intFromEnv(t, "FUZZ_SEEDS", defaultSeedCount); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			_ = flag.Set("rapid.seed", strconv.Itoa(seed))
			synctest.Test(t, func(t *testing.T) {
				rapid.Check(bubbleTB{t}, func(rt *rapid.T) { checkFleet(t, rt) })
			})
		})
	}
	t.Logf("%d steps", drawnSteps)
}

// drawnSteps counts the steps drawn over all seeds; hack/fuzz.sh reads the log line.
var drawnSteps int

func checkFleet(t *testing.T, rt *rapid.T) {
	w := &workload{fleet: newFleet(t, logWriter()), t: rt, sessions: map[string]*session{}, calls: map[string]*keyedCall{}}
	defer w.fleet.close()
	time.Sleep(10 * time.Second)
	rt.Repeat(map[string]func(*rapid.T){
		"open":    w.stepOpen,
		"turn":    w.stepTurn,
		"turn2":   w.stepTurn,
		"turn3":   w.stepTurn,
		"post":    w.stepCall,
		"post2":   w.stepCall,
		"time":    w.stepSleep,
		"kill":    w.stepKill,
		"drain":   w.stepDrain,
		"cut":     w.stepPartition,
		"heal":    func(*rapid.T) { w.fleet.network.heal() },
		"silence": func(*rapid.T) { w.fleet.network.dropDataOnOpenConns() },
		"store":   w.stepStoreFaults,
		"engine":  w.stepEngineFaults,
		"service": w.stepServiceFaults,
		"": func(*rapid.T) {
			drawnSteps++
			w.failOnViolations()
		},
	})
	w.verify()
}

// session is a program with the inputs sent and the answers received so far, by turn
// number. busy is set while a turn is in flight.
type session struct {
	mu      sync.Mutex
	id      string
	answers map[int]string
	inputs  map[int]string
	busy    bool
}

// keyedCall records whether any call with one key was acknowledged.
type keyedCall struct {
	mu           sync.Mutex
	acknowledged bool
}

// workload sends requests to a fleet and records what the callers observe.
type workload struct {
	fleet        *fleet
	t            *rapid.T
	work         sync.WaitGroup
	sessionCount int
	sessions     map[string]*session
	calls        map[string]*keyedCall

	mu         sync.Mutex
	violations []string
}

// addViolation records a violated invariant. It is safe for concurrent use.
func (w *workload) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *workload) failOnViolations() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) > 0 {
		w.t.Fatalf("%s", strings.Join(w.violations, "\n"))
	}
}

func (w *workload) runningInstances() []int {
	var running []int
	for n, in := range w.fleet.instances {
		if in != nil {
			running = append(running, n)
		}
	}
	return running
}

func (w *workload) client(t *rapid.T) *caller.Client {
	return w.fleet.client(rapid.SampledFrom(w.runningInstances()).Draw(t, "entry"))
}

func (w *workload) stepOpen(t *rapid.T) {
	w.sessionCount++
	key := fmt.Sprintf("session-%d", w.sessionCount)
	client := w.client(t)
	s := &session{answers: map[int]string{}, inputs: map[int]string{}}
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

func (w *workload) idleSessions() []string {
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

// stepTurn sends the next turn of a session, or repeats its last one.
func (w *workload) stepTurn(t *rapid.T) {
	synctest.Wait()
	keys := w.idleSessions()
	if len(keys) == 0 {
		t.Skip("no session")
	}
	s := w.sessions[rapid.SampledFrom(keys).Draw(t, "session")]
	client := w.client(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.answers) + 1
	if number > 1 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		number--
	}
	input := fmt.Sprintf("line %d please", number)
	if previous, ok := s.inputs[number]; ok {
		input = previous
	}
	s.inputs[number] = input
	s.busy = true
	w.work.Go(func() { w.runTurn(client, s, number, input) })
}

func (w *workload) runTurn(client *caller.Client, s *session, number int, input string) {
	answer, err := client.Program(s.id).Ask(context.Background(), input, caller.WithNumber(number))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	if err != nil {
		var refusal *caller.Error
		if errors.As(err, &refusal) && (refusal.Kind == "TurnGap" || refusal.Kind == "TurnConflict" || refusal.Kind == "NotFound") {
			w.addViolation("turn %d of %s is refused although turns up to %d were acknowledged: %v", number, s.id, len(s.answers), err)
		}
		return
	}
	if answer.Number != number || answer.Program != s.id {
		w.addViolation("turn %d of %s: got the answer to turn %d of %s", number, s.id, answer.Number, answer.Program)
	}
	if previous, ok := s.answers[number]; ok && previous != answer.Text {
		w.addViolation("turn %d of %s was answered twice with different texts: %q and %q", number, s.id, previous, answer.Text)
	}
	s.answers[number] = answer.Text
}

func (w *workload) stepCall(t *rapid.T) {
	key := fmt.Sprintf("fee-%d", rapid.IntRange(1, 8).Draw(t, "key"))
	if w.calls[key] == nil {
		w.calls[key] = &keyedCall{}
	}
	p, client := w.calls[key], w.client(t)
	w.work.Go(func() {
		result, err := client.Call(context.Background(), "fee-posting", http.MethodPost, "/postings",
			caller.WithCallKey(key), caller.WithBody("application/json", []byte(`{"Key":"`+key+`"}`)))
		p.mu.Lock()
		defer p.mu.Unlock()
		p.acknowledged = p.acknowledged || (err == nil && result.Status == http.StatusOK)
	})
}

func (w *workload) stepSleep(t *rapid.T) {
	time.Sleep(rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, 15 * time.Second}).Draw(t, "time"))
}

func (w *workload) stepKill(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no kill")
	}
	n := rapid.SampledFrom(w.runningInstances()).Draw(t, "instance")
	w.fleet.kill(n)
	w.fleet.start(n)
}

func (w *workload) stepDrain(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("no drain")
	}
	n := rapid.SampledFrom(w.runningInstances()).Draw(t, "instance")
	w.fleet.drain(n)
	w.fleet.start(n)
}

func (w *workload) stepPartition(t *rapid.T) {
	hosts := []string{instanceName(0), instanceName(1), instanceName(2), "platform", "engine-0", "engine-1", "fees"}
	a := rapid.IntRange(0, fleetSize-1).Draw(t, "from")
	b := rapid.IntRange(0, len(hosts)-1).Draw(t, "to")
	if a != b {
		w.fleet.network.partition(hosts[a], hosts[b])
	}
}

func (w *workload) stepStoreFaults(t *rapid.T) {
	w.fleet.platform.SetFaults(rapid.SampledFrom([]storer.Faults{
		{}, {}, {Outage: true}, {Silent: true}, {LoseAnswers: 0.3}, {Delay: 300 * time.Millisecond},
	}).Draw(t, "faults"))
}

func (w *workload) stepEngineFaults(t *rapid.T) {
	engine := rapid.SampledFrom(w.fleet.engines).Draw(t, "engine")
	engine.SetFaults(rapid.SampledFrom([]fakeengine.Faults{
		{}, {CutAfter: 3, Times: 2}, {Drop: true, Times: 2}, {Silent: true, Times: 1}, {Cross: true, Times: 1}, {Slow: 5},
	}).Draw(t, "faults"))
}

func (w *workload) stepServiceFaults(t *rapid.T) {
	w.fleet.service.SetFaults(rapid.SampledFrom([]fakeservice.Faults{
		{}, {CloseBefore: true, Times: 1}, {CloseAfter: true, Times: 1}, {HangAfter: true, Times: 1}, {Refuse: true, Times: 1},
	}).Draw(t, "faults"))
}

// verify removes all faults, waits for all callers and checks the invariants.
func (w *workload) verify() {
	w.fleet.network.heal()
	w.fleet.platform.SetFaults(storer.Faults{})
	for _, engine := range w.fleet.engines {
		engine.SetFaults(fakeengine.Faults{})
	}
	w.fleet.service.SetFaults(fakeservice.Faults{})
	w.work.Wait()
	time.Sleep(time.Minute)
	w.failOnViolations()
	w.checkCalls()
	for _, s := range w.sessions {
		w.checkSession(s)
	}
	time.Sleep(2 * time.Minute)
	for n, engine := range w.fleet.engines {
		if held := engine.Holdings().Holdings; len(held) > 0 {
			w.t.Fatalf("engine %d holds cache for ended programs: %v", n, held)
		}
	}
}

func (w *workload) checkCalls() {
	runs := map[string]int{}
	for _, execution := range w.fleet.service.Counts().Executions {
		runs[execution.Key] += execution.Count
	}
	for key, p := range w.calls {
		if runs[key] > 1 {
			w.t.Fatalf("call %s was executed %d times", key, runs[key])
		}
		if p.acknowledged && runs[key] == 0 {
			w.t.Fatalf("call %s was acknowledged but not executed", key)
		}
	}
}

func (w *workload) checkSession(s *session) {
	if s.id == "" {
		return
	}
	p := w.fleet.client(-1).Program(s.id)
	history, err := p.History(context.Background(), 0)
	if err != nil {
		w.t.Fatalf("read history of %s: %v", s.id, err)
	}
	for number, text := range s.answers {
		if number > len(history.Turns) || history.Turns[number-1].Text != text {
			w.t.Fatalf("acknowledged turn %d of %s is missing or changed; the history has %d turns", number, s.id, len(history.Turns))
		}
	}
	for i, turn := range history.Turns {
		if turn.Number != i+1 || turn.Input != s.inputs[turn.Number] {
			w.t.Fatalf("turn %d in the history of %s has the wrong number or input: %+v", i+1, s.id, turn)
		}
	}
	if _, err := p.End(context.Background()); err != nil {
		w.t.Fatalf("end %s: %v", s.id, err)
	}
}
