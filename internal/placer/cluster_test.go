package placer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/committer"
	"github.com/wigeonstand/wigeonstand/internal/forwarder"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/placer"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

const testShards = 16

// oracle records the values of each shard that were acknowledged as durable, and checks
// restored shards against them.
type oracle struct {
	mu           sync.Mutex
	store        *memory
	acknowledged map[int][]int
	restored     map[int][]int
	owners       map[int]*testMachine
	violations   []string
	lastValue    int
}

func (o *oracle) violation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// checkRestore checks that a restored shard contains all acknowledged values, once and
// in order. It ignores an instance that no longer owns the shard.
func (o *oracle) checkRestore(a *testMachine, shard int, values []int) {
	current := o.store.owner(shard) == a.owner()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !current {
		return
	}
	seen := map[int]bool{}
	for _, v := range values {
		if seen[v] {
			o.violation("shard %d: value %d is duplicated on %s", shard, v, a.name)
		}
		seen[v] = true
	}
	for _, v := range o.acknowledged[shard] {
		if !seen[v] {
			o.violation("shard %d: acknowledged value %d is missing on %s", shard, v, a.name)
		}
	}
	if !slices.IsSorted(values) {
		o.violation("shard %d: values are out of order on %s", shard, a.name)
	}
	o.restored[shard] = slices.Clone(values)
	o.owners[shard] = a
}

// acknowledge records that an instance acknowledged a value. If another instance owns
// the shard, that one must have restored the value.
func (o *oracle) acknowledge(a *testMachine, shard, value int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owners[shard] != a && !slices.Contains(o.restored[shard], value) {
		o.violation("shard %d: %s acknowledged %d, which the owner has not restored", shard, a.name, value)
	}
	o.acknowledged[shard] = append(o.acknowledged[shard], value)
}

func (o *oracle) nextValue() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastValue++
	return o.lastValue
}

// written returns the number of values that instances have appended.
func (o *oracle) written() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastValue
}

// testMachine is a state machine whose shards are lists of values.
type testMachine struct {
	name    string
	lease   *leaser.Leaser
	oracle  *oracle
	journal *committer.Committer
	random  *rand.Rand
	// maxAppendDelay is the maximum time between two entries, in nanoseconds.
	maxAppendDelay atomic.Int64

	mu        sync.Mutex
	shards    map[int]*shardState
	pending   []pendingEntry
	committed int64
	fenced    bool
}

type shardState struct {
	durable        []int
	unacknowledged int
	releasing      bool
}

type pendingEntry struct {
	sequence     int64
	shard, value int
}

func (a *testMachine) owner() placer.Owner {
	lease := a.lease.Lease()
	return placer.Owner{Instance: lease.Instance, Generation: lease.Generation}
}

func (a *testMachine) Restore(_ context.Context, shard int, snapshot []byte, entries []sharder.Entry) error {
	values := decode[[]int](snapshot)
	for _, entry := range entries {
		values = append(values, decode[int](entry.Body))
	}
	a.oracle.checkRestore(a, shard, values)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shards[shard] = &shardState{durable: values}
	return nil
}

func (a *testMachine) Snapshot(_ context.Context, shard int) ([]byte, int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.shards[shard]
	if !ok {
		return nil, 0, errors.New("shard not served")
	}
	body, err := json.Marshal(l.durable)
	return body, a.committed, err
}

func (a *testMachine) Release(ctx context.Context, shard int) error {
	for {
		a.mu.Lock()
		l, ok := a.shards[shard]
		if !ok {
			a.mu.Unlock()
			return nil
		}
		l.releasing = true
		if l.unacknowledged == 0 {
			delete(a.shards, shard)
			a.mu.Unlock()
			return nil
		}
		a.mu.Unlock()
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			// The release is aborted, but pending entries are still acknowledged.
			a.mu.Lock()
			delete(a.shards, shard)
			a.mu.Unlock()
			return err
		}
	}
}

func (a *testMachine) Committed(sequence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.committed = sequence
	for len(a.pending) > 0 && a.pending[0].sequence <= sequence {
		p := a.pending[0]
		a.pending = a.pending[1:]
		if l, ok := a.shards[p.shard]; ok {
			l.durable = append(l.durable, p.value)
			l.unacknowledged--
		}
		a.oracle.acknowledge(a, p.shard, p.value)
	}
}

func (a *testMachine) Fenced() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fenced = true
	a.shards = map[int]*shardState{}
	a.pending = nil
}

// appendValues appends values to served shards until ctx is done.
func (a *testMachine) appendValues(ctx context.Context) {
	for sleep(ctx, time.Duration(1+a.random.Int64N(a.maxAppendDelay.Load()))) == nil {
		a.mu.Lock()
		shard := a.random.IntN(testShards)
		if l, ok := a.shards[shard]; ok && !l.releasing && !a.fenced {
			value := a.oracle.nextValue()
			body, _ := json.Marshal(value)
			sequence := a.journal.Append([]sharder.Entry{{Shard: shard, Body: body}})
			a.pending = append(a.pending, pendingEntry{sequence, shard, value})
			l.unacknowledged++
		}
		a.mu.Unlock()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// instance simulates one process.
type instance struct {
	*testMachine
	store  *storeClient
	placer *placer.Placer
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// cluster runs instances on one store inside a synctest bubble.
type cluster struct {
	store  *memory
	oracle *oracle
	seed   uint64

	mu        sync.Mutex
	instances map[string]*instance
}

func newCluster(seed uint64) *cluster {
	store := newMemory()
	return &cluster{
		store: store,
		oracle: &oracle{
			store: store, acknowledged: map[int][]int{}, restored: map[int][]int{}, owners: map[int]*testMachine{},
		},
		seed:      seed,
		instances: map[string]*instance{},
	}
}

// peers delivers the heartbeats of one instance.
type peers struct {
	*cluster
	name string
}

func (p peers) Heartbeat(ctx context.Context, address string, beat forwarder.Heartbeat) (forwarder.Heartbeat, error) {
	from, to := p.get(p.name), p.get(address)
	if to == nil || from == nil || from.unreachable() || to.unreachable() {
		<-ctx.Done()
		return forwarder.Heartbeat{}, ctx.Err()
	}
	return to.placer.HandleHeartbeat(beat), nil
}

func (i *instance) unreachable() bool {
	i.store.mu.Lock()
	defer i.store.mu.Unlock()
	return i.store.paused != nil
}

func (c *cluster) get(name string) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name]
}

func (c *cluster) start(name string, options ...placer.Option) {
	ctx, stop := context.WithCancel(context.Background())
	c.seed++
	l := &storeClient{memory: c.store}
	lease := leaser.New(l, name, name, "dc")
	a := &testMachine{
		name: name, lease: lease, oracle: c.oracle,
		random: rand.New(rand.NewPCG(c.seed, 1)), shards: map[int]*shardState{},
	}
	// Every second instance stores its batches as objects.
	inline := int(c.seed%2) * committer.DefaultInlineBytes
	a.journal = committer.New(lease, l, committer.WithInlineBytes(inline))
	a.maxAppendDelay.Store(int64(60 * time.Millisecond))
	options = append([]placer.Option{placer.WithShards(testShards), placer.WithSnapshotBatches(20)}, options...)
	platform := placer.Platform{Table: l, Objects: l, Lister: l}
	i := &instance{
		testMachine: a, store: l, stop: stop,
		placer: placer.New(lease, a.journal, platform, a, peers{c, name}, options...),
	}
	c.mu.Lock()
	c.instances[name] = i
	c.mu.Unlock()
	i.done.Go(func() {
		if lease.Acquire(ctx) != nil {
			return
		}
		i.done.Go(func() { _ = lease.Run(ctx) })
		i.done.Go(func() { _ = a.journal.Run(ctx, a) })
		i.done.Go(func() { a.appendValues(ctx) })
		_ = i.placer.Run(ctx)
	})
}

// kill stops an instance immediately. Its calls that are not yet sent never reach the
// store.
func (c *cluster) kill(name string) {
	i := c.get(name)
	if i == nil {
		return
	}
	c.mu.Lock()
	delete(c.instances, name)
	c.mu.Unlock()
	i.stop()
	i.store.mu.Lock()
	i.store.disconnected = true
	i.store.mu.Unlock()
	c.resume(i)
	i.done.Wait()
}

func (c *cluster) pause(i *instance) {
	i.store.mu.Lock()
	defer i.store.mu.Unlock()
	if i.store.paused == nil {
		i.store.paused = make(chan struct{})
	}
}

func (c *cluster) resume(i *instance) {
	i.store.mu.Lock()
	defer i.store.mu.Unlock()
	if i.store.paused != nil {
		close(i.store.paused)
		i.store.paused = nil
	}
}

func (c *cluster) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *cluster) stopAll() {
	for _, name := range c.names() {
		c.kill(name)
	}
}

// served returns the number of instances that serve each shard.
func (c *cluster) served() []int {
	counts := make([]int, testShards)
	for _, name := range c.names() {
		i := c.get(name)
		if i.lease.Fenced() {
			continue
		}
		for shard := range counts {
			if i.placer.Locate(shard).Local {
				counts[shard]++
			}
		}
	}
	return counts
}

// violations returns the first violations that the store and the oracle have found.
func (c *cluster) violations() []string {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()
	all := append(slices.Clone(c.store.violations), c.oracle.violations...)
	return all[:min(len(all), 8)]
}
