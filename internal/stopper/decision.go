package stopper

import "time"

const (
	// margin is kept for reading the response and writing it to the caller on a loaded host.
	margin = 250 * time.Millisecond
	// spreadDivisor adds a part to the expected time: while instances stop, endpoints may be slower
	// than before.
	spreadDivisor = 4
)

// Request is what the decision uses of a request.
type Request struct {
	// Left is the time until its deadline, at which it is answered in any case.
	Left time.Duration
	// Expected is the time that such a request takes at an endpoint; zero if that is not known.
	Expected time.Duration
	// HasResponse is true if the caller has a part of the response, so that the request can't be
	// refused any more.
	HasResponse bool
}

// MaxWait returns how long the request may wait before it is passed on by an instance that
// answers for graceLeft. If it is negative, the request could not be answered in that time and
// must not be passed on, nor passed on again.
func MaxWait(r Request, graceLeft time.Duration) time.Duration {
	switch {
	case r.Left <= graceLeft:
		return max(r.Left, 0)
	case r.HasResponse:
		return max(graceLeft, 0)
	case r.Expected <= 0:
		return -1
	}
	return graceLeft - min(r.Expected+r.Expected/spreadDivisor+margin, r.Left)
}
