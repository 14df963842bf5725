package registrar

import "time"

const (
	// fullMaxAge is how long a reported load says that an endpoint is full. In that time an
	// endpoint with 6 slots takes some ten requests from its queue.
	fullMaxAge = 300 * time.Millisecond
	// capacityMaxAge is how long the queue's capacity is remembered. It changes with the
	// endpoint's software only.
	capacityMaxAge = 10 * time.Minute
)

// queueCapacity is the number of waiting requests at which endpoints of a service shed.
type queueCapacity struct {
	waiting int
	at      time.Time
}

// ReportShed records that the endpoint did not run a request and stated the load. If it has
// no free slot and a queue, the queue is full, and those of the service's other endpoints are
// as long. An endpoint that sheds for another reason has a shorter one.
func (r *Registry) ReportShed(endpoint Endpoint, load Load) {
	if load.Waiting <= 0 || load.Running < max(endpoint.Slots, 1) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	known, isKnown := r.capacities[endpoint.Service]
	if isKnown && known.waiting > load.Waiting && now.Sub(known.at) < capacityMaxAge {
		return
	}
	r.capacities[endpoint.Service] = queueCapacity{waiting: load.Waiting, at: now}
}

// lockedIsFull reports whether the endpoint would shed a request, by its last load and what
// this instance has sent since.
func (r *Registry) lockedIsFull(e *entry, now time.Time) bool {
	capacity, isKnown := r.capacities[e.Service]
	if !isKnown || now.Sub(e.reportedAt) > fullMaxAge {
		return false
	}
	return e.load.Running >= max(e.Slots, 1) && e.load.Waiting+e.outstanding-e.outstandingAtReport >= capacity.waiting
}
