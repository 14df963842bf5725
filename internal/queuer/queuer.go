// Package queuer orders the generations that wait for an endpoint. The caller
// decides which endpoint serves a generation and whether a budget allows it.
package queuer

import "time"

// Item is one generation that waits for an endpoint.
type Item struct {
	// ID is the request's id.
	ID       string
	Program  string
	Business string
	Model    string
	// Weight is the business's share of the service relative to other businesses.
	Weight int
	// Precedence orders the items of a business; the lowest value is served first.
	Precedence int
	// Attained is the service that the program has received so far, in tokens.
	Attained int
	// Estimate is the expected service of this generation, in tokens.
	Estimate int
	Arrived  time.Time
	// Deadline is zero if the caller set none.
	Deadline time.Time
	// Urgent is set by Next in the items that it passes to admissible and returns:
	// the item has precedence 0 or lower and its business is not too far ahead of
	// its share.
	Urgent bool
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue interface {
	// Push adds an item; the ID must not be in the queue.
	Push(item Item)
	// Remove removes the item and reports whether it was in the queue.
	Remove(id string) bool
	// Next removes and returns the first admissible item. It calls admissible for
	// the items in order until that returns true; the items for which it returns
	// false keep their position.
	Next(now time.Time, admissible func(Item) bool) (Item, bool)
	// Position returns the item's position from 1, or 0 if it is not in the queue.
	Position(now time.Time, id string) int
	Len() int
}
