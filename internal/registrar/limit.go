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
	a.limit, a.limitAt = limit, time.Now()
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
