package relayer

import (
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

const (
	// maxDenials is the number of endpoints that may deny a request a permit before it
	// goes to one without a limit.
	maxDenials = 2
	// maxPermitWait limits the wait of a request for a permit if no endpoint can take it
	// at once, and maxFirstPermitWait that of the first turn of a program. The difference
	// leaves the permits to programs under way when there are not enough for all.
	maxPermitWait      = time.Second
	maxFirstPermitWait = 150 * time.Millisecond
	// permitWaitDivisor limits the wait to a part of the time until the deadline.
	permitWaitDivisor = 3
	// permitReturnSpread is the interval over which callers return for whom there was no
	// permit.
	permitReturnSpread = 700 * time.Millisecond
)

var (
	// errNoCandidate means that no endpoint accepts the request.
	errNoCandidate = eris.New("no endpoint accepts requests")
	// errQuarantined means that the request crashed endpoints and is not sent to others.
	errQuarantined = eris.New("endpoints crashed under the request")
	// errNoPermit means that all endpoints have a limit, and that it is used up for longer
	// than the request can wait.
	errNoPermit = eris.New("the limits of all endpoints are used up")
)

// place selects one of the candidates with the function and gets a permit for it if it has
// a limit. If none without a limit is left, it waits for a permit for up to maxWait.
func (x *exchange) place(candidates []registrar.Candidate, maxWait time.Duration, choose func([]registrar.Candidate) int) (registrar.Candidate, error) {
	maxWait = x.limitWait(min(maxWait, x.timeLeft()/permitWaitDivisor))
	var soonest registrar.Candidate
	soonestWait, denials := time.Duration(-1), 0
	for {
		i := choose(candidates)
		if i < 0 {
			break
		}
		c := candidates[i]
		if !c.Limit.IsSet {
			return c, nil
		}
		wait, isGranted := x.Permits.Permit(x.ctx, c, 0)
		if isGranted {
			return c, nil
		}
		if soonestWait < 0 || wait < soonestWait {
			soonest, soonestWait = c, wait
		}
		denials++
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(other registrar.Candidate) bool {
			return other.ID == c.ID || (denials >= maxDenials && other.Limit.IsSet)
		})
	}
	if soonestWait < 0 {
		return registrar.Candidate{}, errNoCandidate
	}
	wait, isGranted := soonestWait, false
	if maxWait > 0 {
		wait, isGranted = x.Permits.Permit(x.ctx, soonest, maxWait)
	}
	x.access.permitWait = wait
	if !isGranted {
		return registrar.Candidate{}, errNoPermit
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return soonest, nil
	case <-x.ctx.Done():
		return registrar.Candidate{}, errNoCandidate
	}
}

// placeCall places a call to a plain service.
func (x *exchange) placeCall(fleet chooser.Fleet, excluded map[string]bool) (registrar.Candidate, error) {
	hasObject := x.call.Object != "" && x.route.SessionAffinity
	if !hasObject {
		if c, isPlaced := x.placeSoonest(x.work(), nil, excluded); isPlaced {
			return c, nil
		}
	}
	candidates, err := x.awaitRoom(excluded)
	if err != nil {
		return registrar.Candidate{}, err
	}
	return x.place(candidates, maxPermitWait, func(candidates []registrar.Candidate) int {
		if x.suspicion().Crashes > 0 {
			return chooser.ForSuspect(x.request().Key.String(), candidates)
		}
		if hasObject {
			if i := chooser.ForObject(x.call.Object, candidates); i >= 0 {
				return i
			}
		}
		return chooser.ForCall(x.call.ID, fleet, candidates)
	})
}

// refuseQuarantined refuses a request that crashed endpoints. It did not run in this attempt.
func (x *exchange) refuseQuarantined(left time.Duration) {
	x.access.key = x.request().Key.String()
	x.refuse(answerer.New(answerer.Quarantined, "endpoints crashed while they ran this request; it is not sent to others for a time").WithRetryAfter(left), "Quarantined")
}

// refuseUnplaced refuses a request for which no endpoint was found and that no attempt may
// have run.
func (x *exchange) refuseUnplaced(cause error) {
	if errors.Is(cause, errStopping) || x.isAnswerTimeOver() {
		x.refuseStopping()
		return
	}
	if errors.Is(cause, errQuarantined) {
		x.refuseQuarantined(x.suspicion().Left)
		return
	}
	if errors.Is(cause, errNoPermit) {
		after := x.access.permitWait + time.Duration(randomFraction()*float64(permitReturnSpread))
		x.refuse(answerer.Wrap(answerer.Overloaded, cause, "the endpoints take no more requests").WithRetryAfter(min(after, x.timeLeft()/3)), "EndpointLimits")
		return
	}
	if errors.Is(cause, errEndpointsFull) {
		after := fullReturnAfter + time.Duration(randomFraction()*float64(permitReturnSpread))
		x.refuse(answerer.Wrap(answerer.NoEndpoint, cause, "the queues of all endpoints are full").WithRetryAfter(min(after, x.timeLeft()/3)), "EndpointsFull")
		return
	}
	x.refuse(answerer.Wrap(answerer.NoEndpoint, cause, "no endpoint accepted the request").WithRetryAfter(min(shortRetryAfter, x.timeLeft()/3)), "NoEndpoint")
}
