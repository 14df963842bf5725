package allotter

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

const (
	// issuersPerAccount is the number of instances that issue an account's permits, each
	// for an equal part of the bound.
	issuersPerAccount = 2
	// observeInterval is the time between two looks at the table of members.
	observeInterval = 250 * time.Millisecond
	// maxPause is the longest time between two looks after which the instance counts as
	// not having been interrupted. It is shorter than the time that others wait beyond the
	// instance's own lease before they delete its row.
	maxPause = 2 * time.Second
	// rightMargin is the time before a right begins after the conditions for it were met: that in
	// which an instance notices a table that it has read, and more for clocks that run at
	// different rates.
	rightMargin = observeInterval + 100*time.Millisecond
)

// right is the right of this instance to issue the permits of one account. It begins when the
// right of the issuer that it replaces has ended. Permits of that issuer may still be in the
// window, which the bucket of the account allows for as it begins empty.
type right struct {
	epoch int64
	// since is when the instance became one of the issuers; zero if it is none.
	since time.Time
	// isAlone is set while this instance is the only member, since aloneSince.
	isAlone    bool
	aloneSince time.Time
	// clearedAt is since when every member that may be an issuer has this instance in its table,
	// found in the term; zero if that is not known. checked is the state in which it was last
	// looked for.
	clearedAt time.Time
	term      int64
	checked   int64
}

// rightID tells the rights of an instance to issue the permits of one account from each other.
type rightID struct{ since, clearedAt time.Time }

// tenure is what this instance knows of the table of members, which decides whether it may be an
// issuer at all.
type tenure struct {
	members Members
	// observedAt is the time of the last look, and resumedAt that of the last one after an
	// interruption. The table must have been read since then.
	observedAt, resumedAt time.Time
	// isValid is set while this instance may be an issuer: its lease is current, and its own row
	// is in the table. startedAt is when that began.
	isValid   bool
	startedAt time.Time
	// epoch counts the changes of the members, and epochAt is the time of the last one.
	epoch       int64
	epochAt     time.Time
	fingerprint uint64
	// own is this instance's row, whose version is zero if it is not in the table, and others are
	// the rows of the other members.
	own    discoverer.Row
	others []discoverer.Row
	// term counts the times after which members may have dropped this instance from their tables:
	// its row is another one. confirmed holds the incarnations that have it in the term.
	term       int64
	existsFrom int64
	confirmed  map[string]bool
	// unsure are the other members that may not have this instance in their tables, unchanged
	// since unsureAt. state counts the changes of them and of the members.
	unsure            []discoverer.Row
	unsureAt          time.Time
	unsureFingerprint uint64
	state             int64
	// introducedAt is the time of the last introduction.
	introducedAt time.Time
}

// elapsed returns the time from one reading of the clock to a later one, also if the steady clock
// stood still while the machine was suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// hasPaused reports whether the instance was interrupted since the last look. Smaller differences
// between the clocks may be steps of the time of day.
func (t *tenure) hasPaused(now time.Time) bool {
	steady := now.Sub(t.observedAt)
	return steady > maxPause || elapsed(t.observedAt, now)-steady > maxPause
}

// observe looks at the table of members.
func (t *tenure) observe(now time.Time) {
	isCurrent, hasPaused := t.members.IsCurrent(), t.hasPaused(now)
	if hasPaused {
		t.resumedAt = now
	}
	t.observedAt = now
	var readAt time.Time
	t.others, t.own, readAt = t.members.Rows()
	var fingerprint uint64
	for i := range t.others {
		fingerprint ^= hashMember(&t.others[i], 0)
	}
	if fingerprint != t.fingerprint || t.epoch == 0 {
		t.fingerprint, t.epochAt = fingerprint, now
		t.epoch++
		t.state++
	}
	isListed := t.own.Version != 0
	if isListed && t.own.ExistsFrom() != t.existsFrom {
		t.existsFrom = t.own.ExistsFrom()
		t.beginTerm(now)
	}
	wasValid := t.isValid
	t.isValid = isCurrent && isListed && readAt.After(t.resumedAt)
	switch {
	case t.isValid && !wasValid:
		t.startedAt = now
	case !t.isValid && wasValid && t.hasOlderBuilds():
		t.beginTerm(now)
	}
	t.findUnsure(now)
}

// hasOlderBuilds reports whether there are members that drop others from their lists by time.
func (t *tenure) hasOlderBuilds() bool {
	for i := range t.others {
		if !t.others[i].StatesKnowledge() {
			return true
		}
	}
	return false
}

func (t *tenure) beginTerm(now time.Time) {
	t.term++
	t.confirmed = map[string]bool{}
	t.unsureAt = now
	t.state++
}

// findUnsure finds the members that may not have this instance in their tables.
func (t *tenure) findUnsure(now time.Time) {
	t.unsure = t.unsure[:0]
	var fingerprint uint64
	for i := range t.others {
		m := &t.others[i]
		if !t.confirmed[m.Incarnation] && (t.own.Version == 0 || !m.Knows(&t.own)) {
			t.unsure = append(t.unsure, *m)
			fingerprint ^= hashMember(m, m.Version)
		}
	}
	if fingerprint != t.unsureFingerprint {
		t.unsureFingerprint, t.unsureAt = fingerprint, now
		t.state++
	}
}

func hashMember(m *discoverer.Row, version int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest's methods return no errors.
	_, _ = d.WriteString(m.Instance)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Incarnation)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(version)))
	return d.Sum64()
}

// mayBeIssuer reports whether the member may have a right to issue the account's permits, by a
// table without this instance. It has none if its table surely has members that take precedence.
func (t *tenure) mayBeIssuer(m *discoverer.Row, account string) bool {
	preceding := 0
	for i := range t.others {
		if o := &t.others[i]; o.Instance != m.Instance && m.Knows(o) && o.Outranks(account, m) {
			if preceding++; preceding == issuersPerAccount {
				return false
			}
		}
	}
	return true
}

// isCleared reports whether every member that may issue the account's permits has this instance in
// its table.
func (t *tenure) isCleared(account string) bool {
	for i := range t.unsure {
		if t.mayBeIssuer(&t.unsure[i], account) {
			return false
		}
	}
	return true
}

// isIssuer reports whether this instance is one of the account's issuers.
func (t *tenure) isIssuer(account string) bool {
	self := discoverer.Row{Member: t.members.Self()}
	preceding := 0
	for i := range t.others {
		if t.others[i].Outranks(account, &self) {
			preceding++
		}
	}
	return preceding < issuersPerAccount
}

// update updates the right after a change of the members.
func (r *right) update(t *tenure, account string) {
	if r.epoch == t.epoch {
		return
	}
	isIssuer := t.isIssuer(account)
	// In an epoch that was not looked at, the instance may not have been an issuer.
	isContinued := r.epoch == t.epoch-1 && !r.since.IsZero()
	switch {
	case !isIssuer:
		r.since = time.Time{}
	case !isContinued:
		r.since = t.epochAt
	}
	isAlone := len(t.others) == 0
	if !isAlone || !r.isAlone || r.epoch != t.epoch-1 {
		r.aloneSince = t.epochAt
	}
	r.isAlone, r.epoch = isAlone, t.epoch
}

// clear finds out since when the instance is in the tables of all that may be issuers.
func (r *right) clear(t *tenure, account string, now time.Time) {
	if r.term != t.term {
		r.term, r.clearedAt, r.checked = t.term, time.Time{}, -1
	}
	if !r.clearedAt.IsZero() || r.checked == t.state {
		return
	}
	r.checked = t.state
	switch {
	case len(t.unsure) == 0:
		r.clearedAt = t.unsureAt
	case t.isCleared(account):
		r.clearedAt = now
	}
}

// beganAt returns a time from which a right that holds now has held.
func (r *right) beganAt() time.Time {
	if r.clearedAt.After(r.since) {
		return r.clearedAt.Add(rightMargin)
	}
	return r.since.Add(rightMargin)
}

// part returns the part of the bound that this instance may issue.
func (r *right) part(t *tenure, account string, now time.Time) float64 {
	r.update(t, account)
	if !t.isValid || !t.members.IsCurrent() || r.since.IsZero() {
		return 0
	}
	if r.clear(t, account, now); r.clearedAt.IsZero() || now.Before(r.beganAt()) {
		return 0
	}
	if r.isAlone && now.Sub(r.aloneSince) >= rightMargin {
		return 1
	}
	return 1.0 / issuersPerAccount
}
