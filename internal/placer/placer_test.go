package placer_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// servedOnce is the result of served if exactly one instance serves each shard.
var servedOnce = slices.Repeat([]int{1}, testShards)

func TestTakeoverAfterInstanceIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.stopAll()
		for _, name := range []string{"a", "b", "c"} {
			c.start(name)
		}
		time.Sleep(20 * time.Second)
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error("before: " + diff)
		}
		c.kill("a")
		killed := time.Now()
		for time.Since(killed) < 15*time.Second && !cmp.Equal(servedOnce, c.served()) {
			time.Sleep(10 * time.Millisecond)
		}
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error("after: " + diff)
		}
		t.Logf("all shards were served again %v after the kill", time.Since(killed))
		if diff := cmp.Diff([]string(nil), c.violations()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDrainHandsOverAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.stopAll()
		for _, name := range []string{"a", "b", "c"} {
			c.start(name)
		}
		time.Sleep(20 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if err := c.get("a").placer.Drain(ctx); err != nil {
			t.Error(err)
		}
		c.kill("a")
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(servedOnce, c.served()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]string(nil), c.violations()); diff != "" {
			t.Error(diff)
		}
	})
}
