package relayer

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// roomInterval is the time between two searches for an endpoint that is not full, and
	// maxRoomWait limits the wait for one. A full queue of 24 requests before 6 slots empties
	// within four times the time of a call.
	roomInterval = 20 * time.Millisecond
	maxRoomWait  = 500 * time.Millisecond
	// fullReturnAfter is the least Retry-After time of a call that met full queues only.
	fullReturnAfter = 100 * time.Millisecond
	// noPriority leaves the priority of a request to its endpoint.
	noPriority = -1
)

// errEndpointsFull means that all endpoints would shed the request.
var errEndpointsFull = eris.New("the queues of all endpoints are full")

// awaitRoom returns the candidates for a call that are not known to be full. If all are, it
// waits for one: a program under way whose call is refused has wasted the room that it took.
// After that a safe call goes to any of them, as it may be sent again if it is shed, and an
// unsafe one is refused.
func (x *exchange) awaitRoom(excluded map[string]bool) ([]registrar.Candidate, error) {
	deadline := time.Now().Add(x.limitWait(min(maxRoomWait, x.timeLeft()/permitWaitDivisor)))
	for {
		all := x.candidates(excluded)
		if !x.Policy.ByNeed {
			return all, nil
		}
		if rest := slices.DeleteFunc(slices.Clone(all), func(c registrar.Candidate) bool { return c.IsFull }); len(rest) > 0 || len(all) == 0 {
			return rest, nil
		}
		if !time.Now().Before(deadline) {
			if x.route.Kind == matcher.Safe {
				return all, nil
			}
			return nil, errEndpointsFull
		}
		timer := time.NewTimer(roomInterval)
		select {
		case <-timer.C:
		case <-x.ctx.Done():
			timer.Stop()
			return nil, errNoCandidate
		}
	}
}

// callPriority returns the rank of a call at its endpoint. Calls of programs under way have that
// of the program's turns, those outside programs none. The route of a call says nothing of the
// urgency of the program, which is that of its account.
func (x *exchange) callPriority() int {
	if !x.Policy.ByNeed || x.call.Program == "" {
		return noPriority
	}
	left, isStated := x.target()
	if !isStated {
		return noPriority
	}
	o := admitter.Order{HasTarget: true, Left: left}
	if x.account != nil && x.account.HasPriority {
		o.Priority = x.account.Priority
	}
	return admitter.Priority(o)
}
