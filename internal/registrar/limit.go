package registrar

import (
	"strconv"
	"time"
)

// Limit is the number of requests that an endpoint takes from all instances together.
// The zero value is no limit.
type Limit struct {
	IsSet bool
	// Rate is in requests a second.
	Rate float64
}

// String implements fmt.Stringer.
func (l Limit) String() string {
	if !l.IsSet {
		return "None"
	}
	return strconv.FormatFloat(l.Rate, 'f', -1, 64)
}

// announcement is what a process of an endpoint stated in its responses. It is kept
// after the registration is gone, as that may lapse while the store is away.
type announcement struct {
	// leftAt is when the process stated that it is leaving; zero if it did not. A leave
	// is final.
	leftAt time.Time
	// limit is the limit that it stated last, and limitAt when.
	limit   Limit
	limitAt time.Time
	// limitHops is how often the statement was forwarded until it reached this instance.
	limitHops int
}

func (a *announcement) isLeaving() bool { return !a.leftAt.IsZero() }

// lastAt returns the time of the last statement.
func (a *announcement) lastAt() time.Time {
	if a.leftAt.After(a.limitAt) {
		return a.leftAt
	}
	return a.limitAt
}

// announcementOf returns the announcement of the process, a new one if there is none.
func (r *Registry) announcementOf(p process) *announcement {
	a := r.announced[p]
	if a == nil {
		a = &announcement{}
		r.announced[p] = a
	}
	return a
}

// limitEndMaxAge is how long the end of a limit is sent to other instances. Those that
// send nothing to the endpoint have no response of their own.
const limitEndMaxAge = 5 * time.Second

// StatedLimit is the limit that an endpoint stated, sent to other instances.
type StatedLimit struct {
	IsSet bool          `cbor:"1,keyasint,omitempty"`
	Rate  float64       `cbor:"2,keyasint,omitempty"`
	Age   time.Duration `cbor:"3,keyasint"`
	// Hops is how often the statement was forwarded, this time included.
	Hops int `cbor:"4,keyasint"`
}

// observation returns what is sent to other instances; nil for nothing. A statement is
// forwarded maxHops times, as the time spent in transit does not add to its age.
func (a *announcement) observation(now time.Time) *StatedLimit {
	age := now.Sub(a.limitAt)
	if a.limitAt.IsZero() || a.limitHops >= maxHops || (!a.limit.IsSet && age > limitEndMaxAge) {
		return nil
	}
	return &StatedLimit{IsSet: a.limit.IsSet, Rate: a.limit.Rate, Age: age, Hops: a.limitHops + 1}
}

// merge applies the statement of another instance if it is newer.
func (a *announcement) merge(s StatedLimit, now time.Time) {
	if at := now.Add(-s.Age); at.After(a.limitAt) {
		a.limit, a.limitAt, a.limitHops = Limit{IsSet: s.IsSet, Rate: s.Rate}, at, s.Hops
	}
}

// ReportLimit records the limit that the endpoint stated in the response to a request
// sent at sentAt. It returns the limit before and reports whether it has changed.
//
// Responses may overtake each other. One without a limit ends the limit only if its
// request was sent after the limit was last stated.
func (r *Registry) ReportLimit(endpoint Endpoint, limit Limit, sentAt time.Time) (before Limit, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.announced[processOf(endpoint)]
	switch {
	case limit.IsSet:
		a = r.announcementOf(processOf(endpoint))
	case a == nil || !a.limit.IsSet || !sentAt.After(a.limitAt):
		return limit, false
	}
	before = a.limit
	a.limit, a.limitAt, a.limitHops = limit, time.Now(), 0
	return before, before != limit
}

// LimitedCount returns the number of registered endpoints with a limit.
func (r *Registry) LimitedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.byID {
		if e.announced.limit.IsSet {
			n++
		}
	}
	return n
}
