package composer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	// poison is the text in the bodies of requests that crash endpoints.
	poison = "poison"
	// crashSettle is the users' stable window: how long after the third crash a request
	// may still reach endpoints, and maxPoisonRetries how often after it.
	crashSettle      = 3 * time.Second
	maxPoisonRetries = 3
	// downTime is how long an endpoint is down after a crash.
	downTime = 600 * time.Millisecond
)

// mortal is an endpoint that crashes under poison and starts again as another process with
// a new ID.
type mortal struct {
	*fleet
	name, service string
	events        int
	ledger        *poisonLedger

	mu         sync.Mutex
	generation int
}

// poisonLedger records when poisonous requests reached endpoints, and when these crashed,
// by the request's path.
type poisonLedger struct {
	mu     sync.Mutex
	sends  map[string][]time.Time
	ends   map[string][]time.Time
	active map[string]map[string]bool
}

func newPoisonLedger() *poisonLedger {
	return &poisonLedger{sends: map[string][]time.Time{}, ends: map[string][]time.Time{}, active: map[string]map[string]bool{}}
}

// retries returns the number of the request's sends that began later than crashSettle after
// its third crash, and the number of its crashes.
func (l *poisonLedger) retries(path string) (late, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := l.ends[path]
	if len(ends) < 3 {
		return 0, len(ends)
	}
	for _, at := range l.sends[path] {
		if at.After(ends[2].Add(crashSettle)) {
			late++
		}
	}
	return late, len(ends)
}

// observe returns a handler that records poisonous requests and passes all on to the
// endpoint with the ID.
func (l *poisonLedger) observe(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, poison) {
			l.mu.Lock()
			l.sends[r.URL.Path] = append(l.sends[r.URL.Path], time.Now())
			if l.active[id] == nil {
				l.active[id] = map[string]bool{}
			}
			l.active[id][r.URL.Path] = true
			l.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

func (l *poisonLedger) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for path := range l.active[id] {
		l.ends[path] = append(l.ends[path], time.Now())
	}
	delete(l.active, id)
}

// start starts a process of the endpoint and registers it.
func (m *mortal) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	e := standin.NewEndpoint(fmt.Sprintf("%s-%d", m.name, m.generation), m.events, 15*time.Millisecond, uint64(m.generation))
	server := httptest.NewServer(m.ledger.observe(e.ID, e))
	var once sync.Once
	e.Poison, e.Crash = poison, func() {
		once.Do(func() {
			_ = server.Listener.Close() // The process is gone.
			m.ledger.end(e.ID)
			go server.CloseClientConnections()
			time.AfterFunc(downTime/2, func() { standin.Unregister(m.rows, e.ID) })
			time.AfterFunc(downTime, m.start)
		})
	}
	err := standin.Register(m.rows, standin.Registration{
		ID: e.ID, Service: m.service, Address: netip.MustParseAddrPort(server.Listener.Addr().String()), DataCentre: "dc-1", Slots: e.Slots,
	})
	if err != nil {
		m.t.Error(err)
	}
}

// newMortalFleet returns a fleet whose endpoints crash under poison.
func newMortalFleet(t *testing.T, instances, engines, services int) (*fleet, *poisonLedger) {
	t.Helper()
	f, ledger := newFleet(t, instances, 0, 0), newPoisonLedger()
	for i := range engines {
		(&mortal{fleet: f, name: fmt.Sprintf("engine-%d", i), service: standin.ServiceEngine, events: 5, ledger: ledger}).start()
	}
	for i := range services {
		(&mortal{fleet: f, name: fmt.Sprintf("service-%d", i), service: standin.ServicePlain, ledger: ledger}).start()
	}
	<-time.After(1500 * time.Millisecond) // The instances have discovered each other.
	return f, ledger
}

// poisonCalls returns calls that crash endpoints: a retained turn, a resumable stream and a
// plain call, which come in many programs and are always the same, and a stream whose body
// begins with what its program said before.
func poisonCalls(id, program string) []standin.Call {
	turn := turnCall(id+"-turn", program, "", poison)
	turn.Path = standin.PathRetained + poison
	session := sessionCall(id+"-session", program)
	session.Path, session.Body = standin.PathSession+poison, poison
	forms := sessionCall(id+"-forms", program)
	forms.Path, forms.Body = standin.PathSession+poison+"-forms", "said before in "+id+", "+poison
	return []standin.Call{turn, session, forms, {ID: id + "-call", Path: standin.PathLookup + poison, Body: poison}}
}

// soundCalls returns calls that run beside them: turns and calls of their own, and a call
// that is the same for all callers.
func soundCalls(id, program string) []standin.Call {
	session := sessionCall(id+"-session", program)
	session.Body = "in " + id
	return []standin.Call{
		turnCall(id+"-turn", program, "", "in "+id+"\n"), session,
		{ID: id + "-call", Path: standin.PathLookup + id},
		{ID: id + "-popular", Path: standin.PathLookup + "popular"},
	}
}

// runPoison sends poison and sound calls to all instances until the time, and reports sound
// calls that were refused as if they crashed endpoints.
func (f *fleet) runPoison(until time.Time, instance func(i int) *instance) (served, failed int) {
	var mu sync.Mutex
	var work sync.WaitGroup
	send := func(worker int, pause time.Duration, calls func(id, program string) []standin.Call, isSound bool) {
		work.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("%d-%d", worker, i)
				all := calls(id, "p"+id)
				runConcurrently(len(all), func(n int) {
					reply := f.do(instance(worker+i+n), all[n])
					if !isSound {
						return
					}
					if strings.HasPrefix(reply.Body, "Quarantined") {
						f.t.Errorf("sound request %s was refused: %s", all[n].ID, reply.Body)
					}
					mu.Lock()
					defer mu.Unlock()
					if reply.Status == http.StatusOK && reply.IsComplete {
						served++
					} else {
						failed++
					}
				})
				<-time.After(pause)
			}
		})
	}
	for worker := range 3 {
		send(worker, 250*time.Millisecond, poisonCalls, false)
	}
	for worker := range 4 {
		send(10+worker, 60*time.Millisecond, soundCalls, true)
	}
	work.Wait()
	return served, failed
}

func (l *poisonLedger) check(t *testing.T) {
	t.Helper()
	for _, c := range poisonCalls("", "") {
		late, crashes := l.retries(c.Path)
		t.Logf("%s: %d crashes, %d sends later than %v after the third", c.Path, crashes, late, crashSettle)
		if late > maxPoisonRetries {
			t.Errorf("%s reached endpoints %d times later than %v after its third crash, want %d at most", c.Path, late, crashSettle, maxPoisonRetries)
		}
	}
}

// A request that crashes each endpoint that runs it came again with other programs, at other
// instances and in retries, and crashed one endpoint after another.
func TestRequestThatCrashesEndpointsIsKeptFromOthers(t *testing.T) {
	// Not parallel: its load would delay the tests that measure times.
	f, ledger := newMortalFleet(t, 4, 6, 5)
	served, failed := f.runPoison(time.Now().Add(8*time.Second), func(i int) *instance { return f.instances[i%len(f.instances)] })
	t.Logf("sound calls: %d served, %d not", served, failed)
	ledger.check(t)
}

// What was learned of such a request was lost with a restart, or while the store was away.
func TestRequestThatCrashesEndpointsIsKeptFromOthersBesideARestartAndAnOutage(t *testing.T) {
	f, ledger := newMortalFleet(t, 4, 6, 5)
	var mu sync.Mutex
	instances := f.instances
	restart := time.AfterFunc(4*time.Second, func() {
		old := f.instances[0]
		f.stop(old)
		again := f.launch(old.settings)
		f.awaitReady(again)
		mu.Lock()
		defer mu.Unlock()
		instances = append([]*instance{again}, f.instances[1:]...)
	})
	defer restart.Stop()
	outage := time.AfterFunc(2*time.Second, func() { f.rows.SetFaults(fakeplatform.RowFaults{Outage: true}) })
	defer outage.Stop()
	recovery := time.AfterFunc(3*time.Second, func() { f.rows.SetFaults(fakeplatform.RowFaults{}) })
	defer recovery.Stop()
	served, failed := f.runPoison(time.Now().Add(9*time.Second), func(i int) *instance {
		mu.Lock()
		defer mu.Unlock()
		return instances[i%len(instances)]
	})
	t.Logf("sound calls: %d served, %d not", served, failed)
	ledger.check(t)
}

// A call that crashes endpoints came again at instances that get calls and no turns: each of them sent it
// once, as verdicts came with the calls of turns alone (BUDGET, play "poison" of review/).
func TestCallThatCrashesEndpointsIsKeptFromOthersWithoutTurns(t *testing.T) {
	t.Parallel()
	const instances, pause = 10, 800 * time.Millisecond
	f, ledger := newMortalFleet(t, instances, 0, 5)
	path := standin.PathLookup + poison
	for i, in := range f.instances {
		f.do(in, standin.Call{ID: fmt.Sprint("call-", i), Path: path, Body: poison})
		<-time.After(pause)
	}
	late, crashes := ledger.retries(path)
	if crashes < 3 || late > maxPoisonRetries {
		t.Errorf("%d crashes, %d sends later than %v after the third, want %d at most", crashes, late, crashSettle, maxPoisonRetries)
	}
}
