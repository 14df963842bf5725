package bookkeeper

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/opener"
)

// Table names the store table that has one row per program.
const Table = "programs"

// settledHolder is the name under which a row has what closed ledgers used. No process
// has this name, so that those tokens cannot be used again.
const settledHolder = "settled"

// row is the stored state of a program: the share of the budget that is granted
// to each holder. The sum of the grants never exceeds the budget and a holder
// never uses more than its grant, so the budget holds across instances and
// restarts.
type row struct {
	// Grants maps each holder to its tokens.
	Grants map[string]int64 `cbor:"1,keyasint"`
	// Withheld is the part of the budget that is not granted until the program is
	// lifted, as it may be used without a row; see package opener.
	Withheld int64 `cbor:"2,keyasint,omitempty"`
	// Mark is the opener.Tenure's. Key 3 was used by earlier versions.
	Mark int64 `cbor:"4,keyasint,omitempty"`
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

// reserveResult is the result of ledger.reserve.
type reserveResult int

const (
	// granted means that the tokens are reserved.
	granted reserveResult = iota
	// exhausted means that the budget has too few tokens left.
	exhausted
	// pending means that a larger grant must be written first.
	pending
	// withheld means that the program must be lifted first.
	withheld
)

// reservation holds the tokens that an open turn may use.
type reservation struct {
	tokens int64
	since  time.Time
}

// ledger is one holder's view of a program's budget. It does no I/O and is not
// safe for concurrent use.
type ledger struct {
	holder string
	// share is the part of a budget to withhold in a new row, in thousandths, and
	// withheld that of the row in tokens.
	share    int64
	withheld int64
	mark     int64
	// version and grants are those of the row; grantedToOthers is the sum of the
	// grants of the other holders.
	version         int64
	grants          map[string]int64
	grantedToOthers int64
	// used is the number of tokens of this holder's grant that closed turns used.
	used         int64
	reservations map[string]reservation
	// isReleased is true after the holder, or one that it inherited from, has released its
	// unused tokens and until it has written the row again; meanwhile it may use at most ceiling.
	isReleased bool
	ceiling    int64
	// inherited maps retired holders to the committed part of their grants; the
	// rest of those grants belongs to this holder.
	inherited map[string]int64
	// isLoaded is true once the row, or its absence, is known.
	isLoaded bool
	// isClosing is true once a write of closedRow may have taken effect.
	isClosing bool
}

func newLedger(holder string, share int64) *ledger {
	return &ledger{holder: holder, share: share, reservations: map[string]reservation{}}
}

// load sets the version and the grants from a row. The uncommitted part of
// inherited grants is added to this holder's grant.
func (l *ledger) load(version int64, r row) {
	l.version, l.grantedToOthers, l.withheld, l.mark, l.isLoaded = version, 0, r.Withheld, r.Mark, true
	l.grants = make(map[string]int64, len(r.Grants)+1)
	for holder, grant := range r.Grants {
		if committed, found := l.inherited[holder]; found && committed < grant {
			l.grants[l.holder] += grant - committed
			grant = committed
		}
		l.grants[holder] += grant
	}
	for holder, grant := range l.grants {
		if holder != l.holder {
			l.grantedToOthers += grant
		}
	}
}

// inherit takes over the uncommitted part of a retired holder's grant. If the holder had released
// that part, another holder may write it to its own grant, so it is used only once this holder has
// written the row.
func (l *ledger) inherit(version int64, r row, holder string, committed int64, isReleased bool) {
	if l.inherited == nil {
		l.inherited = map[string]int64{}
	}
	if isReleased {
		l.isReleased, l.ceiling = true, l.grant()
	}
	l.inherited[holder] = committed
	if !l.isLoaded || version >= l.version {
		l.load(version, r)
	}
}

// grant returns the number of tokens that this holder may use in total.
func (l *ledger) grant() int64 {
	if l.isReleased {
		return min(l.ceiling, l.grants[l.holder])
	}
	return l.grants[l.holder]
}

// release gives up the uncommitted part of the grant and returns the committed
// part. Another holder may write the reduced grant at any time, so this holder
// uses no more until it has written the row itself: the new row version makes
// the other holder's write fail.
func (l *ledger) release() int64 {
	l.isReleased, l.ceiling = true, l.committed()
	return l.ceiling
}

// isClosable reports whether the ledger can be dropped after closedRow is written.
func (l *ledger) isClosable() bool { return l.isLoaded && len(l.reservations) == 0 }

// hasGrant reports whether the row had a grant of this holder when it was last read or
// written.
func (l *ledger) hasGrant() bool { return l.grants[l.holder] > 0 }

// closedRow returns the row with the mark and without this holder's grant; what was used of it is
// added to settledHolder. The ledger uses no more of the grant, since the row may be
// written from now on.
func (l *ledger) closedRow(mark int64) row {
	l.release()
	l.isClosing = true
	r := row{Grants: maps.Clone(l.grants), Withheld: l.withheld, Mark: mark}
	delete(r.Grants, l.holder)
	if l.used > 0 {
		r.Grants[settledHolder] += l.used
	}
	return r
}

// isClosedBy reports whether the row shows that a write of closedRow took effect.
func (l *ledger) isClosedBy(r row) bool {
	_, hasGrant := r.Grants[l.holder]
	return l.isClosing && !hasGrant
}

// applyWrite loads a row that this holder has written.
func (l *ledger) applyWrite(version int64, r row) {
	l.isReleased, l.isClosing = false, false
	l.load(version, r)
}

// reduceGrants lowers the grants of other holders to their committed tokens.
func (l *ledger) reduceGrants(committed map[string]int64) {
	reduced := row{Grants: make(map[string]int64, len(l.grants)), Withheld: l.withheld, Mark: l.mark}
	for holder, grant := range l.grants {
		if committedTokens, given := committed[holder]; given {
			grant = min(grant, committedTokens)
		}
		reduced.Grants[holder] = grant
	}
	l.load(l.version, reduced)
}

// committed returns the sum of the used and the reserved tokens of this holder.
func (l *ledger) committed() int64 {
	sum := l.used
	for _, t := range l.reservations {
		sum += t.tokens
	}
	return sum
}

// hasRow reports whether the program is known to have a row.
func (l *ledger) hasRow() bool { return l.version != 0 }

// hasStarted reports whether the program has or had a turn, or another holder has
// a grant. The holder's own grant does not count: it is written before the first
// turn is admitted, which may then be refused.
func (l *ledger) hasStarted() bool {
	return l.used > 0 || len(l.reservations) > 0 || l.grantedToOthers > 0 || len(l.inherited) > 0
}

// reserve reserves the tokens for a turn. It has no effect if the turn is open.
func (l *ledger) reserve(turn string, tokens, budget int64, now time.Time) reserveResult {
	if _, found := l.reservations[turn]; found {
		return granted
	}
	switch {
	case l.isLoaded && l.committed()+tokens <= l.grant():
		l.reservations[turn] = reservation{tokens: tokens, since: now}
		return granted
	case l.grantedToOthers+l.committed()+tokens > budget:
		// Before the row is loaded, grantedToOthers is zero, which is a lower bound.
		return exhausted
	case l.isLoaded && l.withheld > 0 && l.grantedToOthers+l.committed()+tokens > budget-l.withheld:
		return withheld
	}
	return pending
}

// isCharged reports whether the row has what the program used without a row.
func (l *ledger) isCharged() bool { return l.isLoaded && l.version != 0 && l.withheld == 0 }

// chargedRow returns the row with the tokens that the program used without a row.
func (l *ledger) chargedRow(tokens int64) row {
	r := row{Grants: make(map[string]int64, len(l.grants)+1)}
	maps.Copy(r.Grants, l.grants)
	if grant := l.grant(); grant > 0 {
		r.Grants[l.holder] = grant
	}
	if tokens > 0 {
		r.Grants[settledHolder] += tokens
	}
	return r
}

// settle replaces a turn's reservation by the tokens that the turn used.
func (l *ledger) settle(turn string, used int64) {
	t, found := l.reservations[turn]
	if !found {
		return
	}
	delete(l.reservations, turn)
	l.used += min(used, t.tokens)
}

// expire settles reservations made before the given time as fully used, and
// returns their number.
func (l *ledger) expire(before time.Time) int {
	expired := 0
	for id, t := range l.reservations {
		if t.since.Before(before) {
			l.settle(id, t.tokens)
			expired++
		}
	}
	return expired
}

// nextRow returns the row with this holder's grant raised for the tokens and, if
// the budget allows, for some turns ahead. The grant ahead of need is a share of
// what is left of the budget, not of the whole budget: a program with turns in
// several data centres has as many holders, and if all of them die, the rest of
// the budget must still allow further turns.
func (l *ledger) nextRow(tokens, budget int64) row {
	r := row{Grants: make(map[string]int64, len(l.grants)+1), Withheld: l.withheld, Mark: l.mark}
	if l.version == 0 && l.share > 0 {
		r.Withheld = opener.Withheld(budget, l.share)
	}
	maps.Copy(r.Grants, l.grants)
	need := l.committed() + tokens
	budget -= r.Withheld
	left := budget - l.grantedToOthers - l.committed()
	// Nothing is granted ahead of need from a budget of few turns: if this holder
	// died, the rest would not suffice for a turn.
	ahead := max(min(left*aheadPercent/100, aheadTurns*tokens)-tokens/2, 0)
	r.Grants[l.holder] = max(l.grant(), need, min(need+ahead, budget-l.grantedToOthers))
	if r.Withheld > 0 {
		// A turn that doesn't fit waits until the program is lifted.
		r.Grants[l.holder] = max(l.grant(), min(r.Grants[l.holder], budget-l.grantedToOthers))
	}
	return r
}
