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

// Defaults of rapid's flags: a fixed seed, and more checks than the library's 100.
// Flags on the command line take precedence.
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
	// settleTime is enough for delayed writes to take effect and for every follower
	// to poll again.
	settleTime = 20 * time.Second
)

// step is one action of a simulation: a change by an operator, a restart or a
// fault of the store.
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
		delay:    millis("delay", 3000),
		faults:   faults{lostAnswers: share("lost"), delayedWrites: share("late"), outageAfterWrite: share("cut"), staleReads: share("stale")},
	}
}

// textOf returns a section text that is unique to the edit. Variant 0 of Businesses
// and variant 1 of Budgets do not compile together, as the budget refers to a
// missing business.
func textOf(section string, variant int, id string) string {
	body := map[string][]string{
		"Businesses": {"[]", "[{Name: b-1, Weight: 1}]", "[{Name: b-1, Weight: 2}]"},
		"Budgets":    {"[]", "[{Business: b-1, Tokens: 5}]", "[]"},
		"Policy":     {"{QueueLimit: 1}", "{QueueLimit: 2}", "{QueueLimit: 0}"},
		"Operators":  {"[]", "[]", "[]"},
	}
	return fmt.Sprintf("# %s\n%s: %s\n", id, section, body[section][variant])
}

// call is one request by an operator and its result.
type call struct {
	id     string
	edits  []publisher.SectionEdit
	result publisher.Result
	err    error
}

// simulation runs publishers and followers of several instances against one faulty
// store.
type simulation struct {
	store      *faultyStore
	publishers [instances]*publisher.Publisher
	mu         sync.Mutex
	calls      []call
	followers  [instances]*followerRun
	failures   []error
}

// followerRun is an instance's follower from one start to the next restart.
type followerRun struct {
	*publisher.Follower
	stop     context.CancelFunc
	versions []int64
}

func (sim *simulation) fail(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.failures = append(sim.failures, fmt.Errorf(format, args...))
}

func (sim *simulation) record(c call) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.calls = append(sim.calls, c)
}

// simulatedPeers is the publisher.Peer of one instance.
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
		return nil, errors.New("instance is not running")
	}
	return f.Encode()
}

// start runs an instance's follower. It checks that Start returns only with a
// version at least as new as those of the other instances.
func (sim *simulation) start(ctx context.Context, i int) {
	ctx, cancel := context.WithCancel(ctx)
	f := &followerRun{stop: cancel}
	f.Follower = publisher.NewFollower(sim.store, sim.store, publisher.WithInterval(interval),
		publisher.WithPeer(simulatedPeers{sim, i}), publisher.WithNotify(func(v *compiler.Version) {
			sim.recordVersion(f, v.Number)
			sim.announce(i, v.Number)
		}))
	known := sim.highest(i)
	if err := f.Start(ctx); err != nil {
		return
	}
	if !f.Started() {
		sim.fail("instance %d started without a document", i)
	}
	if f.Current().Number < known {
		sim.fail("instance %d started with version %d although another instance had version %d", i, f.Current().Number, known)
	}
	sim.mu.Lock()
	sim.followers[i] = f
	sim.mu.Unlock()
	f.Run(ctx)
}

func (sim *simulation) recordVersion(f *followerRun, number int64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f.versions = append(f.versions, number)
}

func (sim *simulation) highest(except int) int64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var highest int64
	for i, f := range sim.followers {
		if i != except && f != nil {
			highest = max(highest, f.Current().Number)
		}
	}
	return highest
}

// announce passes a version to the followers of the other instances.
func (sim *simulation) announce(from int, number int64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i, f := range sim.followers {
		if i != from && f != nil {
			f.ObserveVersion(number, fmt.Sprint(from))
		}
	}
}

// accepted passes a version that an instance's publisher committed to the
// instance's follower.
func (sim *simulation) accepted(i int, number int64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if f := sim.followers[i]; f != nil {
		f.ObserveVersion(number, "")
	}
}

func (sim *simulation) restart(ctx context.Context, i int) {
	sim.mu.Lock()
	f := sim.followers[i]
	sim.followers[i] = nil
	sim.mu.Unlock()
	if f == nil {
		return
	}
	f.stop()
	sim.checkVersions(i, f)
	sim.start(ctx, i)
}

func (sim *simulation) checkVersions(i int, f *followerRun) {
	sim.mu.Lock()
	versions := slices.Clone(f.versions)
	sim.mu.Unlock()
	for n := 1; n < len(versions); n++ {
		if versions[n] <= versions[n-1] {
			sim.fail("instance %d replaced version %d by %d", i, versions[n-1], versions[n])
		}
	}
}

// head reads the newest version before an edit, with retries.
func (sim *simulation) head(ctx context.Context, s step) (*publisher.Manifest, bool) {
	for range 10 {
		head, err := sim.publishers[s.instance].Head(ctx)
		if err == nil {
			return head, true
		}
		time.Sleep(time.Second)
	}
	return nil, false
}

// submitChange reads the head, waits for the step's delay and sends the change. It
// repeats the request through another instance while the outcome is unknown or the
// store unavailable.
func (sim *simulation) submitChange(ctx context.Context, number int, s step) {
	head, ok := sim.head(ctx, s)
	if !ok {
		return
	}
	time.Sleep(s.delay)
	id := fmt.Sprintf("edit-%d", number)
	c := call{id: id}
	for round := range 3 {
		p := sim.publishers[(s.instance+round)%instances]
		c.edits, c.result, c.err = sim.send(ctx, p, id, head, s)
		sim.record(c)
		kind := answerer.KindOf(c.err)
		if c.err == nil || kind != answerer.OutcomeUnknown && kind != answerer.StoreUnavailable {
			return
		}
		time.Sleep(time.Second)
	}
}

func (sim *simulation) send(ctx context.Context, p *publisher.Publisher, id string, head *publisher.Manifest, s step) ([]publisher.SectionEdit, publisher.Result, error) {
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

func (sim *simulation) perform(ctx context.Context, number int, s step) {
	time.Sleep(s.at)
	switch s.kind {
	case "restart":
		sim.restart(ctx, s.instance)
	case "outage":
		sim.store.set(s.faults, true)
		time.Sleep(2 * s.delay)
		sim.store.set(s.faults, false)
	case "faults":
		sim.store.set(s.faults, false)
	default:
		sim.submitChange(ctx, number, s)
	}
}

// simulate performs the steps and returns the violations found.
func simulate(seed uint64, steps []step) []error {
	sim := &simulation{store: newFaultyStore(seed)}
	ctx, cancel := context.WithCancel(context.Background())
	var followers, work sync.WaitGroup
	for i := range instances {
		sim.publishers[i] = publisher.New(sim.store, sim.store, publisher.WithTimeout(4*time.Second),
			publisher.WithOnAccepted(func(version int64) { sim.accepted(i, version) }))
		followers.Go(func() { sim.start(ctx, i) })
	}
	for number, s := range steps {
		if s.kind == "restart" {
			followers.Go(func() { sim.perform(ctx, number, s) })
			continue
		}
		work.Go(func() { sim.perform(ctx, number, s) })
	}
	work.Wait()
	time.Sleep(runTime)
	sim.store.set(faults{}, false)
	time.Sleep(settleTime)
	sim.check(ctx)
	cancel()
	followers.Wait()
	return sim.failures
}

// TestFuzzPublishing runs random edits, restarts and store faults and checks that
// no accepted edit is lost or reverted, that each reported outcome is true, and
// that all followers end with the newest version.
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
