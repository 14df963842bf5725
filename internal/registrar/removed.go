package registrar

import (
	"net/netip"
	"time"
)

// removedMemory is how long an endpoint is found by its address after its registration has gone.
// The registration of a process that has ended lapses while others still check its end, which
// takes up to 2.5 s on a busy host.
const removedMemory = 5 * time.Second

// removal is an endpoint whose registration has gone.
type removal struct {
	endpoint Endpoint
	at       time.Time
}

// lockedRecordRemoved records the endpoints whose registrations have gone now.
func (r *Registry) lockedRecordRemoved(endpoints []Endpoint, now time.Time) {
	for address, old := range r.removed {
		if now.Sub(old.at) > removedMemory {
			delete(r.removed, address)
		}
	}
	for _, e := range endpoints {
		r.removed[e.Address] = removal{endpoint: e, at: now}
	}
}

// FindAddress returns the endpoint that is registered with the address, or was lately.
func (r *Registry) FindAddress(address netip.AddrPort) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.byID {
		if e.Address == address {
			return e.Endpoint, true
		}
	}
	old, isFound := r.removed[address]
	if !isFound || time.Since(old.at) > removedMemory {
		return Endpoint{}, false
	}
	return old.endpoint, true
}
