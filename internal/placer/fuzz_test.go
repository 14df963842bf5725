package placer_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/placer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// defaultFlags contains the flags of rapid that apply unless set on the command line.
var defaultFlags = map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaultFlags, f.Name) })
	for name, value := range defaultFlags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is one step of a generated run: an action on an instance, then a wait.
type step struct {
	Action string
	Target int
	Count  int
	Wait   time.Duration
}

var actions = []string{
	"Wait", "Start", "Kill", "Restart", "Pause", "Resume", "LoseResponses", "DelayWrites", "Disconnect", "Outage", "Drain", "Heal", "Reassign",
}

var targets = []string{"a", "b", "c", "d"}

func drawStep(t *rapid.T) step {
	return step{
		Action: rapid.SampledFrom(actions).Draw(t, "Action"),
		Target: rapid.IntRange(0, len(targets)-1).Draw(t, "Target"),
		Count:  rapid.IntRange(1, 4).Draw(t, "Count"),
		Wait:   time.Duration(rapid.IntRange(1, 9000).Draw(t, "Wait")) * time.Millisecond,
	}
}

func (c *cluster) apply(s step) {
	name := targets[s.Target]
	i := c.get(name)
	if i == nil {
		if s.Action == "Start" || s.Action == "Restart" {
			c.start(name, placer.WithSweepPeriod(5*time.Second))
		}
		return
	}
	switch s.Action {
	case "Kill":
		c.kill(name)
	case "Restart":
		c.kill(name)
		c.start(name, placer.WithSweepPeriod(5*time.Second))
	case "Pause":
		c.pause(i)
	case "Resume":
		c.resume(i)
	case "LoseResponses", "DelayWrites", "Disconnect":
		i.store.inject(s.Action, s.Count)
	case "Reassign":
		c.store.reassign(i.owner(), s.Count)
	case "Outage":
		c.store.setOutage(true)
	case "Heal":
		c.heal()
	case "Drain":
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.Wait)
			defer cancel()
			_ = i.placer.Drain(ctx)
		}()
	}
}

func (l *storeClient) inject(action string, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch action {
	case "LoseResponses":
		l.loseResponses = count
	case "DelayWrites":
		l.delayWrites = count
	case "Disconnect":
		l.disconnected = !l.disconnected
	}
}

// reassign assigns every n-th shard to the owner, regardless of its present owner. An
// instance with an outdated view of the membership could do so.
func (m *memory) reassign(owner placer.Owner, every int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[placer.ShardMapKey]
	if !ok {
		return
	}
	value := decode[placer.ShardMap](row.Value)
	value.Epoch++
	value.Members = append(value.Members, owner)
	for shard := 0; shard < len(value.Owners); shard += every {
		value.Owners[shard] = len(value.Members) - 1
	}
	m.versions++
	body, _ := json.Marshal(value)
	m.rows[placer.ShardMapKey] = storer.Row{Key: placer.ShardMapKey, Value: body, Version: m.versions}
}

func (m *memory) setOutage(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage = on
}

func (c *cluster) heal() {
	c.store.setOutage(false)
	for _, name := range c.names() {
		i := c.get(name)
		i.store.mu.Lock()
		i.store.disconnected = false
		i.store.mu.Unlock()
		c.resume(i)
	}
}

// runSteps runs the steps and returns the violations. At the end, all instances are
// replaced by two new ones, which must serve every shard with all its values.
func runSteps(t *testing.T, seed uint64, steps []step) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		c := newCluster(seed)
		defer c.stopAll()
		for _, name := range targets[:3] {
			c.start(name, placer.WithSweepPeriod(5*time.Second))
		}
		time.Sleep(8 * time.Second)
		for _, s := range steps {
			c.apply(s)
			time.Sleep(s.Wait)
		}
		c.heal()
		c.stopAll()
		c.start("y")
		c.start("z")
		time.Sleep(60 * time.Second)
		for shard, n := range c.served() {
			if n != 1 {
				violations = append(violations, fmt.Sprintf("shard %d is served by %d instances", shard, n))
			}
		}
		violations = append(violations, c.violations()...)
		if c.oracle.written() == 0 {
			violations = append(violations, "nothing was written")
		}
	})
	return violations
}

func TestRandomFaultsKeepOwnershipAndJournal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "Seed")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 40).Draw(rt, "Steps")
		if violations := runSteps(t, seed, steps); len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
}
