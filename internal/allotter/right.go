package allotter

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

const (
	// issuersPerAccount is the number of instances that issue an account's permits, each
	// for an equal part of the bound.
	issuersPerAccount = 2
	// candidatesPerAccount is the number of members that may be issuers or stand in for them.
	candidatesPerAccount = 4
	// contestedShare is the part of its permits that an issuer may issue while it is contested or has
	// not read the table for discoverer.StandInDelay. The one that stands in for it issues the rest.
	contestedShare = 0.5
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
	standIn   standIn
	// id is that of the right by which the last part was issued, and contestedPart what of the part is
	// left to this instance while it is contested.
	id            rightID
	contestedPart float64
}

// rightID tells the rights of an instance to issue the permits of one account from each other.
type rightID struct {
	since, clearedAt time.Time
	// beganAt is a time from which the right has held.
	beganAt time.Time
}

// tenure is what this instance knows of the table of members, which decides whether it may be an
// issuer at all.
type tenure struct {
	members Members
	// observedAt is the time of the last look, and resumedAt that of the last one after an
	// interruption. The table must have been read since then.
	observedAt, resumedAt time.Time
	// isValid is set while this instance may be an issuer: its lease is current, and its own row
	// is in the table.
	isValid bool
	// epoch counts the changes of the members, and epochAt is the time of the last one.
	epoch       int64
	epochAt     time.Time
	fingerprint uint64
	// own is this instance's row, whose version is zero if it is not in the table, and others are
	// the rows of the other members.
	own             discoverer.Row
	others, removed []discoverer.Row
	// readAt is when the read that brought the table began, and cleanAt that of the last one by
	// which this instance was not contested.
	readAt, cleanAt time.Time
	// wasWhole is set if this instance was not contested at the last look, and heldFrom is when the
	// read began that was the last one of that time.
	wasWhole bool
	heldFrom time.Time
	// contestedUntil is until when this instance issued contestedShare of its part.
	contestedUntil time.Time
	// changedAt is the time of the last change, and previousReadAt when the read began that brought
	// the table before it.
	changedAt, previousReadAt time.Time
	// listedAt is since when this instance has had its row.
	listedAt time.Time
	// gaps counts the intervals between two reads in which others may have stood in unseen.
	// contests tells the states of the contested members from each other.
	gaps     int64
	contests uint64
	// changes counts the changes of the members, of the contests, and of whether this instance's own
	// row is in the table.
	changes int64
	// isSettled is set once this instance has been listed for so long that all that stand in for others
	// have read its row.
	isSettled bool
	// contested are the processes that are contested, and takenBackAt is when others took that back.
	contested   map[string]bool
	takenBackAt map[string]time.Time
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
// stood still while the machine was suspended. A wait is measured by the steady clock alone, as a step
// of the time of day must not shorten it.
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
	cleanAt := t.cleanAt
	rows, wasListed, lastReadAt, contests, epoch := t.members.Rows(), t.own.Version != 0, t.readAt, t.contests, t.epoch
	// By a row that was deleted and written anew, others may have dropped this instance meanwhile.
	isOther := rows.Own.Version != 0 && rows.Own.ExistsFrom() != t.existsFrom
	if isOther || elapsed(t.readAt, rows.ReadAt) > discoverer.StandInDelay {
		t.gaps++
	}
	t.others, t.removed, t.own, t.readAt = rows.Others, rows.Removed, rows.Own, rows.ReadAt
	var fingerprint uint64
	for i := range t.others {
		fingerprint ^= hashMember(&t.others[i], 0)
	}
	if fingerprint != t.fingerprint || t.epoch == 0 {
		t.fingerprint, t.epochAt = fingerprint, now
		t.epoch++
		t.state++
	}
	t.observeContests(now)
	isListed := t.own.Version != 0
	if t.epoch != epoch || t.contests != contests || isListed != wasListed {
		t.changes++
		t.changedAt, t.previousReadAt = now, lastReadAt
	}
	if isListed && t.own.ExistsFrom() != t.existsFrom {
		t.existsFrom = t.own.ExistsFrom()
		t.beginTerm(now)
	}
	wasValid := t.isValid
	t.isValid = isCurrent && isListed && t.readAt.After(t.resumedAt)
	if !t.isValid && wasValid && t.hasOlderBuilds() {
		t.beginTerm(now)
	}
	t.findUnsure(now)
	isWhole := t.isWhole(now)
	if t.wasWhole && !isWhole {
		t.heldFrom = cleanAt
	}
	t.wasWhole = isWhole
	_, endedAt := t.members.Contest()
	switch end := endedAt.Add(discoverer.StandInDelay + rightMargin); {
	case t.ownShare(now) < 1 || elapsed(cleanAt, t.cleanAt) >= discoverer.StandInDelay:
		t.contestedUntil = now // In an interruption before this look, too.
	case isWhole && end.After(t.contestedUntil):
		t.contestedUntil = end // Later than the last look before.
	}
}

// observeContests finds out whether this instance is contested, and whether other ones are.
func (t *tenure) observeContests(now time.Time) {
	if isContested, _ := t.members.Contest(); !isContested && t.own.Version != 0 && !t.own.IsContested {
		t.cleanAt = t.readAt
	}
	contested := map[string]bool{}
	t.contests = uint64(t.gaps)
	for i := range t.others {
		m := &t.others[i]
		if m.IsContested {
			contested[m.Incarnation] = true
			t.contests ^= hashMember(m, m.Version)
		} else if t.contested[m.Incarnation] {
			t.takenBackAt[m.Incarnation] = now
		}
	}
	maps.DeleteFunc(t.takenBackAt, func(_ string, at time.Time) bool { return now.Sub(at) > contestPause })
	t.contested = contested
}

// ownShare returns the part of its permits that this instance may issue as an issuer. Once it is
// contested it goes on until the last table that did not show that is too old, as no other one
// stands in for it before.
func (t *tenure) ownShare(now time.Time) float64 {
	if t.isWhole(now) || elapsed(t.heldFrom, now) < discoverer.StandInDelay {
		return 1
	}
	return contestedShare
}

// isWhole reports whether no table that others may rely on shows this instance as contested.
func (t *tenure) isWhole(now time.Time) bool {
	isContested, endedAt := t.members.Contest()
	return !isContested && elapsed(t.cleanAt, now) < discoverer.StandInDelay && now.Sub(endedAt) >= discoverer.StandInDelay+rightMargin
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
	t.listedAt = now
	t.confirmed = map[string]bool{}
	t.unsureAt = now
	t.state++
}

// findUnsure finds the members that may not have this instance in their tables.
func (t *tenure) findUnsure(now time.Time) {
	if isSettled := now.Sub(t.listedAt) >= discoverer.StandInDelay+rightMargin; isSettled != t.isSettled {
		t.isSettled = isSettled
		t.state++
	}
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

// mayBeIssuer reports whether the member may issue permits of the account that this instance would
// issue, by a table without it. A member issues none as an issuer if its table surely has
// issuersPerAccount members that take precedence over it, and its half of the bound if it is the first of
// all others. What it issues beyond that, in place of others or as the only member, it issues by a recent
// table only.
func (t *tenure) mayBeIssuer(m *discoverer.Row, account string) bool {
	preceding, known := 0, 0
	for i := range t.others {
		if o := &t.others[i]; o.Instance != m.Instance && o.Outranks(account, m) {
			preceding++
			if !m.Knows(o) {
				continue
			}
			if known++; known == candidatesPerAccount {
				return false
			}
		}
	}
	switch {
	case known >= issuersPerAccount:
		return !t.isSettled
	case preceding > 0:
		return true
	}
	return !t.isSettled && !t.isKnownNotAlone(m)
}

// isKnownNotAlone reports whether the member surely has another one in its table.
func (t *tenure) isKnownNotAlone(m *discoverer.Row) bool {
	return slices.ContainsFunc(t.others, func(o discoverer.Row) bool { return o.Instance != m.Instance && m.Knows(&o) })
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

// isIssuer reports whether this instance is one of the account's issuers, and whether it would be
// one if the removed members were there.
func (t *tenure) isIssuer(account string) (isIssuer, isUndisputed bool) {
	self := discoverer.Row{Member: t.members.Self()}
	preceding, removed := 0, 0
	for i := range t.others {
		if t.others[i].Outranks(account, &self) {
			preceding++
		}
	}
	for i := range t.removed {
		if t.removed[i].Outranks(account, &self) {
			removed++
		}
	}
	return preceding < issuersPerAccount, preceding+removed < issuersPerAccount
}

// update updates the right after a change of the members.
func (r *right) update(t *tenure, account string) {
	if r.epoch == t.epoch {
		return
	}
	isIssuer, isUndisputed := t.isIssuer(account)
	// In an epoch that was not looked at, the instance may not have been an issuer.
	isContinued := r.epoch == t.epoch-1 && !r.since.IsZero()
	switch {
	case !isIssuer:
		r.since = time.Time{}
	case !isContinued:
		r.since = t.epochAt
		// Another instance may stand in for the removed one by a table that it has read before,
		// unless this one does.
		if !isUndisputed {
			r.since = r.standIn.onlySince(t, t.epochAt)
		}
	}
	isAlone := len(t.others) == 0
	if !isAlone || !r.isAlone || r.epoch != t.epoch-1 {
		r.aloneSince = t.epochAt
		if !isUndisputed || len(t.removed) > 0 {
			r.aloneSince = r.aloneSince.Add(discoverer.StandInDelay)
		}
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

// issuerID returns what tells the right as one of the issuers from earlier and later ones.
func (r *right) issuerID() rightID {
	id := rightID{r.since, r.clearedAt, r.since.Add(rightMargin)}
	if r.clearedAt.After(r.since) {
		id.beganAt = r.clearedAt.Add(rightMargin)
	}
	return id
}

// part returns the part of the bound that this instance may issue.
func (r *right) part(t *tenure, account string, now time.Time) (part float64) {
	r.update(t, account)
	r.standIn.update(t, account, now)
	if !t.isValid || !t.members.IsCurrent() {
		return 0
	}
	isIssuer := !r.since.IsZero()
	if isIssuer {
		r.clear(t, account, now)
	}
	if !isIssuer || r.clearedAt.IsZero() || now.Before(r.issuerID().beganAt) {
		part, r.id = r.standIn.part(t, account, now)
		r.contestedPart = 0 // Another one stands in.
		return part
	}
	r.id, r.standIn.contested = r.issuerID(), nil
	part = 1.0 / issuersPerAccount
	// By an older table, others may stand in for the other half.
	isAlone := r.isAlone && elapsed(t.readAt, now) < discoverer.StandInDelay
	if aloneFrom := r.aloneSince.Add(rightMargin); isAlone && !now.Before(aloneFrom) {
		part = 1
		if aloneFrom.After(r.id.beganAt) {
			r.id.beganAt = aloneFrom
		}
	}
	r.contestedPart = contestedShare / issuersPerAccount
	return part * t.ownShare(now)
}
