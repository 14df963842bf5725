package admitter

import "time"

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

// StagePriority returns a turn's rank in the queue of its engine where programs are admitted
// by mean load; lower ranks are served first. It limits the effect of a burst of programs on
// the turns that Admit has admitted: turns of programs that can still meet their deadline
// precede those of late programs, and turns of running programs precede first turns. Turns
// that are equal in this respect are ordered by priority.
func StagePriority(priority int, first, late bool) int {
	rank := priorityBase + max(priority, 0)
	if first {
		rank += priorityFirstTurn
	}
	if late {
		rank += priorityLate
	}
	return min(rank, priorityLowest)
}

// The ranks of turns at an engine, from 0 to 9; lower ranks are served first. Requests
// of other senders have rank 5.
const (
	// rankPerPriority separates the turns of running programs by priority, so that a turn
	// of a less urgent program never precedes one of a more urgent program that is as far.
	rankPerPriority = 2
	// rankRunningLast is the last rank of running programs that can still be in time.
	rankRunningLast = 4
	// rankFirst is the rank of the first turn of a most urgent program, and rankFirstLast
	// that of others.
	rankFirst     = 5
	rankFirstLast = 6
	// rankLate is the rank of a late, most urgent program, rankLateOther that of other late
	// programs.
	rankLate      = 7
	rankLateOther = 8
	// rankLast is the rank of late programs that have not begun or that end too late to be
	// worth anything.
	rankLast = 9

	// tightSlackDivisor is the part of the remaining time on an idle engine below which
	// the slack is tight. Targets leave a slack of 0.3 to 0.5 of it at the start.
	tightSlackDivisor = 5
)

// Order is what ranks a turn at its engine.
type Order struct {
	// Priority is the account's priority, or the route's if the account has none; 0 is
	// the highest.
	Priority int
	// First is true for the first turn of a program.
	First bool
	// HasTarget is true if the program has a completion target, which is Left away;
	// negative after it.
	HasTarget bool
	Left      time.Duration
	// Rest is what the rest of the program needs on idle engines; zero if unknown.
	Rest time.Duration
	// Target is the whole time from the program's start to its target; zero if unknown.
	Target time.Duration
}

// slack returns the time left to the target beyond what the rest of the program needs.
func (o Order) slack() time.Duration { return o.Left - o.Rest }

// isLate reports whether the program cannot end within its target.
func (o Order) isLate() bool { return o.HasTarget && (o.Left <= 0 || o.slack() < 0) }

// isWorthless reports whether the program cannot end within twice its target, after which
// it counts for nothing.
func (o Order) isWorthless() bool { return o.isLate() && o.Target > 0 && o.slack()+o.Target < 0 }

// isTight reports whether the program is late soon if it waits.
func (o Order) isTight() bool { return o.HasTarget && o.slack() < o.Rest/tightSlackDivisor }

// Priority returns a turn's rank in the queue of its engine where programs are admitted by
// what they need. It limits the effect of a
// burst of programs on the turns that were admitted: programs that can still be in time
// precede late ones, and running programs precede new ones. Turns that are equal in this
// respect are ordered by priority and then by the slack of their programs.
func Priority(o Order) int {
	priority := max(o.Priority, 0)
	switch {
	case o.isWorthless() || (o.isLate() && o.First):
		return rankLast
	case o.isLate():
		return min(rankLate+priority, rankLateOther)
	case o.First:
		return min(rankFirst+priority, rankFirstLast)
	}
	rank := rankPerPriority * min(priority, rankRunningLast)
	if !o.isTight() {
		rank++
	}
	return min(rank, rankRunningLast)
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
