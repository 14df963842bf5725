package leaser

import (
	"sync"
	"time"
)

// Observer determines which leases of other instances have expired, from the
// versions of their rows. It measures time with the local clock only, from when a
// version was first read. An Observer is safe for concurrent use.
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

// NewObserver returns an Observer of leases with the given TTL. A lease expires
// only after the TTL and the margin, which allows for clocks that run at different
// rates.
func NewObserver(ttl, margin time.Duration) *Observer {
	return &Observer{expiry: ttl + margin, ttl: ttl, observations: map[string]observation{}}
}

// Observe records that the instance's row was just read and has the given version.
// If the row was not read for more than a TTL, for example during a store outage,
// the expiry time starts again, because the holder could not renew the lease either.
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

// Forget discards the observations of the instance.
func (o *Observer) Forget(instance string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.observations, instance)
}

// Expired reports whether the row has had the given version for at least the TTL
// and the margin.
func (o *Observer) Expired(instance string, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.observations[instance]
	return ok && s.version == version && time.Since(s.unchangedSince) >= o.expiry
}
