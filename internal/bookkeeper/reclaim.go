package bookkeeper

import (
	"context"
	"sync"
)

// release answers a reclaim request of another holder.
func (s *state) release(m releaseMessage) {
	p := s.programs[m.program]
	if p == nil || p.isWriting || s.isRetired {
		// Without a ledger the committed tokens are unknown; a pending write may
		// raise the grant above the tokens committed now.
		m.reply <- ReclaimResponse{Refused: true}
		return
	}
	m.reply <- ReclaimResponse{Committed: p.ledger.release()}
}

// reclaimFromOthers asks the other holders to release their uncommitted tokens,
// once per version of the row. It returns true while a result is pending.
func (s *state) reclaimFromOthers(program string, p *programState) bool {
	if p.isReclaiming || p.isWriting {
		return true
	}
	if p.ledger.grantedToOthers == 0 || p.reclaimedVersion == p.ledger.version {
		return false
	}
	p.isReclaiming, p.reclaimedVersion = true, p.ledger.version
	version := p.ledger.version
	var holders []string
	for holder := range p.ledger.grants {
		if holder != s.holder && holder != settledHolder {
			holders = append(holders, holder)
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reclaimTimeout)
		defer cancel()
		committed := map[string]int64{}
		var calls sync.WaitGroup
		var mu sync.Mutex
		for _, holder := range holders {
			calls.Go(func() {
				// A holder that does not answer keeps its grant.
				if out, err := s.reclaim(ctx, holder, program); err == nil && !out.Refused {
					mu.Lock()
					defer mu.Unlock()
					committed[holder] = out.Committed
				}
			})
		}
		calls.Wait()
		s.send(reclaimResult{program: program, version: version, committed: committed})
	}()
	return true
}

func (s *state) handleReclaim(m reclaimResult) {
	p := s.programs[m.program]
	if p == nil {
		return
	}
	p.isReclaiming = false
	s.log.Log(eventGrantReclaimed, "Program", m.program, "Row", m.version, "Keeps", m.committed, "Elsewhere", p.ledger.grantedToOthers)
	if s.isRetired {
		return
	}
	if m.version == p.ledger.version {
		p.ledger.reduceGrants(m.committed)
	}
	s.advance(m.program, p)
}
