package queuer

import "time"

// single keeps all businesses in one order and knows no shares.
type single struct {
	entries map[string]*entry
	order   sorted
	// sequence breaks ties between items that arrived together.
	sequence uint64
}

func newSingle(compare func(a, b *entry) int) *single {
	return &single{
		entries: make(map[string]*entry),
		order:   sorted{compare: compare},
	}
}

// Push implements Queue.
func (q *single) Push(item Item) {
	q.sequence++
	e := &entry{Item: item, sequence: q.sequence}
	q.entries[item.ID] = e
	q.order.insert(e)
}

// Remove implements Queue.
func (q *single) Remove(id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	delete(q.entries, id)
	q.order.remove(e)
	return true
}

// Next implements Queue.
func (q *single) Next(_ time.Time, admissible func(Item) bool) (Item, bool) {
	for _, e := range q.order.all() {
		if admissible(e.Item) {
			q.Remove(e.ID)
			return e.Item, true
		}
	}
	return Item{}, false
}

// Position implements Queue.
func (q *single) Position(_ time.Time, id string) int {
	for i, e := range q.order.all() {
		if e.ID == id {
			return i + 1
		}
	}
	return 0
}

// Len implements Queue.
func (q *single) Len() int { return len(q.entries) }
