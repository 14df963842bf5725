package relayer

import (
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/splitter"
)

// maxNumberings limits the versions of services whose numbering is kept.
const maxNumberings = 1000

// numbering is what is known of how events are numbered. All that is certain is that IDs increase:
// they may count events, tokens or something else. Zero means that nothing is known.
type numbering int

const (
	// isByOne: each event had the number after that of the event before.
	isByOne numbering = iota + 1
	// hasLargerSteps: numbers also step by more than one, so that no step shows a gap.
	hasLargerSteps
)

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
	observed := isByOne
	if step != 1 {
		observed = hasLargerSteps
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known[origin] >= observed {
		return
	}
	if len(n.known) >= maxNumberings {
		clear(n.known)
	}
	n.known[origin] = observed
}

// follow returns a follower of a response of the origin to a request for the events after last.
func (n *numberings) follow(origin resumer.Origin, last splitter.EventID) *follower {
	return &follower{numberings: n, origin: origin, last: last, hasPassed: !last.IsSet}
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
	// isBehind is set while the response repeats events before the last one, and hasPassed once
	// it has brought a further one. From then on, it arrives as it is.
	isBehind, hasPassed bool
}

// next tells what the next event of the response is. An event without an ID belongs to the one
// before it.
func (f *follower) next(id splitter.EventID) sequel {
	if !id.IsSet {
		if f.isBehind {
			return isRepeated
		}
		return isNext
	}
	f.isBehind = false
	previous := f.previous
	f.previous = id
	if previous.IsSet && previous.Text == "" && id.Text == "" && id.Number > previous.Number {
		f.numberings.observe(f.origin, id.Number-previous.Number)
	}
	switch {
	case !f.last.IsSet:
	case !f.hasPassed && id == f.last:
		return isRepeated
	case id.Text != "" || f.last.Text != "":
		// Texts have no order.
	case !f.hasPassed && id.Number < f.last.Number:
		f.isBehind = true
		return isRepeated
	case !f.hasPassed && previous != f.last && id.Number > f.last.Number+1 && f.numberings.of(f.origin) == isByOne:
		return isBehindGap
	}
	f.last, f.hasPassed = id, true
	return isNext
}
