package placer

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// ringLimit bounds the rings that are remembered; members change rarely.
const ringLimit = 8

// ring places shards on the instances of one set by rendezvous hashing. It
// remembers each place, since every round asks for those of all shards held.
type ring struct {
	table *rendezvous.Rendezvous
	n     int

	mu     sync.Mutex
	places map[int]string
}

func newRing(names []string) *ring {
	return &ring{table: rendezvous.New(names, xxhash.Sum64String), n: len(names), places: map[int]string{}}
}

// place returns the instance for the shard, or "" if there is none.
func (r *ring) place(shard int) string {
	if r.n == 0 {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := r.places[shard]
	if !ok {
		name = r.table.Lookup(shardKey(shard))
		r.places[shard] = name
	}
	return name
}

// rings remembers the rings of the sets of instances seen lately.
type rings struct {
	mu    sync.Mutex
	known map[string]*ring
}

// of returns the ring of the instances.
func (r *rings) of(names []string) *ring {
	key := strings.Join(names, "\n")
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.known[key]; ok {
		return known
	}
	if r.known == nil || len(r.known) >= ringLimit {
		r.known = map[string]*ring{}
	}
	made := newRing(names)
	r.known[key] = made
	return made
}
