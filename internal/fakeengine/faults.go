package fakeengine

import "time"

// Faults sets how the engine fails from now on.
type Faults struct {
	// Slow multiplies the time of each step; zero means one.
	Slow float64
	// Silent accepts requests of every kind and never answers.
	Silent bool
	// Refuse answers generations with 503 before they are run.
	Refuse bool
	// Drop closes the connection after a generation's request was read.
	Drop bool
	// Cross answers a generation with the id of another one.
	Cross bool
	// CutAfter closes the connection after this many tokens; zero never does.
	CutAfter int
	// StallAfter sends nothing more after this many tokens and leaves the
	// connection open; zero never does.
	StallAfter int
	// DropReports closes the connection of load, holdings and event requests.
	DropReports bool
	// LoseReleases closes the connection of a release without carrying it out.
	LoseReleases bool
	// LoseOrders carries out orders and closes their connection unanswered.
	LoseOrders bool
	// Times bounds the generations that Refuse, Drop, Cross, CutAfter and
	// StallAfter strike; zero means no bound.
	Times int
}

// slowed returns the time of a step under the faults.
func (f Faults) slowed(d time.Duration) time.Duration {
	if f.Slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.Slow)
}

// strikes says whether a generation is struck by any fault that Times bounds.
func (f Faults) strikes() bool {
	return f.Refuse || f.Drop || f.Cross || f.CutAfter > 0 || f.StallAfter > 0
}

// healed returns the faults without those that Times bounds.
func (f Faults) healed() Faults {
	f.Refuse, f.Drop, f.Cross = false, false, false
	f.CutAfter, f.StallAfter, f.Times = 0, 0, 0
	return f
}

// SetFaults sets how the engine fails from now on.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.log.Log(FaultsSet, "Engine", e.name, "Faults", faults)
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeFaults returns the faults for one generation and counts it against Times.
func (e *Engine) takeFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	taken := e.faults
	if taken.Times == 0 || !taken.strikes() {
		return taken
	}
	e.faults.Times--
	if e.faults.Times == 0 {
		e.faults = e.faults.healed()
	}
	return taken
}
