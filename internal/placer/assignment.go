package placer

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// maxCachedAssignments bounds the cached assignments. A few suffice, because the
// membership changes rarely.
const maxCachedAssignments = 8

// assignment maps shards to the instances of one set by rendezvous hashing. It caches
// the results, because every round looks up all held shards.
type assignment struct {
	table *rendezvous.Rendezvous
	count int

	mu        sync.Mutex
	instances map[int]string
}

func newAssignment(names []string) *assignment {
	return &assignment{table: rendezvous.New(names, xxhash.Sum64String), count: len(names), instances: map[int]string{}}
}

// instanceFor returns the instance of the shard, or "" if the set is empty.
func (a *assignment) instanceFor(shard int) string {
	if a.count == 0 {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	name, ok := a.instances[shard]
	if !ok {
		name = a.table.Lookup(shardKey(shard))
		a.instances[shard] = name
	}
	return name
}

// assignmentCache caches the assignments of recent sets of instances.
type assignmentCache struct {
	mu        sync.Mutex
	byMembers map[string]*assignment
}

// get returns the assignment to the instances.
func (c *assignmentCache) get(names []string) *assignment {
	key := strings.Join(names, "\n")
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.byMembers[key]; ok {
		return cached
	}
	if c.byMembers == nil || len(c.byMembers) >= maxCachedAssignments {
		c.byMembers = map[string]*assignment{}
	}
	created := newAssignment(names)
	c.byMembers[key] = created
	return created
}
