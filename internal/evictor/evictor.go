// Package evictor decides whether an engine keeps or drops the cache entries of
// a program that pauses between two turns. Callers report the turns, pass in the
// load figures and release the entries.
package evictor

import "time"

// Decision says what to do with the cache entries of a paused program.
type Decision int

const (
	// Keep leaves the entries in the engine's cache.
	Keep Decision = iota
	// Drop releases the entries.
	Drop
)

const (
	// minDropPressure is the share of an engine's cache in use from which entries
	// may be dropped.
	minDropPressure = 0.9
	// pauseSmoothing is the weight of the latest pause in an agent's moving average.
	pauseSmoothing = 0.1
)

// Evictor tracks how long the programs of each agent pause. It is not safe for
// concurrent use.
type Evictor struct {
	meanPause   map[string]time.Duration // by agent
	pausedSince map[string]time.Time     // by program
}

// New returns an Evictor without any recorded pause.
func New() *Evictor {
	return &Evictor{
		meanPause:   make(map[string]time.Duration),
		pausedSince: make(map[string]time.Time),
	}
}

// TurnEnded records the start of a pause: a turn of the program has ended.
func (e *Evictor) TurnEnded(now time.Time, program string) { e.pausedSince[program] = now }

// TurnArrived records the end of a pause: the next turn of the program has
// arrived. It does nothing if the program was not paused.
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

// ProgramEnded removes the program; its last pause is not counted.
func (e *Evictor) ProgramEnded(program string) { delete(e.pausedSince, program) }

// Decide returns whether an engine should keep the entries of a paused program
// of the agent. Pressure is the share of the engine's cache in use. Residence is
// the recent time from the last use of an entry to its eviction, zero if the
// engine evicted none. Entries are dropped if the engine is expected to evict
// them before the next turn arrives.
func (e *Evictor) Decide(agent string, pressure float64, residence time.Duration) Decision {
	pause, known := e.meanPause[agent]
	if !known || residence <= 0 || pressure < minDropPressure || pause <= residence {
		return Keep
	}
	return Drop
}
