package queuer

import "time"

// singleQueue keeps the items of all businesses in one order, regardless of
// weights.
type singleQueue struct {
	entries map[string]*entry
	order   sortedList
	// sequence numbers the items in the order of Push.
	sequence uint64
}

func newSingleQueue(compare func(a, b *entry) int) *singleQueue {
	return &singleQueue{
		entries: make(map[string]*entry),
		order:   sortedList{compare: compare},
	}
}

// Push implements Queue.
func (q *singleQueue) Push(item Item) {
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence}
	q.entries[item.ID] = e
	q.order.insert(e)
}

// Remove implements Queue.
func (q *singleQueue) Remove(id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	delete(q.entries, id)
	q.order.remove(e)
	return true
}

// Next implements Queue.
func (q *singleQueue) Next(_ time.Time, admissible func(Item) bool) (Item, bool) {
	for _, e := range q.order.all() {
		if admissible(e.Item) {
			q.Remove(e.ID)
			return e.Item, true
		}
	}
	return Item{}, false
}

// Position implements Queue.
func (q *singleQueue) Position(_ time.Time, id string) int {
	for i, e := range q.order.all() {
		if e.ID == id {
			return i + 1
		}
	}
	return 0
}

// Len implements Queue.
func (q *singleQueue) Len() int { return len(q.entries) }
