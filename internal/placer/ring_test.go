package placer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wigeonstand/wigeonstand/internal/requester"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("instance-%03d", i)
	}
	return all
}

func places(instances []string, shards int) []string {
	r := newRing(instances)
	owners := make([]string, shards)
	for shard := range owners {
		owners[shard] = r.place(shard)
	}
	return owners
}

// TestOnlyTheShardsOfTheInstanceThatGoesMove also logs the share that moves,
// averaged over each instance going, and the greatest load of an instance.
func TestOnlyTheShardsOfTheInstanceThatGoesMove(t *testing.T) {
	for _, size := range []struct{ instances, shards int }{
		{12, requester.ShardCount}, {360, requester.ShardCount}, {360, 4096},
	} {
		all := names(size.instances)
		before := places(all, size.shards)
		moved, most, tried := 0, 0, 0
		for i := 0; i < size.instances; i += max(1, size.instances/36) {
			gone := all[i]
			tried++
			rest := append(append([]string(nil), all[:i]...), all[i+1:]...)
			owned := 0
			for shard, owner := range places(rest, size.shards) {
				if before[shard] == gone {
					owned++
				}
				if owner != before[shard] {
					moved++
					if before[shard] != gone {
						t.Errorf("shard %d moved from %s when %s went", shard, before[shard], gone)
					}
				}
			}
			most = max(most, owned)
		}
		share := float64(moved) / float64(tried*size.shards)
		t.Logf("1 of %d goes: %.2f%% of %d shards move; the most on one of %d instances is %d",
			size.instances, 100*share, size.shards, tried, most)
	}
}

// TestPlacementIgnoresOrderAndJoinsMoveToTheNewcomer checks generated sets.
func TestPlacementIgnoresOrderAndJoinsMoveToTheNewcomer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9-]{1,12}`), 2, 40, rapid.ID[string]).Draw(rt, "Names")
		shuffled := rapid.Permutation(all).Draw(rt, "Shuffled")
		newcomer := all[len(all)-1]
		before := places(all[:len(all)-1], 64)
		after := places(all, 64)
		for shard, owner := range places(shuffled, 64) {
			if owner != after[shard] {
				rt.Fatalf("shard %d depends on the order", shard)
			}
			if after[shard] != before[shard] && after[shard] != newcomer {
				rt.Fatalf("shard %d moved between two that stayed", shard)
			}
		}
	})
}
