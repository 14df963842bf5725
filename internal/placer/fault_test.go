package placer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/committer"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/placer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// runStable runs three instances until each shard is served once, then calls test, and
// checks that there were no violations.
func runStable(t *testing.T, test func(t *testing.T, c *cluster), options ...placer.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.stopAll()
		for _, name := range targets[:3] {
			c.start(name, options...)
		}
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Fatal(diff)
		}
		test(t, c)
		if diff := cmp.Diff([]string(nil), c.violations()); diff != "" {
			t.Error(diff)
		}
	})
}

// generations returns the generation in each lease row.
func (c *cluster) generations() map[string]int64 {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	all := map[string]int64{}
	for key, row := range c.store.rows {
		if strings.HasPrefix(key, leaser.KeyPrefix) {
			all[key] = decode[leaser.Lease](row.Value).Generation
		}
	}
	return all
}

// regressions contains generated sequences of steps that have failed before.
var regressions = map[string][]step{
	// The drains have deadlines of a few milliseconds, so that requests are aborted
	// whose entries have already been appended.
	"RequestsAbortedByDrain": {
		{"Start", 0, 2, 17 * time.Millisecond},
		{"Drain", 0, 3, 7 * time.Millisecond},
		{"Drain", 2, 4, 3 * time.Millisecond},
		{"Start", 0, 4, 8288 * time.Millisecond},
	},
	"OwnerIsGenerationOfFencedLease": {
		{"Disconnect", 1, 3, 2 * time.Millisecond},
		{"Restart", 2, 4, 13 * time.Millisecond},
		{"Drain", 1, 1, time.Millisecond},
		{"Start", 1, 2, 6156 * time.Millisecond},
		{"Reassign", 1, 4, 717 * time.Millisecond},
	},
}

func TestRegressions(t *testing.T) {
	for name, steps := range regressions {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				if diff := cmp.Diff([]string(nil), runSteps(t, seed, steps)); diff != "" {
					t.Errorf("seed %d: %s", seed, diff)
				}
			}
		})
	}
}

// TestConcurrentClaimsHaveOneWinner delays the commit of a claim until another instance
// has claimed and served the shard. The delayed claim must fail, because the shard's row
// has changed.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		var others []*instance
		for _, name := range c.names() {
			if c.get(name).owner() != c.store.owner(0) {
				others = append(others, c.get(name))
			}
		}
		slow, fast := others[0], others[1]
		blocked, resume := make(chan struct{}), make(chan struct{})
		var first sync.Once
		slow.store.setBeforeCommit(func(commit storer.Commit) {
			for _, w := range commit.Writes {
				if w.Key == placer.ShardPrefix+"0000" {
					first.Do(func() {
						close(blocked)
						<-resume
					})
				}
			}
		})
		c.store.reassign(slow.owner(), testShards)
		<-blocked
		c.store.reassign(fast.owner(), testShards)
		time.Sleep(4 * time.Second)
		// By now the fast instance may have handed the shard over to the instance that
		// it is assigned to.
		if owner := c.store.owner(0); owner == (placer.Owner{}) || owner == slow.owner() {
			t.Errorf("the shard is owned by %+v", owner)
		}
		close(resume)
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestShardsAssignedToFencedLeaseAreServed assigns shards to the generation of a fenced
// lease row, which no instance holds. An instance that reads the row after the fence may
// do so.
func TestShardsAssignedToFencedLeaseAreServed(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		c.kill("b")
		time.Sleep(15 * time.Second)
		fence := c.generations()[leaser.Key("b")]
		c.store.reassign(placer.Owner{Instance: "b", Generation: fence}, 2)
		time.Sleep(15 * time.Second)
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestStoreOutageOfOneHourFencesNoLease(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		before := c.generations()
		for _, name := range c.names() {
			c.get(name).maxAppendDelay.Store(int64(time.Hour))
		}
		// The outage begins and ends between two renewals.
		time.Sleep(11300 * time.Millisecond)
		c.store.setOutage(true)
		time.Sleep(time.Hour + 700*time.Millisecond)
		if c.get("a").lease.Confirmed() {
			t.Error("lease confirmed although it was not renewed")
		}
		c.store.setOutage(false)
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff(before, c.generations()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error(diff)
		}
		if !c.get("a").lease.Confirmed() {
			t.Error("lease not confirmed after the outage")
		}
	})
}

// TestStoreOutageStartsNoHandovers begins outages at all times between two renewals. An instance
// that renewed its lease after it last read the row took itself for expired before the others, and
// released its shards to them, which nobody served until the store returned.
func TestStoreOutageStartsNoHandovers(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		for _, name := range c.names() {
			c.get(name).maxAppendDelay.Store(int64(time.Hour))
		}
		for offset := time.Duration(0); offset < 4*time.Second; offset += 100 * time.Millisecond {
			time.Sleep(20*time.Second + offset)
			c.store.setOutage(true)
			time.Sleep(time.Minute)
			if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
				t.Errorf("outage %v later: %s", offset, diff)
			}
			c.store.setOutage(false)
			time.Sleep(20*time.Second - offset)
			if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
				t.Errorf("after the outage %v later: %s", offset, diff)
			}
		}
	})
}

// TestPausesShorterThanLeaseMoveNoShards repeatedly pauses an instance for less than its
// lease's TTL.
func TestPausesShorterThanLeaseMoveNoShards(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		before, epoch := c.generations(), c.get("a").placer.Epoch()
		for range 20 {
			c.pause(c.get("b"))
			time.Sleep(3500 * time.Millisecond)
			c.resume(c.get("b"))
			time.Sleep(2 * time.Second)
		}
		if diff := cmp.Diff(before, c.generations()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(epoch, c.get("a").placer.Epoch()); diff != "" {
			t.Error("the map changed: " + diff)
		}
	})
}

// TestPauseLongerThanLeaseFencesHolder pauses an instance for longer than its lease's
// TTL. After it resumes, it must commit nothing.
func TestPauseLongerThanLeaseFencesHolder(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		a := c.get("a")
		c.pause(a)
		time.Sleep(15 * time.Second)
		c.resume(a)
		time.Sleep(5 * time.Second)
		if !a.lease.Fenced() || !a.isFenced() {
			t.Error("the instance has not detected that it was fenced")
		}
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error(diff)
		}
	})
}

func (a *testMachine) isFenced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fenced
}

// TestRollingReplacementKeepsAllEntries drains and replaces the instances one by one
// under load.
func TestRollingReplacementKeepsAllEntries(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		for _, name := range targets[:3] {
			c.start(name + "2")
			time.Sleep(10 * time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			started := time.Now()
			if err := c.get(name).placer.Drain(ctx); err != nil {
				t.Error(err)
			}
			t.Logf("%s was drained in %v", name, time.Since(started))
			cancel()
			c.kill(name)
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestTakeoverReadsAndStoredKeysAreBounded writes for five minutes and counts the
// batches that a takeover would read and the keys that sweeps have not deleted.
func TestTakeoverReadsAndStoredKeysAreBounded(t *testing.T) {
	const batches = 40
	options := []placer.Option{placer.WithSnapshotBatches(batches), placer.WithSweepPeriod(10 * time.Second)}
	runStable(t, func(t *testing.T, c *cluster) {
		time.Sleep(5 * time.Minute)
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		stored := map[string]int{}
		for key := range c.store.keys() {
			prefix, _, _ := strings.Cut(key, "/")
			stored[prefix]++
		}
		needed := c.store.neededBatches()
		t.Logf("stored rows and objects: %v, batches read by a takeover: %v", stored, needed)
		if stored["snapshot"] > 2*testShards {
			t.Errorf("%d snapshots are stored", stored["snapshot"])
		}
		for owner, n := range needed {
			// A round takes only some of the snapshots that are due.
			if n > 2*batches {
				t.Errorf("a takeover of %s reads %d batches", owner, n)
			}
		}
		if stored["journal"] > 3*batches*3+3*10*40 {
			t.Errorf("%d batches are stored", stored["journal"])
		}
	}, options...)
}

// keys returns the keys of all rows and objects.
func (m *memory) keys() map[string]bool {
	keys := map[string]bool{}
	for key := range m.rows {
		keys[key] = true
	}
	for key := range m.objects {
		keys[key] = true
	}
	return keys
}

// neededBatches returns, for each generation, the number of batches after the oldest
// snapshot.
func (m *memory) neededBatches() map[string]int {
	oldest := map[string]string{}
	for key, row := range m.rows {
		if !strings.HasPrefix(key, placer.ShardPrefix) {
			continue
		}
		for _, s := range decode[placer.Shard](row.Value).Sources {
			prefix := committer.GenerationPrefix(s.Instance, s.Generation)
			after := fmt.Sprintf("%s%020d", prefix, s.After)
			if old, ok := oldest[prefix]; !ok || after < old {
				oldest[prefix] = after
			}
		}
	}
	needed := map[string]int{}
	for prefix, after := range oldest {
		for key := range m.keys() {
			if strings.HasPrefix(key, prefix) && key > after {
				needed[prefix]++
			}
		}
	}
	return needed
}

func TestRowsOfDepartedInstancesAreDeleted(t *testing.T) {
	runStable(t, func(t *testing.T, c *cluster) {
		c.kill("a")
		if err := c.get("b").placer.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		c.kill("b")
		c.get("c").maxAppendDelay.Store(int64(5 * time.Second))
		time.Sleep(40 * time.Minute)
		c.store.mu.Lock()
		for key := range c.store.keys() {
			if !strings.HasPrefix(key, placer.ShardPrefix) && key != placer.ShardMapKey && !strings.Contains(key, "/c") {
				t.Errorf("%s was not deleted", key)
			}
		}
		c.store.mu.Unlock()
		c.start("a")
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestStoreLoadOfIdleInstancesIsBounded checks that the writes and reads per idle
// instance stay within bounds that do not depend on the number of instances.
func TestStoreLoadOfIdleInstancesIsBounded(t *testing.T) {
	const writes, reads, span = 1, 6, 2 * time.Minute
	for _, n := range []int{3, 12, 24} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(1)
			defer c.stopAll()
			for i := range n {
				c.start(fmt.Sprintf("instance-%02d", i))
			}
			for _, name := range c.names() {
				c.get(name).maxAppendDelay.Store(int64(time.Hour))
			}
			time.Sleep(time.Minute)
			w0, r0 := c.store.counts()
			time.Sleep(span)
			w1, r1 := c.store.counts()
			seconds := span.Seconds() * float64(n)
			w, r := float64(w1-w0)/seconds, float64(r1-r0)/seconds
			t.Logf("%d instances: %.2f writes and %.2f reads per second each", n, w, r)
			if w > writes || r > reads {
				t.Errorf("more than %d writes or %d reads per second each", writes, reads)
			}
		})
	}
}
