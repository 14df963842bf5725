package relayer

import (
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/splitter"
)

const (
	// minSteps is the number of steps by one after which a larger step of a resumption is a gap,
	// and minStepsWithin that after which one within a response is: an endpoint that numbers
	// events otherwise has shown a larger step by then.
	minSteps       = 1
	minStepsWithin = 16
	// maxNumberings limits the versions of services whose numbering is kept.
	maxNumberings = 1000
)

// numbering is what is known of how events are numbered. All that is certain is that IDs increase:
// they may count events, tokens or something else.
type numbering struct {
	// stepsByOne is the number of events that had the number after that of the event before, up
	// to minStepsWithin.
	stepsByOne     int
	hasLargerSteps bool
}

// numberings keeps the numberings of the versions of services. It is safe for concurrent use.
type numberings struct {
	mu    sync.Mutex
	known map[resumer.Origin]numbering
}

func newNumberings() *numberings { return &numberings{known: map[resumer.Origin]numbering{}} }

func (n *numberings) of(origin resumer.Origin) numbering {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known[origin]
}

// observe records a step between two events that came one after the other in a response.
func (n *numberings) observe(origin resumer.Origin, step int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.known[origin]
	switch {
	case step != 1:
		known.hasLargerSteps = true
	case known.stepsByOne < minStepsWithin:
		known.stepsByOne++
	default:
		return
	}
	if len(n.known) >= maxNumberings {
		clear(n.known)
	}
	n.known[origin] = known
}

// follow returns a follower of a response of the origin to a request for the events after last.
func (n *numberings) follow(origin resumer.Origin, last splitter.EventID) *follower {
	return &follower{numberings: n, origin: origin, last: last}
}

// sequel is what an event is to those before it.
type sequel int

const (
	// isNext: the caller gets the event next.
	isNext sequel = iota
	// isRepeated: the caller has the event.
	isRepeated
	// isBehindGap: events between the last one that the caller has and this one are missing.
	isBehindGap
)

// follower follows the events of one response.
type follower struct {
	numberings *numberings
	origin     resumer.Origin
	// last is the last event that the caller has, and previous the last one of this response.
	last, previous splitter.EventID
}

// next tells what the next event of the response is. An event without an ID belongs to the one
// before it.
func (f *follower) next(id splitter.EventID) sequel {
	if !id.IsSet {
		return isNext
	}
	known, previous := f.numberings.of(f.origin), f.previous
	f.previous = id
	if previous.IsSet && id.Number > previous.Number {
		f.numberings.observe(f.origin, id.Number-previous.Number)
	}
	switch {
	case !f.last.IsSet:
	case id.Number <= f.last.Number:
		return isRepeated
	case id.Number > f.last.Number+1 && !known.hasLargerSteps && known.stepsByOne >= minStepsFor(previous == f.last):
		return isBehindGap
	}
	f.last = id
	return isNext
}

// minStepsFor returns the number of steps by one after which a larger one is a gap. IsWithin says
// that both events are of the same response.
func minStepsFor(isWithin bool) int {
	if isWithin {
		return minStepsWithin
	}
	return minSteps
}
