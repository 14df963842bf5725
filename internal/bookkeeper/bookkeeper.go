// Package bookkeeper enforces the token budgets of programs and records turns.
//
// A Bookkeeper holds grants, which are shares of the budgets, and reserves tokens
// for turns from them. Its actor has a ledger for each program that is routed to
// this instance. The grants are rows in the platform's store, written under their
// versions, so any other instance can continue a program at any time. A Client
// routes turns to the bookkeeper of their program; package discoverer assigns
// programs to bookkeepers, and package batcher makes the transactions.
package bookkeeper

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/wigeonstand/wigeonstand/internal/apportioner"
	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/estimator"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/pruner"
	"github.com/wigeonstand/wigeonstand/internal/quarantiner"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/transcriber"
)

const (
	// aheadPercent is the share of what is left of a budget that is granted ahead
	// of need, so that most turns need no write and a program continues through a
	// short outage of the store. The program loses the grant of a bookkeeper that
	// dies.
	aheadPercent = 25
	// aheadTurns limits the tokens granted ahead to so many turns at their maximum.
	// Most turns use a quarter of their maximum, so 8 suffice for about 30 turns,
	// more than a program has during an outage of the store.
	aheadTurns = 8
	// turnTimeout is the age at which a turn that was never closed is settled as
	// fully used; it exceeds the longest deadline of a turn.
	turnTimeout = 15 * time.Second
	// idleTimeout is how long an unused ledger is kept in memory.
	idleTimeout = 90 * time.Second
	// sweepInterval is the time between two checks for old turns and ledgers.
	sweepInterval = 5 * time.Second
)

// Status is the result of a call to a bookkeeper.
type Status int

const (
	// OK means that the turn was reserved, or was settled and recorded.
	OK Status = iota
	// Exhausted means that the budget has too few tokens left for the turn.
	Exhausted
	// Unavailable means that the store could not be reached in time. A record was
	// not written; a reservation may still be made and is found by a retry.
	Unavailable
	// InDoubt means that a record may or may not be in the store.
	InDoubt
	// Retired means that the bookkeeper has handed its ledgers over.
	Retired
	// Withheld means that the turn needs the part of the budget that a lost holder of a right
	// may have handed out.
	Withheld
)

// OpenRequest asks to reserve tokens for a turn.
type OpenRequest struct {
	Program string `cbor:"1,keyasint"`
	// Turn identifies the reservation; a repeated request reserves nothing more.
	Turn string `cbor:"2,keyasint"`
	// Tokens is the maximum that the turn may use.
	Tokens int64 `cbor:"3,keyasint"`
	// Budget is the token budget of the whole program.
	Budget int64 `cbor:"4,keyasint"`
	// Wait is how long to wait for the store.
	Wait time.Duration `cbor:"5,keyasint"`
	// Observations are the loads and failures of endpoints that the caller knows.
	Observations []registrar.Observation `cbor:"6,keyasint,omitempty"`
	// Session identifies the turn's line of turns within the program.
	Session string `cbor:"7,keyasint,omitempty"`
	// Verdicts are those of the caller on requests that crash endpoints.
	Verdicts []quarantiner.Verdict `cbor:"8,keyasint,omitempty"`
	// Contender asks for capacity for a program that may be new; nil otherwise.
	Contender *apportioner.Contender `cbor:"14,keyasint,omitempty"`
}

// OpenResponse is the response to an OpenRequest.
type OpenResponse struct {
	Status Status `cbor:"1,keyasint"`
	// HasStarted is true if the program has or had another turn, or another
	// bookkeeper has a grant for it.
	HasStarted bool `cbor:"2,keyasint"`
	// Used, Reserved and GrantedElsewhere explain an Exhausted status, in tokens:
	// what closed turns used and open turns may use of this bookkeeper's grant,
	// and the sum of the grants of other bookkeepers.
	Used             int64 `cbor:"3,keyasint,omitempty"`
	Reserved         int64 `cbor:"4,keyasint,omitempty"`
	GrantedElsewhere int64 `cbor:"5,keyasint,omitempty"`
	// Observations are the loads and failures of endpoints that the bookkeeper
	// knows.
	Observations []registrar.Observation `cbor:"6,keyasint,omitempty"`
	// Home is the ID of the endpoint that served the previous turn of the session, or
	// of the program if the session is new. It is empty if that is unknown.
	Home string `cbor:"7,keyasint,omitempty"`
	// Verdicts are those of the bookkeeper on requests that crash endpoints.
	Verdicts []quarantiner.Verdict `cbor:"8,keyasint,omitempty"`
	// Failed has the IDs of the endpoints that failed turns of the session since one was
	// served.
	Failed []string `cbor:"9,keyasint,omitempty"`
	// RefusedShare is the share of the contender's new programs that is to be refused; nil if
	// the program is not new, or if the bookkeeper does not state it.
	RefusedShare *float64 `cbor:"14,keyasint,omitempty"`
	// Need is what programs of the contender's unknown route need; nil if the bookkeeper does
	// not know it either.
	Need *estimator.Need `cbor:"15,keyasint,omitempty"`
}

// ReclaimRequest asks a bookkeeper to release the unused part of its grant of a
// program's budget.
type ReclaimRequest struct {
	Program string `cbor:"1,keyasint"`
	// Holder is the intended recipient; another process may now run at its
	// address.
	Holder string `cbor:"2,keyasint"`
}

// ReclaimResponse is the response to a ReclaimRequest.
type ReclaimResponse struct {
	// Committed is what the bookkeeper's turns used or may still use, in tokens.
	// It uses no more of its grant until it has written the row again.
	Committed int64 `cbor:"1,keyasint"`
	// Refused is true if the bookkeeper releases nothing.
	Refused bool `cbor:"2,keyasint,omitempty"`
}

// CloseRequest settles a turn and optionally records it.
type CloseRequest struct {
	Program string `cbor:"1,keyasint"`
	Turn    string `cbor:"2,keyasint"`
	// Used is the number of tokens that the turn used.
	Used int64 `cbor:"3,keyasint"`
	// Record is the turn to record, or nil if it is not retained.
	Record *transcriber.Turn `cbor:"4,keyasint,omitempty"`
	// Wait is how long to wait for the store.
	Wait time.Duration `cbor:"5,keyasint"`
	// Retention is how long the record must remain readable.
	Retention time.Duration `cbor:"6,keyasint,omitempty"`
	// Session is that of the OpenRequest, and Endpoint the ID of the endpoint that
	// served the turn; empty if none did.
	Session  string `cbor:"7,keyasint,omitempty"`
	Endpoint string `cbor:"8,keyasint,omitempty"`
	// FailedEndpoint is the ID of the endpoint that responded to the turn with an error;
	// empty if none did.
	FailedEndpoint string `cbor:"9,keyasint,omitempty"`
}

// CloseResponse is the response to a CloseRequest.
type CloseResponse struct {
	Status Status `cbor:"1,keyasint"`
}

// Submitter accepts jobs and combines them into transactions.
type Submitter interface {
	Submit(job *batcher.Job)
}

// Reclaimer asks the holder of a grant to release the unused part of it.
type Reclaimer func(ctx context.Context, holder, program string) (ReclaimResponse, error)

// Bookkeeper reserves tokens for turns and records turns. It is safe for
// concurrent use.
type Bookkeeper struct {
	holder string
	jobs   Submitter
	prune  func(keys []storer.RowKey, after time.Duration)
	system *actor.ActorSystem
	pid    *actor.PID
	// verdicts are exchanged with the calls of Open.
	verdicts VerdictGossiper
	// apportioner divides scarce capacity between the accounts of new programs.
	apportioner *apportioner.Apportioner
	needs       Needs
	// readRights reads the rights and sends them to the actor, and renewRights renews those of
	// this process; nil without budgets for outages.
	readRights, renewRights func(ctx context.Context)
	// stopRights ends the calls that concern rights and waits for them.
	stopRights func()

	stopMu    sync.RWMutex
	isStopped bool

	mu             sync.Mutex
	pendingRecords map[string]*pendingRecord
}

// Option sets one property of a Bookkeeper.
type Option func(*Bookkeeper, *state)

// WithLogger sets where events are logged.
func WithLogger(l *logger.Logger) Option { return func(_ *Bookkeeper, s *state) { s.log = l } }

// WithPruner sets the function that schedules the removal of a recorded turn's
// rows.
func WithPruner(prune func(keys []storer.RowKey, after time.Duration)) Option {
	return func(k *Bookkeeper, _ *state) { k.prune = prune }
}

// WithVerdicts sets the source and destination of verdicts on requests that crash endpoints.
func WithVerdicts(v VerdictGossiper) Option {
	return func(k *Bookkeeper, _ *state) { k.verdicts = v }
}

// Needs is what this instance has learned of the programs of routes.
type Needs interface {
	Need(route string, promptTokens, maxTokens int64) estimator.Need
}

// WithNeeds sets where instances that have not learned what programs of a route need have it
// from.
func WithNeeds(needs Needs) Option { return func(k *Bookkeeper, _ *state) { k.needs = needs } }

// New returns a Bookkeeper. No other process may ever have used the holder's name.
func New(holder string, jobs Submitter, reclaim Reclaimer, options ...Option) *Bookkeeper {
	withoutLogging := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	})
	k := &Bookkeeper{
		holder: holder, jobs: jobs, system: actor.NewActorSystem(withoutLogging), pendingRecords: map[string]*pendingRecord{},
		prune: func([]storer.RowKey, time.Duration) {}, verdicts: noVerdicts{},
		apportioner: apportioner.New(),
	}
	s := &state{holder: holder, jobs: jobs, programs: map[string]*programState{}, send: k.send, reclaim: reclaim, log: logger.Discard()}
	for _, option := range options {
		option(k, s)
	}
	k.pid = k.system.Root.Spawn(actor.PropsFromFunc(s.receive))
	return k
}

// Run expires old turns until ctx is canceled, and then stops the actor.
func (k *Bookkeeper) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	if k.readRights != nil {
		var reads sync.WaitGroup
		reads.Go(func() { k.runRights(ctx) })
		defer reads.Wait()
		defer k.stopRights()
	}
	for {
		select {
		case <-ctx.Done():
			k.stopMu.Lock()
			k.isStopped = true
			k.stopMu.Unlock()
			k.system.Root.Stop(k.pid)
			k.system.Shutdown()
			return
		case <-ticker.C:
			k.send(sweepMessage{})
		}
	}
}

// send sends a message to the actor, unless the actor has been stopped.
func (k *Bookkeeper) send(message any) {
	k.stopMu.RLock()
	defer k.stopMu.RUnlock()
	if !k.isStopped {
		k.system.Root.Send(k.pid, message)
	}
}

// Open reserves the tokens of a turn.
func (k *Bookkeeper) Open(ctx context.Context, in OpenRequest) (OpenResponse, error) {
	reply := make(chan OpenResponse, 1)
	now := time.Now()
	k.send(openMessage{OpenRequest: in, deadline: now.Add(in.Wait), reply: reply})
	timer := time.NewTimer(in.Wait)
	defer timer.Stop()
	select {
	case out := <-reply:
		if in.Contender != nil && out.Status == OK && !out.HasStarted {
			k.apportion(*in.Contender, &out)
		}
		return out, nil
	case <-timer.C:
		// The reservation may still be made; a retry for the same turn finds it.
		return OpenResponse{Status: Unavailable}, nil
	case <-ctx.Done():
		return OpenResponse{}, context.Cause(ctx)
	}
}

// apportion adds to the response what a new program's instance needs for its admission.
func (k *Bookkeeper) apportion(c apportioner.Contender, out *OpenResponse) {
	share := k.apportioner.Ask(c)
	out.RefusedShare = &share
	if c.UnknownRoute == "" || k.needs == nil {
		return
	}
	if need := k.needs.Need(c.UnknownRoute, 0, 0); need.IsLearned {
		out.Need = &need
	}
}

// Reclaim releases the unused part of this bookkeeper's grant of a program's
// budget.
func (k *Bookkeeper) Reclaim(ctx context.Context, in ReclaimRequest) (ReclaimResponse, error) {
	if in.Holder != k.holder {
		return ReclaimResponse{Refused: true}, nil
	}
	reply := make(chan ReclaimResponse, 1)
	k.send(releaseMessage{program: in.Program, reply: reply})
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return ReclaimResponse{}, context.Cause(ctx)
	}
}

// Close settles a turn and records it. It returns once the record is durable or
// after in.Wait.
func (k *Bookkeeper) Close(ctx context.Context, in CloseRequest) (CloseResponse, error) {
	k.send(settleMessage{program: in.Program, turn: in.Turn, used: in.Used, session: in.Session, endpoint: in.Endpoint, failedEndpoint: in.FailedEndpoint})
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

// pendingRecord is a turn whose record is being written. Its status is set before
// done is closed.
type pendingRecord struct {
	done   chan struct{}
	status Status
}

// record submits the turn's record, unless a write of it is already pending.
func (k *Bookkeeper) record(in CloseRequest) (*pendingRecord, error) {
	changes, err := in.Record.Changes()
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.pendingRecords[in.Record.ID]; r != nil {
		return r, nil
	}
	r := &pendingRecord{done: make(chan struct{})}
	k.pendingRecords[in.Record.ID] = r
	k.jobs.Submit(&batcher.Job{
		Changes: changes, Deadline: time.Now().Add(in.Wait),
		Done: func(result batcher.Result) {
			k.mu.Lock()
			delete(k.pendingRecords, in.Record.ID)
			k.mu.Unlock()
			if r.status = recordStatus(changes, result.Err); r.status != Unavailable {
				k.schedulePrune(changes, in.Retention)
			}
			close(r.done)
		},
	})
	return r, nil
}

// schedulePrune schedules the removal of a turn's rows, including those whose
// write is in doubt.
func (k *Bookkeeper) schedulePrune(changes []storer.Change, retention time.Duration) {
	keys := make([]storer.RowKey, 0, len(changes))
	for _, c := range changes {
		keys = append(keys, c.RowKey)
	}
	k.prune(keys, pruner.RowRetention(retention))
}

// recordStatus returns the status of a record from the error of its write. A
// turn's rows are written once: if they exist with the same values, an earlier
// attempt succeeded.
func recordStatus(changes []storer.Change, err error) Status {
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
