// Package queuer owns the order in which waiting generations are served. It
// does not own which endpoint serves them, nor budgets.
package queuer

import "time"

// Item is one generation that waits for an endpoint.
type Item struct {
	// ID is the request's id.
	ID       string
	Program  string
	Business string
	Model    string
	// Weight is the business's share.
	Weight int
	// Precedence is served lowest first.
	Precedence int
	// Attained is the service that the whole program has had, in tokens.
	Attained int
	// Estimate is the service that this generation is expected to take, in tokens.
	Estimate int
	Arrived  time.Time
	// Deadline is zero if the caller gave none.
	Deadline time.Time
	// Urgent is set by Next in the item that it asks about and returns: the item
	// has precedence 0 and its business has not run ahead of the others.
	Urgent bool
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue interface {
	// Push adds an item; the ID must not be in the queue.
	Push(item Item)
	// Remove takes out the item and says whether it was there.
	Remove(id string) bool
	// Next takes out the first item that may be served now. Admissible is asked
	// in order until it agrees; an item refused stays in its place.
	Next(now time.Time, admissible func(Item) bool) (Item, bool)
	// Position returns the item's place from 1, or 0 if it is not there.
	Position(now time.Time, id string) int
	Len() int
}
