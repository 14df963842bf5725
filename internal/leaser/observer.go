package leaser

import (
	"sync"
	"time"
)

// Observer watches the lease rows of other instances and says which have not
// been renewed for long enough to be taken away. It uses its own clock only,
// counted from after it saw a row.
type Observer struct {
	expiry time.Duration
	ttl    time.Duration

	mu           sync.Mutex
	observations map[string]observation
}

type observation struct {
	version        int64
	unchangedSince time.Time
	lastRead       time.Time
}

// NewObserver returns an Observer of leases with the TTL. The margin is waited
// beyond it, for clocks that run at different rates.
func NewObserver(ttl, margin time.Duration) *Observer {
	return &Observer{expiry: ttl + margin, ttl: ttl, observations: map[string]observation{}}
}

// Observe notes that the instance's row was just read with the version. After a gap
// of more than a TTL in which the row was not read, as when the store is
// out, waiting starts anew: the holder could not renew it either.
func (o *Observer) Observe(instance string, version int64) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.observations[instance]
	if !ok || s.version != version || now.Sub(s.lastRead) > o.ttl {
		s = observation{version: version, unchangedSince: now}
	}
	s.lastRead = now
	o.observations[instance] = s
}

// Forget drops what was seen of the instance.
func (o *Observer) Forget(instance string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.observations, instance)
}

// Expired says whether the row has kept the version for longer than its TTL and
// the margin.
func (o *Observer) Expired(instance string, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.observations[instance]
	return ok && s.version == version && time.Since(s.unchangedSince) >= o.expiry
}
