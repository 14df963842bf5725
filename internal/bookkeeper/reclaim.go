package bookkeeper

import (
	"context"
)

// yield gives back what the open turns do not need.
func (s *shelf) yield(m yielding) {
	a := s.accounts[m.program]
	if a == nil || a.isWriting || s.isRetired {
		// Without a book nothing can be said; a row that is being written may
		// grow beyond what would be said now.
		m.reply <- ReclaimResponse{Refused: true}
		return
	}
	m.reply <- ReclaimResponse{Committed: a.book.yield()}
}

// askOthers asks the other holders of grants for what they do not need, once
// for each version of the row. It returns true while an answer is awaited.
func (s *shelf) askOthers(program string, a *account) bool {
	if a.isReclaiming || a.isWriting {
		return true
	}
	if a.book.others == 0 || a.reclaimedAt == a.book.version {
		return false
	}
	a.isReclaiming, a.reclaimedAt = true, a.book.version
	version := a.book.version
	var holders []string
	for holder := range a.book.grants {
		if holder != s.holder {
			holders = append(holders, holder)
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reclaimWait)
		defer cancel()
		keeps := map[string]int64{}
		for _, holder := range holders {
			// A holder that cannot be asked keeps its grant.
			if out, err := s.reclaim(ctx, holder, program); err == nil && !out.Refused {
				keeps[holder] = out.Committed
			}
		}
		s.self(reclaimed{program: program, version: version, keeps: keeps})
	}()
	return true
}

func (s *shelf) reclaimed(m reclaimed) {
	a := s.accounts[m.program]
	if a == nil {
		return
	}
	a.isReclaiming = false
	s.log.Log(eventReclaimed, "Program", m.program, "Row", m.version, "Keeps", m.keeps, "Elsewhere", a.book.others)
	if s.isRetired {
		return
	}
	if m.version == a.book.version {
		a.book.lower(m.keeps)
	}
	s.advance(m.program, a)
}
