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
	// defaultStarvedEvery is the number of a business's dispatches of which one
	// goes to its longest waiting starved item.
	defaultStarvedEvery = 4
	// creditTokens bounds the service that a business may catch up on after a
	// time in which none of its waiting items was admissible.
	creditTokens = 65536
	// urgentTokens bounds the service by which a business's urgent items may run
	// ahead of the other businesses.
	urgentTokens = 2048
	// urgentPrecedence is the precedence whose items are urgent.
	urgentPrecedence = 0
)

// leastAttained shares service between businesses by start-time fair queueing.
// Inside a business it serves the lowest precedence first and then the program
// with the least attained service.
type leastAttained struct {
	starveAfter  time.Duration
	starvedEvery int

	entries    map[string]*entry
	businesses map[string]*lane
	// active holds the lanes that have waiting items, in no order.
	active []*lane
	// floor is the lowest tag of the active lanes at the latest call of Next.
	floor float64
	// virtual is the start tag of the item dispatched last.
	virtual  float64
	sequence uint64
}

// lane is the waiting work of one business.
type lane struct {
	business string
	// tag is the virtual time at which the lane's next item starts.
	tag float64
	// ranked is in order of precedence and attained service.
	ranked sorted
	// aged is in order of arrival.
	aged sorted
	// sinceStarved counts dispatches since a starved item had its turn.
	sinceStarved int
}

func newLeastAttained(starveAfter time.Duration, starvedEvery int) *leastAttained {
	return &leastAttained{
		starveAfter:  starveAfter,
		starvedEvery: starvedEvery,
		entries:      make(map[string]*entry),
		businesses:   make(map[string]*lane),
	}
}

// Push implements Queue.
func (q *leastAttained) Push(item Item) {
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence}
	q.entries[item.ID] = e
	l := q.lane(item.Business)
	if l.ranked.len() == 0 {
		l.tag = max(l.tag, q.virtual)
		q.active = append(q.active, l)
	}
	l.ranked.insert(e)
	l.aged.insert(e)
}

// Remove implements Queue.
func (q *leastAttained) Remove(id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	q.take(q.businesses[e.Business], e)
	return true
}

// Next implements Queue. Urgent items are asked about first, then all items
// in the order of their lanes.
func (q *leastAttained) Next(now time.Time, admissible func(Item) bool) (Item, bool) {
	q.floor = q.leastTag()
	if item, ok := q.nextUrgent(now, admissible); ok {
		return item, true
	}
	for l := range q.lanes(func(*lane) bool { return true }) {
		if e, starved := q.pick(l, now, admissible); e != nil {
			item := q.item(l, e)
			q.dispatch(l, e, starved)
			return item, true
		}
	}
	return Item{}, false
}

// lanes yields the active lanes that are kept in the order of their tags. The
// queue must not be changed before the last one that is taken.
func (q *leastAttained) lanes(keep func(l *lane) bool) iter.Seq[*lane] {
	return func(yield func(*lane) bool) {
		lanes := make([]*lane, 0, len(q.active))
		for _, l := range q.active {
			if !keep(l) {
				continue
			}
			lanes = append(lanes, l)
			if last := len(lanes) - 1; compareLanes(lanes[last], lanes[0]) < 0 {
				lanes[0], lanes[last] = lanes[last], lanes[0]
			}
		}
		if len(lanes) == 0 || !yield(lanes[0]) {
			return
		}
		// Most calls need the first lane only.
		rest := lanes[1:]
		slices.SortFunc(rest, compareLanes)
		for _, l := range rest {
			if !yield(l) {
				return
			}
		}
	}
}

// nextUrgent dispatches the first admissible urgent item.
func (q *leastAttained) nextUrgent(now time.Time, admissible func(Item) bool) (Item, bool) {
	hasUrgent := func(l *lane) bool { return q.hasUrgent(l, now) }
	for l := range q.lanes(hasUrgent) {
		for _, e := range l.ranked.all() {
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
func (q *leastAttained) hasUrgent(l *lane, now time.Time) bool {
	if !q.urgent(l, l.ranked.all()[0]) {
		return false
	}
	return !q.starvedTurn(l) || !q.starved(l.aged.all()[0], now)
}

// item returns the entry's item with Urgent set.
func (q *leastAttained) item(l *lane, e *entry) Item {
	item := e.Item
	item.Urgent = q.urgent(l, e)
	return item
}

func (q *leastAttained) urgent(l *lane, e *entry) bool {
	return e.Precedence <= urgentPrecedence && !q.ahead(l, e.Weight)
}

// ahead says whether the lane has run ahead of another one that waits.
func (q *leastAttained) ahead(l *lane, weight int) bool {
	return (l.tag-q.floor)*float64(max(weight, 1)) > urgentTokens
}

func (q *leastAttained) leastTag() float64 {
	least := math.Inf(1)
	for _, l := range q.active {
		least = min(least, l.tag)
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

func (q *leastAttained) lane(business string) *lane {
	l, ok := q.businesses[business]
	if !ok {
		l = &lane{
			business: business,
			ranked:   sorted{compare: compareRank},
			aged:     sorted{compare: compareArrival},
		}
		q.businesses[business] = l
	}
	return l
}

// pick returns the lane's first admissible entry and whether it had the turn
// kept for starved entries.
func (q *leastAttained) pick(l *lane, now time.Time, admissible func(Item) bool) (*entry, bool) {
	turn := q.starvedTurn(l)
	if turn {
		for _, e := range l.aged.all() {
			if !q.starved(e, now) {
				break
			}
			if admissible(q.item(l, e)) {
				return e, true
			}
		}
	}
	for _, e := range l.ranked.all() {
		if turn && q.starved(e, now) {
			continue
		}
		if admissible(q.item(l, e)) {
			return e, false
		}
	}
	return nil, false
}

// starvedTurn says whether the lane's next dispatch is kept for a starved item.
func (q *leastAttained) starvedTurn(l *lane) bool {
	return l.sinceStarved+1 >= q.starvedEvery
}

func (q *leastAttained) starved(e *entry, now time.Time) bool {
	return now.Sub(e.Arrived) >= q.starveAfter
}

// dispatch takes the entry out and charges its service to the lane.
func (q *leastAttained) dispatch(l *lane, e *entry, starved bool) {
	q.virtual = max(q.virtual, l.tag)
	l.tag += float64(max(e.Estimate, 1)) / float64(max(e.Weight, 1))
	l.sinceStarved++
	if starved {
		l.sinceStarved = 0
	}
	q.take(l, e)
	q.limitCredit()
}

// limitCredit raises the tags of lanes that have fallen behind the virtual
// time by more than creditTokens of service.
func (q *leastAttained) limitCredit() {
	for _, l := range q.active {
		weight := max(l.aged.all()[0].Weight, 1)
		l.tag = max(l.tag, q.virtual-creditTokens/float64(weight))
	}
}

// take removes the entry from all indexes.
func (q *leastAttained) take(l *lane, e *entry) {
	delete(q.entries, e.ID)
	l.ranked.remove(e)
	l.aged.remove(e)
	if l.ranked.len() > 0 {
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
	c := newLeastAttained(q.starveAfter, q.starvedEvery)
	c.virtual = q.virtual
	c.sequence = q.sequence
	for id, e := range q.entries {
		c.entries[id] = e
	}
	for _, l := range q.active {
		copied := *l
		copied.ranked = l.ranked.clone()
		copied.aged = l.aged.clone()
		c.businesses[l.business] = &copied
		c.active = append(c.active, &copied)
	}
	return c
}

func compareLanes(a, b *lane) int {
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.business, b.business))
}

func compareRank(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.Precedence, b.Precedence),
		cmp.Compare(a.Attained, b.Attained),
		compareArrival(a, b),
	)
}
