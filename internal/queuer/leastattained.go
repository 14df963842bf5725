package queuer

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// defaultStarveAfter is the wait after which an item counts as starved if the
	// policy sets none.
	defaultStarveAfter = 30 * time.Second
	// defaultStarvedInterval is the number of a business's dispatches of which one
	// is reserved for its longest waiting starved item.
	defaultStarvedInterval = 4
	// maxCreditTokens bounds the service that a business is owed after a time in
	// which none of its waiting items was admissible.
	maxCreditTokens = 65536
	// maxUrgentLeadTokens bounds the service by which urgent items may put a
	// business ahead of its share.
	maxUrgentLeadTokens = 2048
	// urgentPrecedence is the highest precedence value of urgent items.
	urgentPrecedence = 0
)

// leastAttained shares the service between businesses by start-time fair
// queueing; each business is one flow. Within a business it serves the lowest
// precedence first, and within a precedence the program with the least attained
// service.
type leastAttained struct {
	starveAfter     time.Duration
	starvedInterval int

	entries map[string]*entry
	flows   map[string]*flow
	// active holds the flows that have waiting items, in no order.
	active []*flow
	// minStartTag is the lowest start tag of the active flows at the latest call
	// of Next.
	minStartTag float64
	// virtualTime is the highest start tag of the items dispatched so far.
	virtualTime float64
	// sequence numbers the items in the order of Push.
	sequence uint64
}

// flow holds the waiting items of one business.
type flow struct {
	business string
	// startTag is the virtual time at which the flow's next item starts.
	startTag float64
	// byRank orders the items by precedence, then by attained service.
	byRank sortedList
	// byArrival orders the items by arrival.
	byArrival sortedList
	// dispatchesSinceStarved counts the dispatches since the last one reserved for
	// starved items.
	dispatchesSinceStarved int
}

func newLeastAttained(starveAfter time.Duration, starvedInterval int) *leastAttained {
	return &leastAttained{
		starveAfter:     starveAfter,
		starvedInterval: starvedInterval,
		entries:         make(map[string]*entry),
		flows:           make(map[string]*flow),
	}
}

// Push implements Queue.
func (q *leastAttained) Push(item Item) {
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence}
	q.entries[item.ID] = e
	f := q.flow(item.Business)
	if f.byRank.len() == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		q.active = append(q.active, f)
	}
	f.byRank.insert(e)
	f.byArrival.insert(e)
}

// Remove implements Queue.
func (q *leastAttained) Remove(id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	q.unlink(q.flows[e.Business], e)
	return true
}

// Next implements Queue. It considers urgent items first, then all items in the
// order of their flows' start tags.
func (q *leastAttained) Next(now time.Time, admissible func(Item) bool) (Item, bool) {
	q.minStartTag = q.lowestStartTag()
	if item, ok := q.nextUrgent(now, admissible); ok {
		return item, true
	}
	for f := range q.flowsByTag(func(*flow) bool { return true }) {
		if e, starved := q.selectEntry(f, now, admissible); e != nil {
			item := q.item(f, e)
			q.dispatch(f, e, starved)
			return item, true
		}
	}
	return Item{}, false
}

// flowsByTag yields the active flows for which keep returns true, in the order of
// their start tags. After changing the queue, the caller must stop the iteration.
func (q *leastAttained) flowsByTag(keep func(f *flow) bool) iter.Seq[*flow] {
	return func(yield func(*flow) bool) {
		flows := make([]*flow, 0, len(q.active))
		for _, f := range q.active {
			if !keep(f) {
				continue
			}
			flows = append(flows, f)
			if last := len(flows) - 1; compareFlows(flows[last], flows[0]) < 0 {
				flows[0], flows[last] = flows[last], flows[0]
			}
		}
		if len(flows) == 0 || !yield(flows[0]) {
			return
		}
		// Most calls need only the first flow, so sorting the others is deferred.
		rest := flows[1:]
		slices.SortFunc(rest, compareFlows)
		for _, f := range rest {
			if !yield(f) {
				return
			}
		}
	}
}

// nextUrgent dispatches the first admissible urgent item.
func (q *leastAttained) nextUrgent(now time.Time, admissible func(Item) bool) (Item, bool) {
	hasUrgent := func(f *flow) bool { return q.hasUrgent(f, now) }
	for f := range q.flowsByTag(hasUrgent) {
		for _, e := range f.byRank.all() {
			item := q.item(f, e)
			if !item.Urgent {
				break
			}
			if admissible(item) {
				q.dispatch(f, e, false)
				return item, true
			}
		}
	}
	return Item{}, false
}

// hasUrgent reports whether the first item of f is urgent and its next dispatch
// is not due to a starved item.
func (q *leastAttained) hasUrgent(f *flow, now time.Time) bool {
	if !q.isUrgent(f, f.byRank.all()[0]) {
		return false
	}
	return !q.isStarvedTurn(f) || !q.isStarved(f.byArrival.all()[0], now)
}

// item returns a copy of the entry's item with Urgent filled in.
func (q *leastAttained) item(f *flow, e *entry) Item {
	item := e.Item
	item.Urgent = q.isUrgent(f, e)
	return item
}

func (q *leastAttained) isUrgent(f *flow, e *entry) bool {
	return e.Precedence <= urgentPrecedence && !q.isAhead(f, e.Weight)
}

// isAhead reports whether f has received more than maxUrgentLeadTokens of service
// beyond the active flow with the lowest start tag.
func (q *leastAttained) isAhead(f *flow, weight int) bool {
	return (f.startTag-q.minStartTag)*float64(max(weight, 1)) > maxUrgentLeadTokens
}

func (q *leastAttained) lowestStartTag() float64 {
	least := math.Inf(1)
	for _, f := range q.active {
		least = min(least, f.startTag)
	}
	return least
}

// Position implements Queue.
func (q *leastAttained) Position(now time.Time, id string) int {
	if _, ok := q.entries[id]; !ok {
		return 0
	}
	trial := q.clone()
	for position := 1; ; position++ {
		item, _ := trial.Next(now, func(Item) bool { return true })
		if item.ID == id {
			return position
		}
	}
}

// Len implements Queue.
func (q *leastAttained) Len() int { return len(q.entries) }

func (q *leastAttained) flow(business string) *flow {
	f, ok := q.flows[business]
	if !ok {
		f = &flow{
			business:  business,
			byRank:    sortedList{compare: compareRank},
			byArrival: sortedList{compare: compareArrival},
		}
		q.flows[business] = f
	}
	return f
}

// selectEntry returns the first admissible entry of f, or nil, and whether it was
// selected as a starved entry.
func (q *leastAttained) selectEntry(f *flow, now time.Time, admissible func(Item) bool) (*entry, bool) {
	turn := q.isStarvedTurn(f)
	if turn {
		for _, e := range f.byArrival.all() {
			if !q.isStarved(e, now) {
				break
			}
			if admissible(q.item(f, e)) {
				return e, true
			}
		}
	}
	for _, e := range f.byRank.all() {
		if turn && q.isStarved(e, now) {
			continue
		}
		if admissible(q.item(f, e)) {
			return e, false
		}
	}
	return nil, false
}

// isStarvedTurn reports whether the next dispatch of f is reserved for a starved
// item.
func (q *leastAttained) isStarvedTurn(f *flow) bool {
	return f.dispatchesSinceStarved+1 >= q.starvedInterval
}

func (q *leastAttained) isStarved(e *entry, now time.Time) bool {
	return now.Sub(e.Arrived) >= q.starveAfter
}

// dispatch removes the entry and charges its estimated service to f.
func (q *leastAttained) dispatch(f *flow, e *entry, starved bool) {
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += float64(max(e.Estimate, 1)) / float64(max(e.Weight, 1))
	f.dispatchesSinceStarved++
	if starved {
		f.dispatchesSinceStarved = 0
	}
	q.unlink(f, e)
	q.limitCredit()
}

// limitCredit raises the start tags of flows that are behind the virtual time by
// more than maxCreditTokens of service.
func (q *leastAttained) limitCredit() {
	for _, f := range q.active {
		weight := max(f.byArrival.all()[0].Weight, 1)
		f.startTag = max(f.startTag, q.virtualTime-maxCreditTokens/float64(weight))
	}
}

// unlink removes the entry from all indexes, and f from active if it was the last.
func (q *leastAttained) unlink(f *flow, e *entry) {
	delete(q.entries, e.ID)
	f.byRank.remove(e)
	f.byArrival.remove(e)
	if f.byRank.len() > 0 {
		return
	}
	for i, other := range q.active {
		if other == f {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			return
		}
	}
}

// clone returns a copy that Next can be called on without changing q.
func (q *leastAttained) clone() *leastAttained {
	c := newLeastAttained(q.starveAfter, q.starvedInterval)
	c.virtualTime = q.virtualTime
	c.sequence = q.sequence
	for id, e := range q.entries {
		c.entries[id] = e
	}
	for _, f := range q.active {
		copied := *f
		copied.byRank = f.byRank.clone()
		copied.byArrival = f.byArrival.clone()
		c.flows[f.business] = &copied
		c.active = append(c.active, &copied)
	}
	return c
}

func compareFlows(a, b *flow) int {
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.business, b.business))
}

func compareRank(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.Precedence, b.Precedence),
		cmp.Compare(a.Attained, b.Attained),
		compareArrival(a, b),
	)
}
