// Package evictor owns the decision whether the cache entries of a program
// that pauses between two turns are kept or dropped. It does not own the
// entries, the orders to release them, nor the load figures it is given.
package evictor

import "time"

// Decision says what to do with the cache entries of a paused program.
type Decision int

const (
	// Keep leaves the entries to the engine.
	Keep Decision = iota
	// Drop releases them.
	Drop
)

const (
	// minDropPressure is the share of an engine's cache in use above which entries
	// may be dropped.
	minDropPressure = 0.9
	// pauseSmoothing is the weight of the latest pause in an agent's mean.
	pauseSmoothing = 0.1
)

// Evictor learns how long the programs of each agent pause. It is not safe for
// concurrent use.
type Evictor struct {
	meanPause   map[string]time.Duration
	pausedSince map[string]time.Time
}

// New returns an Evictor that has seen no pause.
func New() *Evictor {
	return &Evictor{
		meanPause:   make(map[string]time.Duration),
		pausedSince: make(map[string]time.Time),
	}
}

// TurnEnded notes that a turn of the program has ended.
func (e *Evictor) TurnEnded(now time.Time, program string) { e.pausedSince[program] = now }

// TurnArrived notes that the next turn of the program has arrived.
func (e *Evictor) TurnArrived(now time.Time, program, agent string) {
	since, ok := e.pausedSince[program]
	if !ok {
		return
	}
	delete(e.pausedSince, program)
	pause := now.Sub(since)
	mean, known := e.meanPause[agent]
	if !known {
		mean = pause
	}
	e.meanPause[agent] = mean + time.Duration(pauseSmoothing*float64(pause-mean))
}

// ProgramEnded forgets the program.
func (e *Evictor) ProgramEnded(program string) { delete(e.pausedSince, program) }

// Decide says whether to keep the entries of a program of the agent on an
// engine. Pressure is the share of the engine's cache in use; residence is how long
// the engine has lately kept entries that were not used, zero if it evicted
// none. Entries are dropped if the engine would evict them before the program
// is expected back.
func (e *Evictor) Decide(agent string, pressure float64, residence time.Duration) Decision {
	pause, known := e.meanPause[agent]
	if !known || residence <= 0 || pressure < minDropPressure || pause <= residence {
		return Keep
	}
	return Drop
}
