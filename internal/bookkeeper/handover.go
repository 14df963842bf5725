package bookkeeper

import (
	"context"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

// handoverWait bounds one call that hands books over.
const handoverWait = 300 * time.Millisecond

// handoverBooks bounds the books of one call.
const handoverBooks = 500

// Handover is the book of one program as a retired holder leaves it.
type Handover struct {
	Program string `cbor:"1,keyasint"`
	// Version and Grants are those of the row as the holder knew it.
	Version int64            `cbor:"2,keyasint"`
	Grants  map[string]int64 `cbor:"3,keyasint"`
	Holder  string           `cbor:"4,keyasint"`
	// Committed is what the holder's turns handed out or may still hand out; the
	// rest of its grant is the successor's.
	Committed int64 `cbor:"5,keyasint"`
}

// AdoptRequest hands books over.
type AdoptRequest struct {
	Handovers []Handover `cbor:"1,keyasint"`
}

// AdoptResponse answers an Adopting.
type AdoptResponse struct{}

// Adopt takes over the books of a bookkeeper that retires.
func (k *Bookkeeper) Adopt(_ context.Context, in AdoptRequest) (AdoptResponse, error) {
	k.tell(adopting{books: in.Handovers})
	return AdoptResponse{}, nil
}

// Retire stops taking turns and returns all books, of which nothing more is
// used here.
func (k *Bookkeeper) Retire(ctx context.Context) ([]Handover, error) {
	reply := make(chan []Handover, 1)
	k.tell(retiring{reply: reply})
	select {
	case books := <-reply:
		return books, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (s *shelf) retire() []Handover {
	s.isRetired = true
	var books []Handover
	for program, a := range s.accounts {
		for _, m := range a.waiting {
			m.reply <- OpenResponse{Status: Retired}
		}
		a.waiting = nil
		if a.book.isKnown {
			books = append(books, Handover{
				Program: program, Version: a.book.version, Grants: a.book.grants,
				Holder: s.holder, Committed: a.book.atMost(),
			})
		}
	}
	return books
}

func (s *shelf) adopt(books []Handover) {
	if s.isRetired {
		return
	}
	if len(books) > 0 {
		s.log.Log(eventAdopted, "From", books[0].Holder, "Books", len(books))
	}
	for _, h := range books {
		a := s.accounts[h.Program]
		if a == nil {
			a = &account{book: newBook(s.holder)}
			s.accounts[h.Program] = a
		}
		a.touched = time.Now()
		a.book.inherit(h.Version, row{Grants: h.Grants}, h.Holder, h.Committed)
	}
}

// HandOver retires the local bookkeeper and brings its books to those that keep
// them next. A successor that does not answer may have them or not; they are
// not used here again in either case.
func (d *Client) HandOver(ctx context.Context) error {
	books, err := d.local.Retire(ctx)
	if err != nil {
		return err
	}
	type heirs struct {
		member discoverer.Member
		books  []Handover
	}
	bySuccessor := map[string]*heirs{}
	for _, h := range books {
		m := d.members.Bookkeepers(h.Program)[0]
		if m.Instance == d.members.Self().Instance {
			continue // Nobody else is known; the rows stay as they are.
		}
		if bySuccessor[m.Instance] == nil {
			bySuccessor[m.Instance] = &heirs{member: m}
		}
		bySuccessor[m.Instance].books = append(bySuccessor[m.Instance].books, h)
	}
	var failure error
	for _, heir := range bySuccessor {
		for len(heir.books) > 0 {
			n := min(len(heir.books), handoverBooks)
			bounded, cancel := context.WithTimeout(ctx, handoverWait)
			err := d.caller.Call(bounded, heir.member.Address, methodAdopt, AdoptRequest{Handovers: heir.books[:n]}, &AdoptResponse{})
			cancel()
			if err != nil {
				failure = err
			}
			heir.books = heir.books[n:]
		}
	}
	return failure
}
