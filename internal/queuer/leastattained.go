package queuer

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// defaultStarveAfter bounds the wait behind precedence when the policy
	// gives none.
	defaultStarveAfter = 30 * time.Second
	// defaultStarvedInterval is the number of a business's dispatches of which one
	// goes to its longest waiting starved item.
	defaultStarvedInterval = 4
	// maxCreditTokens bounds the service that a business may catch up on after a
	// time in which none of its waiting items was admissible.
	maxCreditTokens = 65536
	// maxUrgentLeadTokens bounds the service by which a business's urgent items may run
	// ahead of the other businesses.
	maxUrgentLeadTokens = 2048
	// urgentPrecedence is the precedence whose items are urgent.
	urgentPrecedence = 0
)

// leastAttained shares service between businesses by start-time fair queueing.
// Inside a business it serves the lowest precedence first and then the program
// with the least attained service.
type leastAttained struct {
	starveAfter     time.Duration
	starvedInterval int

	entries map[string]*entry
	flows   map[string]*flow
	// active holds the lanes that have waiting items, in no order.
	active []*flow
	// minStartTag is the lowest tag of the active lanes at the latest call of Next.
	minStartTag float64
	// virtualTime is the start tag of the item dispatched last.
	virtualTime float64
	sequence    uint64
}

// flow is the waiting work of one business.
type flow struct {
	business string
	// startTag is the virtual time at which the lane's next item starts.
	startTag float64
	// byRank is in order of precedence and attained service.
	byRank sortedList
	// byArrival is in order of arrival.
	byArrival sortedList
	// dispatchesSinceStarved counts dispatches since a starved item had its turn.
	dispatchesSinceStarved int
}

func newLeastAttained(starveAfter time.Duration, starvedEvery int) *leastAttained {
	return &leastAttained{
		starveAfter:     starveAfter,
		starvedInterval: starvedEvery,
		entries:         make(map[string]*entry),
		flows:           make(map[string]*flow),
	}
}

// Push implements Queue.
func (q *leastAttained) Push(item Item) {
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence}
	q.entries[item.ID] = e
	l := q.flow(item.Business)
	if l.byRank.len() == 0 {
		l.startTag = max(l.startTag, q.virtualTime)
		q.active = append(q.active, l)
	}
	l.byRank.insert(e)
	l.byArrival.insert(e)
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

// Next implements Queue. Urgent items are asked about first, then all items
// in the order of their lanes.
func (q *leastAttained) Next(now time.Time, admissible func(Item) bool) (Item, bool) {
	q.minStartTag = q.lowestStartTag()
	if item, ok := q.nextUrgent(now, admissible); ok {
		return item, true
	}
	for l := range q.flowsByTag(func(*flow) bool { return true }) {
		if e, starved := q.selectEntry(l, now, admissible); e != nil {
			item := q.item(l, e)
			q.dispatch(l, e, starved)
			return item, true
		}
	}
	return Item{}, false
}

// flowsByTag yields the active flowsByTag that are kept in the order of their tags. The
// queue must not be changed before the last one that is taken.
func (q *leastAttained) flowsByTag(keep func(l *flow) bool) iter.Seq[*flow] {
	return func(yield func(*flow) bool) {
		lanes := make([]*flow, 0, len(q.active))
		for _, l := range q.active {
			if !keep(l) {
				continue
			}
			lanes = append(lanes, l)
			if last := len(lanes) - 1; compareFlows(lanes[last], lanes[0]) < 0 {
				lanes[0], lanes[last] = lanes[last], lanes[0]
			}
		}
		if len(lanes) == 0 || !yield(lanes[0]) {
			return
		}
		// Most calls need the first lane only.
		rest := lanes[1:]
		slices.SortFunc(rest, compareFlows)
		for _, l := range rest {
			if !yield(l) {
				return
			}
		}
	}
}

// nextUrgent dispatches the first admissible urgent item.
func (q *leastAttained) nextUrgent(now time.Time, admissible func(Item) bool) (Item, bool) {
	hasUrgent := func(l *flow) bool { return q.hasUrgent(l, now) }
	for l := range q.flowsByTag(hasUrgent) {
		for _, e := range l.byRank.all() {
			item := q.item(l, e)
			if !item.Urgent {
				break
			}
			if admissible(item) {
				q.dispatch(l, e, false)
				return item, true
			}
		}
	}
	return Item{}, false
}

// hasUrgent says whether the lane's next item is urgent and it is not the turn
// of a starved one.
func (q *leastAttained) hasUrgent(l *flow, now time.Time) bool {
	if !q.isUrgent(l, l.byRank.all()[0]) {
		return false
	}
	return !q.isStarvedTurn(l) || !q.isStarved(l.byArrival.all()[0], now)
}

// item returns the entry's item with Urgent set.
func (q *leastAttained) item(l *flow, e *entry) Item {
	item := e.Item
	item.Urgent = q.isUrgent(l, e)
	return item
}

func (q *leastAttained) isUrgent(l *flow, e *entry) bool {
	return e.Precedence <= urgentPrecedence && !q.isAhead(l, e.Weight)
}

// isAhead says whether the lane has run isAhead of another one that waits.
func (q *leastAttained) isAhead(l *flow, weight int) bool {
	return (l.startTag-q.minStartTag)*float64(max(weight, 1)) > maxUrgentLeadTokens
}

func (q *leastAttained) lowestStartTag() float64 {
	least := math.Inf(1)
	for _, l := range q.active {
		least = min(least, l.startTag)
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
	l, ok := q.flows[business]
	if !ok {
		l = &flow{
			business:  business,
			byRank:    sortedList{compare: compareRank},
			byArrival: sortedList{compare: compareArrival},
		}
		q.flows[business] = l
	}
	return l
}

// selectEntry returns the lane's first admissible entry and whether it had the turn
// kept for starved entries.
func (q *leastAttained) selectEntry(l *flow, now time.Time, admissible func(Item) bool) (*entry, bool) {
	turn := q.isStarvedTurn(l)
	if turn {
		for _, e := range l.byArrival.all() {
			if !q.isStarved(e, now) {
				break
			}
			if admissible(q.item(l, e)) {
				return e, true
			}
		}
	}
	for _, e := range l.byRank.all() {
		if turn && q.isStarved(e, now) {
			continue
		}
		if admissible(q.item(l, e)) {
			return e, false
		}
	}
	return nil, false
}

// isStarvedTurn says whether the lane's next dispatch is kept for a starved item.
func (q *leastAttained) isStarvedTurn(l *flow) bool {
	return l.dispatchesSinceStarved+1 >= q.starvedInterval
}

func (q *leastAttained) isStarved(e *entry, now time.Time) bool {
	return now.Sub(e.Arrived) >= q.starveAfter
}

// dispatch takes the entry out and charges its service to the lane.
func (q *leastAttained) dispatch(l *flow, e *entry, starved bool) {
	q.virtualTime = max(q.virtualTime, l.startTag)
	l.startTag += float64(max(e.Estimate, 1)) / float64(max(e.Weight, 1))
	l.dispatchesSinceStarved++
	if starved {
		l.dispatchesSinceStarved = 0
	}
	q.unlink(l, e)
	q.limitCredit()
}

// limitCredit raises the tags of lanes that have fallen behind the virtual
// time by more than creditTokens of service.
func (q *leastAttained) limitCredit() {
	for _, l := range q.active {
		weight := max(l.byArrival.all()[0].Weight, 1)
		l.startTag = max(l.startTag, q.virtualTime-maxCreditTokens/float64(weight))
	}
}

// unlink removes the entry from all indexes.
func (q *leastAttained) unlink(l *flow, e *entry) {
	delete(q.entries, e.ID)
	l.byRank.remove(e)
	l.byArrival.remove(e)
	if l.byRank.len() > 0 {
		return
	}
	for i, other := range q.active {
		if other == l {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			return
		}
	}
}

// clone copies all that dispatching changes.
func (q *leastAttained) clone() *leastAttained {
	c := newLeastAttained(q.starveAfter, q.starvedInterval)
	c.virtualTime = q.virtualTime
	c.sequence = q.sequence
	for id, e := range q.entries {
		c.entries[id] = e
	}
	for _, l := range q.active {
		copied := *l
		copied.byRank = l.byRank.clone()
		copied.byArrival = l.byArrival.clone()
		c.flows[l.business] = &copied
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
