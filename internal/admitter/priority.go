package admitter

const (
	// priorityBase is the rank of turns of the most urgent route. Ranks range from
	// 0 to 9; the requests of other senders have rank 5.
	priorityBase = 2
	// priorityFirstTurn is added for the first turn of a program.
	priorityFirstTurn = 2
	// priorityLate is added for a turn of a program that is past its deadline.
	priorityLate = 4
	// priorityLowest is the lowest rank.
	priorityLowest = 9
)

// Priority returns a turn's rank in the queue of its engine; lower ranks are served
// first. It limits the effect of a burst of programs on the turns that Admit has
// admitted: turns of programs that can still meet their deadline precede those of
// late programs, and turns of running programs precede first turns. Turns that
// are equal in this respect are ordered by the priority of their route.
func Priority(routePriority int, first, late bool) int {
	rank := priorityBase + max(routePriority, 0)
	if first {
		rank += priorityFirstTurn
	}
	if late {
		rank += priorityLate
	}
	return min(rank, priorityLowest)
}

// guaranteedDivisor gives the part of an account's programs that precede as those of the most
// urgent accounts do.
const guaranteedDivisor = 4

// AccountPriority returns the priority of a program of an account, given that of the account or,
// if it has none, of the route. Each fourth program of an account has the highest: the engines
// serve strictly by rank, so that an account would otherwise get nothing while more urgent ones
// fill them. Thus it is served at least a quarter as often as these, and needs no count of what
// accounts got, of which an instance sees too little in a large fleet.
func AccountPriority(priority int, programHash uint64) int {
	if programHash%guaranteedDivisor == 0 {
		return 0
	}
	return priority
}
