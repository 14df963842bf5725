package bencher

import (
	"time"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Policy decides for one instance which waiting turn goes to which engine and
// when. It does no I/O and has no clock of its own.
type Policy interface {
	// Handle takes one event and returns what to do.
	Handle(now time.Time, event Event) []Action
	// Waiting returns the number of turns that wait.
	Waiting() int
}

// Event is one thing that a Policy is told. Exactly one of the pointers is set.
type Event struct {
	Arrival  *Arrival
	Hangup   *Hangup
	Started  *Started
	Finished *Finished
	Failed   *Failed
	Ended    *Ended
	Load     *Load
	Cache    *Cache
}

// Arrival is a turn that is ready to be served.
type Arrival struct {
	Turn       string
	Program    string
	Root       string
	Agent      string
	Business   string
	Weight     int
	Precedence int
	// Prompt and Instructions are in tokens; the instructions are the prompt's
	// beginning and shared by the agent's programs.
	Prompt       int
	Instructions int
	MaxOutput    int
	// Attained is the service that the program's tree has had, in tokens.
	Attained int
	// Left is the time that the caller still waits, zero without bound.
	Left time.Duration
}

// Hangup says that the caller of a waiting turn has gone.
type Hangup struct{ Turn string }

// Started is the first token of a dispatched turn.
type Started struct {
	Turn    string
	Engine  int
	Latency time.Duration
	// Prefill is the part of the prompt that was computed, in tokens.
	Prefill int
}

// Finished is the whole answer of a dispatched turn.
type Finished struct {
	Turn   string
	Engine int
	Usage  generator.Usage
	// Gap is the mean time between tokens.
	Gap time.Duration
}

// Failed says that a dispatched turn broke off.
type Failed struct {
	Turn   string
	Engine int
}

// Ended says that a program has ended.
type Ended struct{ Program string }

// Load is an engine's load report.
type Load struct {
	Engine int
	Report generator.LoadReport
}

// Cache is a cache event of an engine; its Tokens are what is held from then on.
type Cache struct {
	Engine int
	Event  generator.CacheEvent
}

// Action is one thing that a Policy wants done. Exactly one of the pointers is
// set.
type Action struct {
	Dispatch *Dispatch
	Refuse   *Refuse
	Release  *Release
	Fail     *Fail
}

// Dispatch sends a waiting turn to an engine.
type Dispatch struct {
	Turn   string
	Engine int
	// Priority is served lowest first by the engine.
	Priority int
}

// Refuse tells the caller that the turn was not run.
type Refuse struct {
	Turn     string
	ComeBack time.Duration
}

// Fail tells the caller that the turn failed and is not tried again.
type Fail struct{ Turn string }

// Release frees what an engine holds for a program.
type Release struct {
	Program string
	Engine  int
}
