package bookkeeper

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

// handoverTimeout limits one call that hands ledgers over.
const handoverTimeout = 300 * time.Millisecond

// handoverBatch is the maximum number of ledgers in one call.
const handoverBatch = 500

// Handover is the ledger of one program as a retired holder hands it over.
type Handover struct {
	Program string `cbor:"1,keyasint"`
	// Version and Grants are those of the row when the holder last read or wrote it.
	Version int64            `cbor:"2,keyasint"`
	Grants  map[string]int64 `cbor:"3,keyasint"`
	Holder  string           `cbor:"4,keyasint"`
	// Committed is what the holder's turns used or may still use, in tokens; the
	// rest of its grant passes to the successor, at once or, if it IsReleased, with the
	// successor's next write of the row.
	Committed int64 `cbor:"5,keyasint"`
	Homes     homes `cbor:"6,keyasint,omitzero"`
	Withheld  int64 `cbor:"7,keyasint,omitempty"`
	Mark      int64 `cbor:"10,keyasint,omitempty"`
	// IsReleased is true if the holder has released the rest of its grant since Version, so that
	// another holder may have it.
	IsReleased bool `cbor:"9,keyasint,omitempty"`
}

// AdoptRequest hands ledgers over.
type AdoptRequest struct {
	Handovers []Handover `cbor:"1,keyasint"`
}

// AdoptResponse is the response to an AdoptRequest.
type AdoptResponse struct{}

// Adopt takes over the ledgers of a bookkeeper that retires.
func (k *Bookkeeper) Adopt(_ context.Context, in AdoptRequest) (AdoptResponse, error) {
	k.send(adoptMessage{handovers: in.Handovers})
	return AdoptResponse{}, nil
}

// Retire refuses further turns and returns all loaded ledgers. This bookkeeper
// uses no more of their grants.
func (k *Bookkeeper) Retire(ctx context.Context) ([]Handover, error) {
	reply := make(chan []Handover, 1)
	k.send(retireMessage{reply: reply})
	select {
	case handovers := <-reply:
		return handovers, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (s *state) retire() []Handover {
	s.isRetired = true
	s.rights.release(s)
	var handovers []Handover
	for program, p := range s.programs {
		for _, m := range p.waiting {
			m.reply <- OpenResponse{Status: Retired}
		}
		p.waiting = nil
		if p.ledger.isLoaded {
			handovers = append(handovers, Handover{
				Program: program, Version: p.ledger.version, Grants: p.ledger.grants,
				Holder: s.holder, Committed: p.ledger.committed(), Homes: p.homes.clone(), Withheld: p.ledger.withheld, Mark: p.ledger.mark,
				IsReleased: p.ledger.isReleased,
			})
		}
	}
	return handovers
}

func (s *state) adopt(handovers []Handover) {
	if s.isRetired {
		return
	}
	if len(handovers) > 0 {
		s.log.Log(eventBooksAdopted, "From", handovers[0].Holder, "Books", len(handovers))
	}
	for _, h := range handovers {
		p := s.program(h.Program)
		p.lastUsed = time.Now()
		if p.homes.Last == "" {
			p.homes = h.Homes
		}
		p.ledger.inherit(h.Version, row{Grants: h.Grants, Withheld: h.Withheld, Mark: h.Mark}, h.Holder, h.Committed, h.IsReleased)
	}
}

// HandOver retires the local bookkeeper and hands its ledgers over to their next
// bookkeepers. A successor that does not answer may or may not have received
// them; in either case they are not used here again.
func (c *Client) HandOver(ctx context.Context) error {
	handovers, err := c.local.Retire(ctx)
	if err != nil {
		return err
	}
	type successor struct {
		member    discoverer.Member
		handovers []Handover
	}
	bySuccessor := map[string]*successor{}
	for _, h := range handovers {
		m := c.members.Bookkeepers(c.keyOf(h.Program))[0]
		if m.Instance == c.members.Self().Instance {
			continue // No other bookkeeper is known; the grants stay with this holder.
		}
		if bySuccessor[m.Instance] == nil {
			bySuccessor[m.Instance] = &successor{member: m}
		}
		bySuccessor[m.Instance].handovers = append(bySuccessor[m.Instance].handovers, h)
	}
	var failure error
	for _, next := range bySuccessor {
		for len(next.handovers) > 0 {
			n := min(len(next.handovers), handoverBatch)
			callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
			err := c.caller.Call(callCtx, next.member.Address, methodAdopt, AdoptRequest{Handovers: next.handovers[:n]}, &AdoptResponse{})
			cancel()
			if err != nil {
				failure = err
			}
			next.handovers = next.handovers[n:]
		}
	}
	return failure
}
