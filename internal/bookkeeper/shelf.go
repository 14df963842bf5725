package bookkeeper

import (
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/fxamacker/cbor/v2"

	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// The messages of the actor.
type (
	opening struct {
		OpenRequest
		deadline time.Time
		reply    chan<- OpenResponse
	}
	settling struct {
		program string
		turn    string
		used    int64
	}
	written struct {
		program string
		row     row
		result  batcher.Result
	}
	yielding struct {
		program string
		reply   chan<- ReclaimResponse
	}
	reclaimed struct {
		program string
		version int64
		keeps   map[string]int64
	}
	retiring struct{ reply chan<- []Handover }
	adopting struct{ books []Handover }
	sweep    struct{}
)

// account is a book with those that wait for it.
type account struct {
	book    *book
	waiting []opening
	// isWriting is true while the program's row is being written.
	isWriting bool
	// isReclaiming is true while other bookkeepers are asked for tokens;
	// reclaimedAt is the row's version at which they were asked last.
	isReclaiming bool
	reclaimedAt  int64
	touched      time.Time
}

// shelf is the state of the actor.
type shelf struct {
	holder   string
	jobs     Submitter
	accounts map[string]*account
	self     func(message any)
	reclaim  Reclaimer
	log      *logger.Logger
	// isRetired is true once the books were handed over.
	isRetired bool
}

func (s *shelf) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case opening:
		s.open(m)
	case settling:
		if a := s.accounts[m.program]; a != nil {
			a.book.settle(m.turn, m.used)
		}
	case written:
		s.written(m)
	case yielding:
		s.yield(m)
	case reclaimed:
		s.reclaimed(m)
	case retiring:
		m.reply <- s.retire()
	case adopting:
		s.adopt(m.books)
	case sweep:
		s.sweep()
	}
}

func (s *shelf) open(m opening) {
	if s.isRetired {
		m.reply <- OpenResponse{Status: Retired}
		return
	}
	a := s.accounts[m.Program]
	if a == nil {
		a = &account{book: newBook(s.holder)}
		s.accounts[m.Program] = a
	}
	a.touched = time.Now()
	a.waiting = append(a.waiting, m)
	s.advance(m.Program, a)
}

// advance answers the waiting as far as the book allows, in order, and lets the
// row grow for the first that needs it.
func (s *shelf) advance(program string, a *account) {
	now := time.Now()
	for len(a.waiting) > 0 {
		m := a.waiting[0]
		if now.After(m.deadline) {
			m.reply <- OpenResponse{Status: Unavailable}
			a.waiting = a.waiting[1:]
			continue
		}
		underWay := a.book.isUnderWay()
		switch a.book.reserve(m.Turn, m.Tokens, m.Budget, now) {
		case granted:
			m.reply <- OpenResponse{HasStarted: underWay}
		case exhausted:
			if s.askOthers(m.Program, a) {
				return
			}
			m.reply <- OpenResponse{
				Status: Exhausted, HasStarted: underWay,
				Used: a.book.used, Reserved: a.book.atMost() - a.book.used, GrantedElsewhere: a.book.others,
			}
		case pending:
			if !a.isWriting {
				s.grow(program, a, m)
			}
			return
		}
		a.waiting = a.waiting[1:]
	}
}

func (s *shelf) grow(program string, a *account, m opening) {
	next := a.book.grown(m.Tokens, m.Budget)
	value, err := cbor.Marshal(next)
	if err != nil {
		m.reply <- OpenResponse{Status: Unavailable}
		a.waiting = a.waiting[1:]
		return
	}
	a.isWriting = true
	s.jobs.Submit(&batcher.Job{
		Changes: []storer.Change{{
			RowKey: storer.PartitionedKey(Table, program), Expected: a.book.version, Value: value,
		}},
		Deadline: m.deadline,
		Done:     func(r batcher.Result) { s.self(written{program: program, row: next, result: r}) },
	})
}

func (s *shelf) written(m written) {
	a := s.accounts[m.program]
	if a == nil || s.isRetired {
		return
	}
	a.isWriting = false
	var conflict *storer.Conflict
	switch {
	case m.result.Err == nil:
		a.book.landed(m.result.Version, m.row)
	case errors.As(m.result.Err, &conflict):
		current := conflict.Current[0]
		r, err := decodeRow(current.Value)
		if err != nil {
			s.refuse(a)
			return
		}
		a.book.load(current.Version, r)
	default:
		// The row keeps its expected version: a write in doubt either lands
		// before the next one, which then conflicts, or never.
		s.log.Log(eventNotGrown, "Program", m.program, "Row", a.book.version, "Waiting", len(a.waiting), "Cause", m.result.Err)
		s.refuse(a)
		return
	}
	s.advance(m.program, a)
}

func (s *shelf) refuse(a *account) {
	for _, m := range a.waiting {
		m.reply <- OpenResponse{Status: Unavailable}
	}
	a.waiting = nil
}

func (s *shelf) sweep() {
	now := time.Now()
	for program, a := range s.accounts {
		if n := a.book.expire(now.Add(-turnLife)); n > 0 {
			s.log.Log(eventExpired, "Program", program, "Turns", n)
		}
		if now.Sub(a.touched) > bookLife && len(a.waiting) == 0 && !a.isWriting {
			delete(s.accounts, program)
		}
	}
}
