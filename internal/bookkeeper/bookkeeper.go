// Package bookkeeper owns the token budgets of programs and the recording of
// turns. One actor keeps the books of the programs that other instances bring
// here; the rows in the platform's store decide, so that any other instance can
// go on with a program at any time. It does not own which instance keeps which
// books, nor how transactions are made.
package bookkeeper

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/pruner"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

const (
	// aheadShare is the part of what is left of a budget, in percent, that a grant
	// is taken ahead of need, so that most turns need no write and a program
	// outlives a short outage of the store. What a bookkeeper that dies had taken
	// is lost to the program.
	aheadShare = 25
	// aheadTurns bounds that to so many turns at their most. Most turns hand out a
	// quarter of it, so that these are some 30 turns, more than a program has in an
	// outage of the store.
	aheadTurns = 8
	// turnLife is the time after which a turn that never ended is settled at
	// its most; it is above the longest deadline of a turn.
	turnLife = 15 * time.Second
	// bookLife is how long an unused book is kept in memory.
	bookLife = 90 * time.Second
	// sweepInterval is the time between looks for old turns and books.
	sweepInterval = 5 * time.Second
)

// Status is how a call to a bookkeeper ended.
type Status int

// The statuses.
const (
	// OK means done.
	OK Status = iota
	// Exhausted means that the budget does not hold the turn.
	Exhausted
	// Unavailable means that the store could not be reached; nothing was reserved.
	Unavailable
	// InDoubt means that a record may or may not be in the store.
	InDoubt
	// Retired means that the bookkeeper has handed its books over.
	Retired
)

// OpenRequest asks for a reservation.
type OpenRequest struct {
	Program string `cbor:"1,keyasint"`
	// Turn names the reservation; the same name reserves once.
	Turn string `cbor:"2,keyasint"`
	// Tokens is the most that the turn may hand out.
	Tokens int64 `cbor:"3,keyasint"`
	// Budget is that of the whole program.
	Budget int64 `cbor:"4,keyasint"`
	// Wait is how long to wait for the store.
	Wait time.Duration `cbor:"5,keyasint"`
	// Observations are loads of endpoints that the caller heard of.
	Observations []registrar.Observation `cbor:"6,keyasint,omitempty"`
}

// OpenResponse answers an Opening.
type OpenResponse struct {
	Status Status `cbor:"1,keyasint"`
	// HasStarted is true if the program had a turn before.
	HasStarted bool `cbor:"2,keyasint"`
	// Used, Reserved and Elsewhere are what the decision went by, in tokens:
	// what ended turns handed out and open turns may hand out of the grants of
	// this bookkeeper, and what other bookkeepers were granted.
	Used             int64 `cbor:"3,keyasint,omitempty"`
	Reserved         int64 `cbor:"4,keyasint,omitempty"`
	GrantedElsewhere int64 `cbor:"5,keyasint,omitempty"`
	// Observations are loads of endpoints that the bookkeeper heard of.
	Observations []registrar.Observation `cbor:"6,keyasint,omitempty"`
}

// ReclaimRequest asks a bookkeeper to give back what it does not need of a
// program's budget.
type ReclaimRequest struct {
	Program string `cbor:"1,keyasint"`
	// Holder is who is asked: another process may run at its address now.
	Holder string `cbor:"2,keyasint"`
}

// ReclaimResponse answers a Reclaiming.
type ReclaimResponse struct {
	// Committed is what the bookkeeper's turns handed out or may still hand out; it
	// uses no more of its grant until it has written the row anew.
	Committed int64 `cbor:"1,keyasint"`
	// Refused is true if it cannot tell.
	Refused bool `cbor:"2,keyasint,omitempty"`
}

// CloseRequest ends a turn.
type CloseRequest struct {
	Program string `cbor:"1,keyasint"`
	Turn    string `cbor:"2,keyasint"`
	// Used is what the turn handed out.
	Used int64 `cbor:"3,keyasint"`
	// Record is the turn to record; nil if it is not retained.
	Record *transcriber.Turn `cbor:"4,keyasint,omitempty"`
	// Wait is how long to wait for the store.
	Wait time.Duration `cbor:"5,keyasint"`
	// Retention is for how long the record must be found.
	Retention time.Duration `cbor:"6,keyasint,omitempty"`
}

// CloseResponse answers a Closing.
type CloseResponse struct {
	Status Status `cbor:"1,keyasint"`
}

// Submitter takes jobs to be joined into transactions.
type Submitter interface {
	Submit(job *batcher.Job)
}

// Reclaimer asks the bookkeeper that holds a grant to give it back.
type Reclaimer func(ctx context.Context, holder, program string) (ReclaimResponse, error)

// Bookkeeper keeps books. It is safe for concurrent use.
type Bookkeeper struct {
	holder string
	jobs   Submitter
	prune  func(keys []storer.RowKey, after time.Duration)
	system *actor.ActorSystem
	pid    *actor.PID

	ending   sync.RWMutex
	hasEnded bool

	mu         sync.Mutex
	recordings map[string]*recording
}

// Option sets one property of a Bookkeeper.
type Option func(*Bookkeeper, *shelf)

// WithLogger sets where events are logged.
func WithLogger(l *logger.Logger) Option { return func(_ *Bookkeeper, s *shelf) { s.log = l } }

// WithPruner sets what removes the rows of a turn some time after it was recorded.
func WithPruner(prune func(keys []storer.RowKey, after time.Duration)) Option {
	return func(k *Bookkeeper, _ *shelf) { k.prune = prune }
}

// New returns a Bookkeeper under a name that no other process ever had.
func New(holder string, jobs Submitter, reclaim Reclaimer, options ...Option) *Bookkeeper {
	quiet := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	})
	k := &Bookkeeper{
		holder: holder, jobs: jobs, system: actor.NewActorSystem(quiet), recordings: map[string]*recording{},
		prune: func([]storer.RowKey, time.Duration) {},
	}
	books := &shelf{holder: holder, jobs: jobs, accounts: map[string]*account{}, self: k.tell, reclaim: reclaim, log: logger.Discard()}
	for _, option := range options {
		option(k, books)
	}
	k.pid = k.system.Root.Spawn(actor.PropsFromFunc(books.receive))
	return k
}

// Run settles old turns until ctx ends, and then stops the actor.
func (k *Bookkeeper) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.ending.Lock()
			k.hasEnded = true
			k.ending.Unlock()
			k.system.Root.Stop(k.pid)
			k.system.Shutdown()
			return
		case <-ticker.C:
			k.tell(sweep{})
		}
	}
}

// tell sends the actor a message, unless it has ended.
func (k *Bookkeeper) tell(message any) {
	k.ending.RLock()
	defer k.ending.RUnlock()
	if !k.hasEnded {
		k.system.Root.Send(k.pid, message)
	}
}

// Open reserves the tokens of a turn.
func (k *Bookkeeper) Open(ctx context.Context, in OpenRequest) (OpenResponse, error) {
	reply := make(chan OpenResponse, 1)
	k.tell(opening{OpenRequest: in, deadline: time.Now().Add(in.Wait), reply: reply})
	timer := time.NewTimer(in.Wait)
	defer timer.Stop()
	select {
	case out := <-reply:
		return out, nil
	case <-timer.C:
		// The reservation may still be made; the same turn then finds it.
		return OpenResponse{Status: Unavailable}, nil
	case <-ctx.Done():
		return OpenResponse{}, context.Cause(ctx)
	}
}

// Reclaim gives back what this bookkeeper does not need of a program's budget.
func (k *Bookkeeper) Reclaim(ctx context.Context, in ReclaimRequest) (ReclaimResponse, error) {
	if in.Holder != k.holder {
		return ReclaimResponse{Refused: true}, nil
	}
	reply := make(chan ReclaimResponse, 1)
	k.tell(yielding{program: in.Program, reply: reply})
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return ReclaimResponse{}, context.Cause(ctx)
	}
}

// Close settles a turn and records it. It returns when the record is durable or
// the wait is over.
func (k *Bookkeeper) Close(ctx context.Context, in CloseRequest) (CloseResponse, error) {
	k.tell(settling{program: in.Program, turn: in.Turn, used: in.Used})
	if in.Record == nil {
		return CloseResponse{}, nil
	}
	r, err := k.record(in)
	if err != nil {
		return CloseResponse{}, err
	}
	timer := time.NewTimer(in.Wait)
	defer timer.Stop()
	select {
	case <-r.done:
		return CloseResponse{Status: r.status}, nil
	case <-timer.C:
		return CloseResponse{Status: InDoubt}, nil
	case <-ctx.Done():
		return CloseResponse{}, context.Cause(ctx)
	}
}

// recording is a turn that is being recorded.
type recording struct {
	done   chan struct{}
	status Status
}

// record records the turn; a turn that is being recorded already is not
// submitted again.
func (k *Bookkeeper) record(in CloseRequest) (*recording, error) {
	changes, err := in.Record.Changes()
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.recordings[in.Record.ID]; r != nil {
		return r, nil
	}
	r := &recording{done: make(chan struct{})}
	k.recordings[in.Record.ID] = r
	k.jobs.Submit(&batcher.Job{
		Changes: changes, Deadline: time.Now().Add(in.Wait),
		Done: func(result batcher.Result) {
			k.mu.Lock()
			delete(k.recordings, in.Record.ID)
			k.mu.Unlock()
			if r.status = recorded(changes, result.Err); r.status != Unavailable {
				k.pruneLater(changes, in.Retention)
			}
			close(r.done)
		},
	})
	return r, nil
}

// pruneLater has the rows of a turn removed, also those that may land yet.
func (k *Bookkeeper) pruneLater(changes []storer.Change, retention time.Duration) {
	keys := make([]storer.RowKey, 0, len(changes))
	for _, c := range changes {
		keys = append(keys, c.RowKey)
	}
	k.prune(keys, pruner.RowRetention(retention))
}

// recorded says whether the turn is in the store. A turn's rows are written
// once: if they are there already, an earlier try has landed.
func recorded(changes []storer.Change, err error) Status {
	var conflict *storer.Conflict
	switch {
	case err == nil:
		return OK
	case errors.As(err, &conflict):
		for i, c := range changes {
			if i >= len(conflict.Current) || string(conflict.Current[i].Value) != string(c.Value) {
				return InDoubt
			}
		}
		return OK
	case errors.Is(err, storer.ErrInDoubt):
		return InDoubt
	}
	return Unavailable
}
