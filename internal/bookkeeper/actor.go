package bookkeeper

import (
	"errors"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/batcher"
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/opener"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// The messages of the actor.
type (
	openMessage struct {
		OpenRequest
		deadline time.Time
		reply    chan<- OpenResponse
	}
	settleMessage struct {
		program        string
		turn           string
		used           int64
		session        string
		endpoint       string
		failedEndpoint string
	}
	writeResult struct {
		program string
		row     row
		result  batcher.Result
	}
	releaseMessage struct {
		program string
		reply   chan<- ReclaimResponse
	}
	reclaimResult struct {
		program   string
		version   int64
		committed map[string]int64
	}
	retireMessage struct{ reply chan<- []Handover }
	adoptMessage  struct{ handovers []Handover }
	sweepMessage  struct{}
)

// programState is a program's ledger with the open requests that wait for it.
type programState struct {
	ledger  *ledger
	homes   homes
	waiting []openMessage
	// isWriting is true while a write of the program's row is pending.
	isWriting bool
	// isReclaiming is true while requests to reclaim tokens from other holders are
	// pending; reclaimedVersion is the row version of the last such requests.
	isReclaiming     bool
	reclaimedVersion int64
	lastUsed         time.Time
	// charge is what the program used without a row, while it is written to the row.
	charge *int64
	// isReporting and isLifting are true while witnesses or the holder of the right
	// are asked.
	isReporting bool
	isLifting   bool
}

// state is the state of the Bookkeeper's actor.
type state struct {
	holder   string
	jobs     Submitter
	programs map[string]*programState
	send     func(message any)
	reclaim  Reclaimer
	log      *logger.Logger
	// rights is nil without budgets for outages.
	rights *rights
	// isRetired is true once the ledgers have been handed over.
	isRetired bool
}

func (s *state) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case openMessage:
		s.open(m)
	case settleMessage:
		if p := s.programs[m.program]; p != nil {
			p.ledger.settle(m.turn, m.used)
			p.homes.settle(m.session, m.endpoint, m.failedEndpoint)
		}
		s.rights.settle(m)
	case writeResult:
		s.handleWrite(m)
	case releaseMessage:
		s.release(m)
	case reclaimResult:
		s.handleReclaim(m)
	case retireMessage:
		m.reply <- s.retire()
	case adoptMessage:
		s.adopt(m.handovers)
	case sweepMessage:
		s.sweep()
	default:
		s.rights.receive(s, m)
	}
}

func (s *state) open(m openMessage) {
	if s.isRetired {
		m.reply <- OpenResponse{Status: Retired}
		return
	}
	p := s.program(m.Program)
	p.lastUsed = time.Now()
	p.waiting = append(p.waiting, m)
	s.advance(m.Program, p)
}

// program returns the state of the program, which may be new.
func (s *state) program(name string) *programState {
	p := s.programs[name]
	if p == nil {
		p = &programState{ledger: newLedger(s.holder, s.share())}
		s.programs[name] = p
	}
	return p
}

// advance answers waiting requests in order until one needs a larger grant or
// tokens of other holders, and starts that write or reclaim.
func (s *state) advance(program string, p *programState) {
	now := time.Now()
	for len(p.waiting) > 0 {
		m := p.waiting[0]
		if now.After(m.deadline) {
			m.reply <- OpenResponse{Status: Unavailable}
			p.waiting = p.waiting[1:]
			continue
		}
		hasStarted := p.ledger.hasStarted() || s.rights.isOpen(m.Program)
		switch result := p.ledger.reserve(m.Turn, m.Tokens, m.Budget, now); result {
		case granted:
			m.reply <- OpenResponse{HasStarted: hasStarted, Home: p.homes.of(m.Session), Failed: slices.Clone(p.homes.Failed[m.Session])}
		case exhausted:
			if s.reclaimFromOthers(m.Program, p) {
				return
			}
			m.reply <- OpenResponse{
				Status: Exhausted, HasStarted: hasStarted,
				Used: p.ledger.used, Reserved: p.ledger.committed() - p.ledger.used, GrantedElsewhere: p.ledger.grantedToOthers,
			}
		case pending, withheld:
			switch s.rights.reserve(s, p, m, now) {
			case opener.Granted:
				m.reply <- OpenResponse{HasStarted: hasStarted, Home: p.homes.of(m.Session)}
			case opener.Unreported:
				return
			default:
				switch {
				case p.isWriting:
				case result == withheld:
					s.lift(program, p, m.deadline)
				default:
					s.writeGrant(program, p, m)
				}
				return
			}
		}
		p.waiting = p.waiting[1:]
	}
}

// writeGrant submits a write of the row with a grant that suffices for m.
func (s *state) writeGrant(program string, p *programState, m openMessage) {
	next := p.ledger.nextRow(m.Tokens, m.Budget)
	next.Mark = s.rights.mark(m.Program, p.ledger)
	value, err := cbor.Marshal(next)
	if err != nil {
		m.reply <- OpenResponse{Status: Unavailable}
		p.waiting = p.waiting[1:]
		return
	}
	s.write(program, p, next, value, m.deadline)
}

// write submits a write of the program's row.
func (s *state) write(program string, p *programState, next row, value []byte, deadline time.Time) {
	p.isWriting = true
	s.jobs.Submit(&batcher.Job{
		Changes: []storer.Change{{
			RowKey: storer.PartitionedKey(Table, program), Expected: p.ledger.version, Value: value,
		}},
		Deadline: deadline,
		Done:     func(r batcher.Result) { s.send(writeResult{program: program, row: next, result: r}) },
	})
}

func (s *state) handleWrite(m writeResult) {
	p := s.programs[m.program]
	if p == nil || s.isRetired {
		return
	}
	p.isWriting = false
	version, current, err := m.result.Version, m.row, m.result.Err
	var conflict *storer.Conflict
	if errors.As(err, &conflict) {
		version, current, err = currentRow(conflict)
	}
	switch {
	case err != nil:
		// The expected version stays the same: an in-doubt write either takes
		// effect before the next write, which then conflicts, or never.
		s.log.Log(eventGrantNotWritten, "Program", m.program, "Row", p.ledger.version, "Waiting", len(p.waiting), "Cause", err)
		s.refuseWaiting(p, Unavailable)
		p.charge = nil // The step of the right, or the turn that waits, begins again.
		return
	case p.ledger.isClosedBy(current) && !s.rights.isMark(m.program, current.Mark):
		if len(p.waiting) == 0 {
			delete(s.programs, m.program)
			return
		}
		p.ledger = newLedger(s.holder, s.share())
		p.ledger.load(version, current)
	case conflict != nil:
		p.ledger.load(version, current)
	default:
		p.ledger.applyWrite(version, current)
	}
	s.continueCharge(m.program, p)
	s.advance(m.program, p)
}

// currentRow returns the row that a conflicting write found.
func currentRow(conflict *storer.Conflict) (int64, row, error) {
	if len(conflict.Current) == 0 {
		return 0, row{}, eris.Wrap(conflict, "the conflict has no row")
	}
	r, err := decodeRow(conflict.Current[0].Value)
	return conflict.Current[0].Version, r, err
}

// refuseWaiting answers all waiting requests with the status.
func (s *state) refuseWaiting(p *programState, status Status) {
	for _, m := range p.waiting {
		m.reply <- OpenResponse{Status: status}
	}
	p.waiting = nil
}

// sweep expires old reservations and closes the ledgers of idle programs. A ledger
// with a grant is dropped once the row has what was used of it: a new ledger could not
// tell the used part of the grant from the rest.
func (s *state) sweep() {
	now := time.Now()
	for program, p := range s.programs {
		if n := p.ledger.expire(now.Add(-turnTimeout)); n > 0 {
			s.log.Log(eventTurnsExpired, "Program", program, "Turns", n)
		}
		if now.Sub(p.lastUsed) <= idleTimeout || len(p.waiting) > 0 || p.isWriting || p.isReclaiming || p.charge != nil {
			continue
		}
		if p.ledger.isLoaded && !p.ledger.hasGrant() && p.ledger.committed() == 0 && !s.rights.isMark(program, p.ledger.mark) {
			delete(s.programs, program)
			continue
		}
		if p.ledger.isClosable() && !s.isRetired {
			s.closeLedger(program, p, now)
		}
	}
}

// closeLedger submits the write after which the ledger is dropped. If it fails, the
// next sweep submits it again. A mark of this process ends with the ledger, which is how it knows
// that the program has a row.
func (s *state) closeLedger(program string, p *programState, now time.Time) {
	mark := p.ledger.mark
	if s.rights.isMark(program, mark) {
		mark = 0
	}
	next := p.ledger.closedRow(mark)
	value, err := cbor.Marshal(next)
	if err != nil {
		s.log.Log(eventGrantNotWritten, "Program", program, "Row", p.ledger.version, "Waiting", 0, "Cause", err)
		return
	}
	s.write(program, p, next, value, now.Add(sweepInterval))
}
