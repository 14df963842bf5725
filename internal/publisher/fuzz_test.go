package publisher_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
)

// The seed is fixed and there are more defaultChecks than the library's default, unless
// the command line says otherwise.
const (
	fixedSeed     = "20260101"
	defaultChecks = "300"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", fixedSeed)
	setDefaultFlag("rapid.checks", defaultChecks)
	os.Exit(m.Run())
}

func setDefaultFlag(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}

const (
	instances = 3
	interval  = 2 * time.Second
	runTime   = 30 * time.Second
	// settleTime is enough for late writes to land and for all to poll again.
	settleTime = 20 * time.Second
)

// step is one thing that happens in a run.
type step struct {
	at       time.Duration
	kind     string
	instance int
	section  string
	variant  int
	delay    time.Duration
	faults   faults
}

func drawStep(t *rapid.T) step {
	millis := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	share := func(label string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.2, 0.5}).Draw(t, label) }
	return step{
		at:       millis("at", int(runTime/time.Millisecond)),
		kind:     rapid.SampledFrom([]string{"edit", "edit", "edit", "edit", "apply", "rollback", "restart", "outage", "faults"}).Draw(t, "kind"),
		instance: rapid.IntRange(0, instances-1).Draw(t, "instance"),
		section:  rapid.SampledFrom([]string{"Businesses", "Budgets", "Policy", "Operators"}).Draw(t, "section"),
		variant:  rapid.IntRange(0, 2).Draw(t, "variant"),
		delay:    millis("think", 3000),
		faults:   faults{lostAnswers: share("lost"), delayedWrites: share("late"), outageAfterWrite: share("cut"), staleReads: share("stale")},
	}
}

// textOf returns one text of a section that no other edit has. Variant 0 of
// Businesses and variant 1 of Budgets do not go together.
func textOf(section string, variant int, id string) string {
	body := map[string][]string{
		"Businesses": {"[]", "[{Name: b-1, Weight: 1}]", "[{Name: b-1, Weight: 2}]"},
		"Budgets":    {"[]", "[{Business: b-1, Tokens: 5}]", "[]"},
		"Policy":     {"{QueueLimit: 1}", "{QueueLimit: 2}", "{QueueLimit: 0}"},
		"Operators":  {"[]", "[]", "[]"},
	}
	return fmt.Sprintf("# %s\n%s: %s\n", id, section, body[section][variant])
}

// call is one request of an operator and its answer.
type call struct {
	id     string
	edits  []publisher.SectionEdit
	result publisher.Result
	err    error
}

// simulation is one run.
type simulation struct {
	store      *faultyStore
	publishers [instances]*publisher.Publisher
	mu         sync.Mutex
	calls      []call
	followers  [instances]*followerRun
	failures   []error
}

// followerRun is one life of an instance's follower.
type followerRun struct {
	*publisher.Follower
	stop     context.CancelFunc
	versions []int64
}

func (w *simulation) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Errorf(format, args...))
}

func (w *simulation) record(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
}

// simulatedPeers is an instance's way to the others.
type simulatedPeers struct {
	*simulation
	own int
}

func (p simulatedPeers) Instances() []string {
	var names []string
	for i := range instances {
		if i != p.own {
			names = append(names, fmt.Sprint(i))
		}
	}
	return names
}

func (p simulatedPeers) FetchDocument(_ context.Context, instance string) ([]byte, error) {
	var i int
	if _, err := fmt.Sscan(instance, &i); err != nil {
		return nil, err
	}
	p.mu.Lock()
	f := p.followers[i]
	p.mu.Unlock()
	if f == nil {
		return nil, errors.New("instance is down")
	}
	return f.Encode()
}

// start brings up an instance's follower and checks what Start promises.
func (w *simulation) start(ctx context.Context, i int) {
	ctx, cancel := context.WithCancel(ctx)
	f := &followerRun{stop: cancel}
	f.Follower = publisher.NewFollower(w.store, w.store, publisher.WithInterval(interval),
		publisher.WithPeer(simulatedPeers{w, i}), publisher.WithNotify(func(v *compiler.Version) {
			w.recordVersion(f, v.Number)
			w.announce(i, v.Number)
		}))
	known := w.highest(i)
	if err := f.Start(ctx); err != nil {
		return
	}
	if !f.Started() {
		w.fail("instance %d started without a document", i)
	}
	if f.Current().Number < known {
		w.fail("instance %d started with version %d although another one had %d", i, f.Current().Number, known)
	}
	w.mu.Lock()
	w.followers[i] = f
	w.mu.Unlock()
	f.Run(ctx)
}

func (w *simulation) recordVersion(f *followerRun, number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.versions = append(f.versions, number)
}

func (w *simulation) highest(except int) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var highest int64
	for i, f := range w.followers {
		if i != except && f != nil {
			highest = max(highest, f.Current().Number)
		}
	}
	return highest
}

// announce tells the other instances of a version.
func (w *simulation) announce(from int, number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, f := range w.followers {
		if i != from && f != nil {
			f.ObserveVersion(number, fmt.Sprint(from))
		}
	}
}

// accepted tells an instance's follower of a version that its publisher made.
func (w *simulation) accepted(i int, number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.followers[i]; f != nil {
		f.ObserveVersion(number, "")
	}
}

func (w *simulation) restart(ctx context.Context, i int) {
	w.mu.Lock()
	f := w.followers[i]
	w.followers[i] = nil
	w.mu.Unlock()
	if f == nil {
		return
	}
	f.stop()
	w.checkVersions(i, f)
	w.start(ctx, i)
}

func (w *simulation) checkVersions(i int, f *followerRun) {
	w.mu.Lock()
	versions := slices.Clone(f.versions)
	w.mu.Unlock()
	for n := 1; n < len(versions); n++ {
		if versions[n] <= versions[n-1] {
			w.fail("instance %d went from version %d to %d", i, versions[n-1], versions[n])
		}
	}
}

// head reads the newest version, as an operator does before an edit.
func (w *simulation) head(ctx context.Context, s step) (*publisher.Manifest, bool) {
	for range 10 {
		head, err := w.publishers[s.instance].Head(ctx)
		if err == nil {
			return head, true
		}
		time.Sleep(time.Second)
	}
	return nil, false
}

// submitChange is an operator's whole work on one change: read, think, send, and
// send again through another instance while the outcome is not known.
func (w *simulation) submitChange(ctx context.Context, number int, s step) {
	head, ok := w.head(ctx, s)
	if !ok {
		return
	}
	time.Sleep(s.delay)
	id := fmt.Sprintf("edit-%d", number)
	c := call{id: id}
	for round := range 3 {
		p := w.publishers[(s.instance+round)%instances]
		c.edits, c.result, c.err = w.send(ctx, p, id, head, s)
		w.record(c)
		kind := answerer.KindOf(c.err)
		if c.err == nil || kind != answerer.OutcomeUnknown && kind != answerer.StoreUnavailable {
			return
		}
		time.Sleep(time.Second)
	}
}

func (w *simulation) send(ctx context.Context, p *publisher.Publisher, id string, head *publisher.Manifest, s step) ([]publisher.SectionEdit, publisher.Result, error) {
	request := publisher.Request{Operator: "ann", EditID: id}
	edit := func(section string) publisher.SectionEdit {
		return publisher.SectionEdit{
			Section: section, BaseRevision: head.Section(section).Revision, Text: textOf(section, s.variant, id),
		}
	}
	switch s.kind {
	case "apply":
		unchanged := publisher.SectionEdit{
			Section: "Precedence", BaseRevision: head.Section("Precedence").Revision, Text: "Precedence: []\n",
		}
		edits := []publisher.SectionEdit{edit(s.section), unchanged}
		result, err := p.Apply(ctx, publisher.Apply{Request: request, Sections: edits})
		return edits[:1], result, err
	case "rollback":
		to := max(head.Version-int64(s.variant)-1, 0)
		result, err := p.Rollback(ctx, publisher.Rollback{Request: request, To: to, Base: head.Version})
		return nil, result, err
	default:
		e := edit(s.section)
		result, err := p.Edit(ctx, publisher.Edit{Request: request, SectionEdit: e})
		return []publisher.SectionEdit{e}, result, err
	}
}

func (w *simulation) perform(ctx context.Context, number int, s step) {
	time.Sleep(s.at)
	switch s.kind {
	case "restart":
		w.restart(ctx, s.instance)
	case "outage":
		w.store.set(s.faults, true)
		time.Sleep(2 * s.delay)
		w.store.set(s.faults, false)
	case "faults":
		w.store.set(s.faults, false)
	default:
		w.submitChange(ctx, number, s)
	}
}

// simulate plays the steps and returns everything that was wrong.
func simulate(seed uint64, steps []step) []error {
	w := &simulation{store: newMemory(seed)}
	ctx, cancel := context.WithCancel(context.Background())
	var followers, work sync.WaitGroup
	for i := range instances {
		w.publishers[i] = publisher.New(w.store, w.store, publisher.WithTimeout(4*time.Second),
			publisher.WithOnAccepted(func(version int64) { w.accepted(i, version) }))
		followers.Go(func() { w.start(ctx, i) })
	}
	for number, s := range steps {
		if s.kind == "restart" {
			followers.Go(func() { w.perform(ctx, number, s) })
			continue
		}
		work.Go(func() { w.perform(ctx, number, s) })
	}
	work.Wait()
	time.Sleep(runTime)
	w.store.set(faults{}, false)
	time.Sleep(settleTime)
	w.check(ctx)
	cancel()
	followers.Wait()
	return w.failures
}

func TestFuzzPublishing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 24).Draw(rt, "steps")
		var faults []error
		synctest.Test(t, func(*testing.T) { faults = simulate(seed, steps) })
		if len(faults) > 0 {
			rt.Fatalf("%v", errors.Join(faults...))
		}
	})
}
