package tunneler

import (
	"errors"
	"fmt"
)

// minWitnesses is the number of instances, including this one, that an endpoint must refuse for
// its end if no other instance is left to ask.
const minWitnesses = 2

// errRelayEnded means that the relay itself refuses connections.
var errRelayEnded = errors.New("the relay has ended")

// someRefused is the error of a tunnel if the endpoint refuses some relays and none reached it.
type someRefused struct {
	// asked is the number of relays, refusals of them were refused and ended have ended.
	asked, refusals, ended int
}

// Error implements error.
func (e *someRefused) Error() string {
	return fmt.Sprintf("%d of %d relays were refused, %d have ended, the others don't reach the endpoint", e.refusals, e.asked, e.ended)
}

// isEnd reports whether the endpoint's process has ended; isRefused tells whether the endpoint
// refuses this instance, too. It has if it refuses as many instances as show it with relays alone,
// or all that are left.
func (e *someRefused) isEnd(isRefused bool) bool {
	witnesses := e.refusals
	if isRefused {
		witnesses++
	}
	return witnesses >= maxRefusals || (witnesses >= minWitnesses && e.refusals+e.ended == e.asked)
}
