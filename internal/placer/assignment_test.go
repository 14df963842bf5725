package placer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/requester"
)

func instanceNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("instance-%03d", i)
	}
	return all
}

func assign(instances []string, shards int) []string {
	r := newAssignment(instances)
	owners := make([]string, shards)
	for shard := range owners {
		owners[shard] = r.instanceFor(shard)
	}
	return owners
}

// TestRemovalMovesOnlyShardsOfRemovedInstance removes each of a sample of instances in
// turn. It logs the mean share of shards that move and the maximum number of shards that
// a removed instance had.
func TestRemovalMovesOnlyShardsOfRemovedInstance(t *testing.T) {
	for _, size := range []struct{ instances, shards int }{
		{12, requester.ShardCount}, {360, requester.ShardCount}, {360, 4096},
	} {
		all := instanceNames(size.instances)
		before := assign(all, size.shards)
		moved, maxOwned, removals := 0, 0, 0
		for i := 0; i < size.instances; i += max(1, size.instances/36) {
			removed := all[i]
			removals++
			remaining := append(append([]string(nil), all[:i]...), all[i+1:]...)
			owned := 0
			for shard, owner := range assign(remaining, size.shards) {
				if before[shard] == removed {
					owned++
				}
				if owner != before[shard] {
					moved++
					if before[shard] != removed {
						t.Errorf("shard %d moved from %s when %s was removed", shard, before[shard], removed)
					}
				}
			}
			maxOwned = max(maxOwned, owned)
		}
		share := float64(moved) / float64(removals*size.shards)
		t.Logf("removing 1 of %d instances moves %.2f%% of %d shards; maximum on one of %d instances: %d",
			size.instances, 100*share, size.shards, removals, maxOwned)
	}
}

// TestAssignmentIgnoresOrderAndJoinMovesOnlyToNewInstance guards against assignments
// that differ between instances because they list the members in different orders, and
// against moves between instances that were members before.
func TestAssignmentIgnoresOrderAndJoinMovesOnlyToNewInstance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9-]{1,12}`), 2, 40, rapid.ID[string]).Draw(rt, "Names")
		shuffled := rapid.Permutation(all).Draw(rt, "Shuffled")
		added := all[len(all)-1]
		before := assign(all[:len(all)-1], 64)
		after := assign(all, 64)
		for shard, owner := range assign(shuffled, 64) {
			if owner != after[shard] {
				rt.Fatalf("the instance of shard %d depends on the order of the names", shard)
			}
			if after[shard] != before[shard] && after[shard] != added {
				rt.Fatalf("shard %d moved between previous members", shard)
			}
		}
	})
}
