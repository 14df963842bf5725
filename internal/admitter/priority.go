package admitter

const (
	// priorityUnderWay is the rank at the engine of the most urgent route's
	// turns; the ranks go from 0 to 9, and 5 is what other senders get.
	priorityUnderWay = 2
	// priorityNew is added for the first turn of a program.
	priorityNew = 3
	// priorityLast is the lowest rank.
	priorityLast = 9
)

// Priority returns a turn's rank in the queue of its engine, 0 first. It
// answers the same burst as Admit, inside the engine: turns of programs under
// way overtake first turns, and routes keep their order among each other.
func Priority(routePriority int, first bool) int {
	rank := priorityUnderWay + max(routePriority, 0)
	if first {
		rank += priorityNew
	}
	return min(rank, priorityLast)
}
