package placer

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// maxCachedAssignments bounds the rings that are remembered; members change rarely.
const maxCachedAssignments = 8

// assignment places shards on the instances of one set by rendezvous hashing. It
// remembers each place, since every round asks for those of all shards held.
type assignment struct {
	table *rendezvous.Rendezvous
	count int

	mu        sync.Mutex
	instances map[int]string
}

func newAssignment(names []string) *assignment {
	return &assignment{table: rendezvous.New(names, xxhash.Sum64String), count: len(names), instances: map[int]string{}}
}

// instanceFor returns the instance for the shard, or "" if there is none.
func (r *assignment) instanceFor(shard int) string {
	if r.count == 0 {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := r.instances[shard]
	if !ok {
		name = r.table.Lookup(shardKey(shard))
		r.instances[shard] = name
	}
	return name
}

// assignmentCache remembers the assignmentCache of the sets of instances seen lately.
type assignmentCache struct {
	mu        sync.Mutex
	byMembers map[string]*assignment
}

// get returns the ring get the instances.
func (r *assignmentCache) get(names []string) *assignment {
	key := strings.Join(names, "\n")
	r.mu.Lock()
	defer r.mu.Unlock()
	if cached, ok := r.byMembers[key]; ok {
		return cached
	}
	if r.byMembers == nil || len(r.byMembers) >= maxCachedAssignments {
		r.byMembers = map[string]*assignment{}
	}
	created := newAssignment(names)
	r.byMembers[key] = created
	return created
}
