package registrar

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// drawnAnywhere and drawnNear are the numbers of endpoints that are drawn at random from
	// all of a service and from those in the own data centre. The better of a few balances
	// nearly as well as the best of all, and more send more instances to the same endpoint.
	drawnAnywhere = 1
	drawnNear     = 2
	// MaxDrawn is the largest number of candidates that Draw returns: with the home and the
	// endpoint that invites.
	MaxDrawn = drawnAnywhere + drawnNear + 2
	// invitationMaxAge is how long an endpoint with free places counts as inviting.
	invitationMaxAge = 2 * time.Second
	// maxInvitations bounds the invitations of a service.
	maxInvitations = 256
	// meanMaxAge is how long a mean load is used.
	meanMaxAge = 50 * time.Millisecond
	// maxMeanPerSlot bounds the part of one load in the mean, so that one wrong figure does
	// not make all endpoints without a report look full.
	maxMeanPerSlot = 4
	// exploredShare is one in how many requests that don't use an invitation, so that
	// endpoints without requests of this instance are tried, too.
	exploredShare = 8
)

// invitation is an endpoint that had free places when a request of this instance ended
// there. The place that became free is known to this instance alone, so that the instances
// which choose at the same time choose different endpoints.
type invitation struct {
	*entry
	at time.Time
}

// serviceCentre identifies the endpoints of a service in a data centre.
type serviceCentre struct{ service, dataCentre string }

// lockedInvite records that a request was served at the endpoint.
func (r *Registry) lockedInvite(e *entry, now time.Time) {
	list := r.invitations[e.Service]
	if len(list) >= maxInvitations {
		list = append(list[:0], list[maxInvitations/2:]...)
	}
	r.invitations[e.Service] = append(list, invitation{e, now})
}

// lockedTakeInvitation returns the endpoint that invited last, one in the data centre if any;
// nil if there is none.
func (r *Registry) lockedTakeInvitation(service, dataCentre string, now time.Time) *entry {
	list := r.invitations[service]
	found := -1
	for i := len(list) - 1; i >= 0; i-- {
		if now.Sub(list[i].at) > invitationMaxAge {
			// Those before it are older.
			list = slices.Delete(list, 0, i+1)
			found -= i + 1
			break
		}
		if e := list[i].entry; r.byID[e.ID] != e || !e.accepts() || e.isAvoided(now) {
			continue
		}
		if list[i].DataCentre == dataCentre {
			found = i
			break
		}
		if found < 0 {
			found = i
		}
	}
	r.invitations[service] = list
	if found < 0 {
		return nil
	}
	e := list[found].entry
	r.invitations[service] = slices.Delete(list, found, found+1)
	return e
}

// lockedDropInvitations drops the invitations of endpoints that are no longer registered, and of
// services without requests.
func (r *Registry) lockedDropInvitations() {
	for service, list := range r.invitations {
		list = slices.DeleteFunc(list, func(i invitation) bool {
			return r.byID[i.ID] != i.entry || time.Since(i.at) > invitationMaxAge
		})
		if r.invitations[service] = list; len(list) == 0 {
			delete(r.invitations, service)
		}
	}
}

// Draw appends a few candidates of the service to the buffer: the home if it is one, an
// endpoint that invites, and, unless that is in the data centre, endpoints drawn at random.
// It takes the same time for any number of endpoints.
func (r *Registry) Draw(buffer []Candidate, service, home, dataCentre string) []Candidate {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[home]; e != nil && e.Service == service && e.accepts() {
		buffer = append(buffer, r.lockedExpected(e, now))
	}
	if rand.IntN(exploredShare) != 0 {
		if e := r.lockedTakeInvitation(service, dataCentre, now); e != nil {
			c := r.lockedExpected(e, now)
			c.IsInviting = true
			if buffer = append(buffer, c); e.DataCentre == dataCentre {
				return buffer
			}
		}
	}
	buffer = r.lockedDrawFrom(buffer, r.services[service], drawnAnywhere, now)
	return r.lockedDrawFrom(buffer, r.centres[serviceCentre{service, dataCentre}], drawnNear, now)
}

// lockedDrawFrom appends up to n candidates that are drawn at random from the endpoints.
func (r *Registry) lockedDrawFrom(buffer []Candidate, endpoints []*entry, n int, now time.Time) []Candidate {
	if len(endpoints) == 0 {
		return buffer
	}
	// Endpoints that leave or are avoided are drawn in vain.
	for range 2 * n {
		e := endpoints[rand.IntN(len(endpoints))]
		if !e.accepts() || e.isAvoided(now) {
			continue
		}
		buffer = append(buffer, r.lockedExpected(e, now))
		if n--; n == 0 {
			break
		}
	}
	return buffer
}

// lockedExpected returns the endpoint as a candidate whose load contains the requests that
// are known to have begun or ended since the report. An endpoint without a report counts as
// loaded as its service's endpoints are on average.
func (r *Registry) lockedExpected(e *entry, now time.Time) Candidate {
	c := e.candidate(now)
	c.Speed = e.speed(now)
	if c.Age < 0 {
		c.Load = max(c.Load, r.lockedMeanLoad(e.Service, now))
		return c
	}
	e.trim(e.reportedAt, now)
	c.Load = max(float64(e.load.Running+e.load.Waiting+e.sum()), float64(e.outstanding))
	return c
}

// meanLoad is the mean of the known loads of a service at a time.
type meanLoad struct {
	load float64
	at   time.Time
}

// lockedMeanLoad returns the mean of the known loads of the service, which may be old by
// meanMaxAge.
func (r *Registry) lockedMeanLoad(service string, now time.Time) float64 {
	if m, isKnown := r.means[service]; isKnown && now.Sub(m.at) <= meanMaxAge {
		return m.load
	}
	sum, known := 0, 0
	for _, e := range r.services[service] {
		if now.Sub(e.reportedAt) <= loadMaxAge {
			sum += min(e.load.Running+e.load.Waiting, maxMeanPerSlot*max(e.Slots, 1))
			known++
		}
	}
	m := meanLoad{load: float64(sum) / float64(max(known, 1)), at: now}
	r.means[service] = m
	return m.load
}
