package queuer

import (
	"cmp"
	"slices"
)

// entry is an item and its sequence number, which breaks ties between items that
// arrived at the same time.
type entry struct {
	Item
	sequence uint64
}

// sortedList keeps entries in a total order. Removing the first entry moves no
// others; inserting takes a binary search and moves the entries behind.
type sortedList struct {
	compare func(a, b *entry) int
	entries []*entry
}

func (s *sortedList) len() int { return len(s.entries) }

// all returns the entries in order; the slice is valid until the next change.
func (s *sortedList) all() []*entry { return s.entries }

func (s *sortedList) insert(e *entry) {
	i, _ := slices.BinarySearchFunc(s.entries, e, s.compare)
	s.entries = slices.Insert(s.entries, i, e)
}

func (s *sortedList) remove(e *entry) {
	i, ok := slices.BinarySearchFunc(s.entries, e, s.compare)
	if !ok {
		return
	}
	if i == 0 {
		s.entries[0] = nil
		s.entries = s.entries[1:]
		return
	}
	s.entries = slices.Delete(s.entries, i, i+1)
}

func (s *sortedList) clone() sortedList {
	return sortedList{compare: s.compare, entries: slices.Clone(s.entries)}
}

func compareArrival(a, b *entry) int {
	return cmp.Or(
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.sequence, b.sequence),
	)
}

func compareEstimate(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.Estimate, b.Estimate), compareArrival(a, b))
}
