package bookkeeper

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Table is the table of the programs' rows.
const Table = "programs"

// row is a program's row: what each holder has taken from the budget. The sum
// is never above the budget, and a holder hands out no more than its grant, so
// that the budget holds over any instances and restarts.
type row struct {
	// Grants are in tokens, by holder.
	Grants map[string]int64 `cbor:"1,keyasint"`
}

func decodeRow(value []byte) (row, error) {
	var r row
	if len(value) == 0 {
		return r, nil
	}
	if err := cbor.Unmarshal(value, &r); err != nil {
		return row{}, eris.Wrap(err, "decode a program's row")
	}
	return r, nil
}

// verdict is what a book says to a reservation.
type verdict int

const (
	// granted means that the tokens are reserved.
	granted verdict = iota
	// exhausted means that the budget does not hold the tokens.
	exhausted
	// pending means that the row must grow first.
	pending
)

type openTurn struct {
	tokens int64
	since  time.Time
}

// book is what one holder knows of a program's budget. It is pure.
type book struct {
	holder string
	// version and grants are those of the row; others is the sum of the grants
	// of the other holders.
	version int64
	grants  map[string]int64
	others  int64
	// used is what ended turns handed out of this holder's grant.
	used int64
	open map[string]openTurn
	// yielded is true from when the holder gave back what it does not need until
	// it has written the row itself; its grant is then ceiling at most.
	yielded bool
	ceiling int64
	// inherited is what other holders, which have retired, keep of their grants;
	// the rest of them is this holder's.
	inherited map[string]int64
	// isKnown is true once the row, or its absence, is certain.
	isKnown bool
}

func newBook(holder string) *book {
	return &book{holder: holder, open: map[string]openTurn{}}
}

// load takes the row as it is in the store.
func (b *book) load(version int64, r row) {
	b.version, b.others, b.isKnown = version, 0, true
	b.grants = make(map[string]int64, len(r.Grants)+1)
	for holder, taken := range r.Grants {
		if kept, found := b.inherited[holder]; found && kept < taken {
			b.grants[b.holder] += taken - kept
			taken = kept
		}
		b.grants[holder] += taken
	}
	for holder, taken := range b.grants {
		if holder != b.holder {
			b.others += taken
		}
	}
}

// inherit takes over what the retired holder does not keep of its grant.
func (b *book) inherit(version int64, r row, holder string, keeps int64) {
	if b.inherited == nil {
		b.inherited = map[string]int64{}
	}
	b.inherited[holder] = keeps
	if !b.isKnown || version >= b.version {
		b.load(version, r)
	}
}

// grant returns what this holder may hand out.
func (b *book) grant() int64 {
	if b.yielded {
		return min(b.ceiling, b.grants[b.holder])
	}
	return b.grants[b.holder]
}

// yield gives back what the turns of this holder do not need, and returns what
// they do. Another holder may write that into the row at any time, so that more
// is used only after a write of this holder, which shuts that one out.
func (b *book) yield() int64 {
	b.yielded, b.ceiling = true, b.atMost()
	return b.ceiling
}

// landed takes the row that this holder wrote.
func (b *book) landed(version int64, r row) {
	b.yielded = false
	b.load(version, r)
}

// lower takes what other holders gave back.
func (b *book) lower(keeps map[string]int64) {
	lowered := row{Grants: make(map[string]int64, len(b.grants))}
	for holder, taken := range b.grants {
		if kept, given := keeps[holder]; given {
			taken = min(taken, kept)
		}
		lowered.Grants[holder] = taken
	}
	b.load(b.version, lowered)
}

// atMost returns what this holder may have handed out at most.
func (b *book) atMost() int64 {
	sum := b.used
	for _, t := range b.open {
		sum += t.tokens
	}
	return sum
}

// isUnderWay says whether the program has a turn under way or had one before.
// The holder's own grant does not tell: it is written before the first turn,
// which may then be refused.
func (b *book) isUnderWay() bool {
	return b.used > 0 || len(b.open) > 0 || b.others > 0 || len(b.inherited) > 0
}

// reserve reserves the tokens for a turn.
func (b *book) reserve(turn string, tokens, budget int64, now time.Time) verdict {
	if _, again := b.open[turn]; again {
		return granted
	}
	switch {
	case b.isKnown && b.atMost()+tokens <= b.grant():
		b.open[turn] = openTurn{tokens: tokens, since: now}
		return granted
	case b.others+b.atMost()+tokens > budget:
		// Without the row the others have none, which is the least they may have.
		return exhausted
	}
	return pending
}

// settle replaces a turn's reservation by what the turn handed out.
func (b *book) settle(turn string, used int64) {
	t, found := b.open[turn]
	if !found {
		return
	}
	delete(b.open, turn)
	b.used += min(used, t.tokens)
}

// expire settles turns that never ended at their most, and returns their number.
func (b *book) expire(before time.Time) int {
	expired := 0
	for id, t := range b.open {
		if t.since.Before(before) {
			b.settle(id, t.tokens)
			expired++
		}
	}
	return expired
}

// grown returns the row with a grant for the tokens and for some turns ahead, as
// far as the budget holds that. A share of what is left is taken, not of the
// budget: a program with turns in several data centres has as many holders, and
// were they all to die, the rest of the budget must still hold its next turns.
func (b *book) grown(tokens, budget int64) row {
	r := row{Grants: make(map[string]int64, len(b.grants)+1)}
	for holder, taken := range b.grants {
		r.Grants[holder] = taken
	}
	need := b.atMost() + tokens
	left := budget - b.others - b.atMost()
	// A budget of few turns is not taken ahead of need: were the bookkeeper to
	// die, the rest would not hold a turn.
	ahead := max(min(left*aheadShare/100, aheadTurns*tokens)-tokens/2, 0)
	r.Grants[b.holder] = max(b.grant(), need, min(need+ahead, budget-b.others))
	return r
}
