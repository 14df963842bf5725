package quarantiner

import (
	"context"
	"sync"
	"time"
)

const (
	methodLastServed = "LastServed"
	// askTimeout limits the calls by which the other instances are asked, and askInterval is
	// the time until they are asked again about a cause that was not confirmed.
	askTimeout  = 500 * time.Millisecond
	askInterval = 700 * time.Millisecond
	// recentSlots is the number of requests whose last service an instance remembers.
	recentSlots = 4096
)

// recentServices holds when requests were last served. Each key has one slot, which a later
// request may take, so that its size is fixed.
type recentServices struct {
	slots [recentSlots]struct {
		key Key
		at  time.Time
	}
}

// add records a service of the request and of its target.
func (r *recentServices) add(request Identity, at time.Time) {
	for _, key := range []Key{request.Key, request.Target} {
		slot := &r.slots[slotOf(key)]
		slot.key, slot.at = key, at
	}
}

// last returns when the request or target was last served; zero if that is not known.
func (r *recentServices) last(key Key) time.Time {
	if slot := r.slots[slotOf(key)]; slot.key == key {
		return slot.at
	}
	return time.Time{}
}

func slotOf(key Key) int { return (int(key[0]) | int(key[1])<<8) % recentSlots }

// confirm asks all other instances when they last served the causes, before these are
// quarantined: the instances that saw a crash are not those that see a request served. A
// request that was served since the crash before the last one is not their cause. While not
// all instances have responded, a target is not confirmed, as requests of many callers depend
// on it; a request is, since crashes under the same request are strong evidence.
func (q *Quarantiner) confirm(keys []Key) {
	ctx, cancel := q.withTimeout(context.Background(), askTimeout)
	defer cancel()
	others := q.members.Others()
	var work sync.WaitGroup
	var mu sync.Mutex
	last := map[Key]time.Time{}
	hasAll := true
	for _, m := range others {
		work.Go(func() {
			var ages []time.Duration
			err := q.caller.Call(ctx, m.Address, methodLastServed, keys, &ages)
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(ages) != len(keys) {
				hasAll = false
				return
			}
			for i, age := range ages {
				if at := now.Add(-age); age >= 0 && at.After(last[keys[i]]) {
					last[keys[i]] = at
				}
			}
		})
	}
	work.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		at := last[key]
		if own := q.recent.last(key); own.After(at) {
			at = own
		}
		if at.After(q.served[key]) {
			q.served[key] = at
		}
	}
	q.lockedAttribute()
	for _, key := range keys {
		if s := q.suspicions[key]; s.isCause && (hasAll || !s.isTarget) {
			q.confirmed[key] = true
		}
	}
	q.lockedAttribute()
}

// lastServed returns how long ago this instance served the requests or targets; -1 if that is
// not known.
func (q *Quarantiner) lastServed(keys []Key) []time.Duration {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	ages := make([]time.Duration, 0, len(keys))
	for _, key := range keys {
		age := time.Duration(-1)
		if at := q.recent.last(key); !at.IsZero() {
			age = now.Sub(at)
		}
		ages = append(ages, age)
	}
	return ages
}
