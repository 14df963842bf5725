package admitter

const (
	// priorityUnderWay is the rank at the engine of the most urgent route's
	// turns; the ranks go from 0 to 9, and 5 is what other senders get.
	priorityUnderWay = 2
	// priorityNew is added for the first turn of a program.
	priorityNew = 2
	// priorityLate is added for a program that is past its time.
	priorityLate = 4
	// priorityLast is the lowest rank.
	priorityLast = 9
)

// Priority returns a turn's rank in the queue of its engine, 0 first. It
// answers the same burst as Admit, inside the engine: turns of programs that
// can still end in time overtake those of programs that are late already, and
// programs under way overtake new ones. Routes keep their order among each
// other.
func Priority(routePriority int, first, late bool) int {
	rank := priorityUnderWay + max(routePriority, 0)
	if first {
		rank += priorityNew
	}
	if late {
		rank += priorityLate
	}
	return min(rank, priorityLast)
}
