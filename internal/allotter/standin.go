package allotter

import (
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

// standIn is the right of this instance to stand in for contested issuers of one account: it
// issues what they may not. For each of them it begins when no other instance relies any more on a
// table that does not show the contest, and ends when the last table that showed it is too old.
type standIn struct {
	// changes and gaps are those of the tenure in the last update.
	changes, gaps int64
	// isFirst is set while this instance is the one to stand in for issuers that are contested, since
	// firstSince. between are the rows of the members between it and the issuers, which are
	// contested: one with another version may have stood in meanwhile.
	isFirst    bool
	firstSince time.Time
	between    []rowVersion
	// contested are the issuers that are contested, and those that were by a former table.
	contested []contestedIssuer
}

// contestedIssuer is an issuer that is contested, which all tables have shown since the time.
type contestedIssuer struct {
	row   rowVersion
	since time.Time
	// shownAt is when the read began that showed it last, by a former table; zero while it is shown.
	shownAt time.Time
	// preceding are the members before this one in the order of the account by that table.
	preceding []rowID
}

// rowID identifies the row of a process.
type rowID struct {
	incarnation string
	existsFrom  int64
}

// rowVersion identifies a version of the row of a process.
type rowVersion struct {
	incarnation string
	version     int64
}

// update updates the right after a change of the members or of the contested ones.
func (s *standIn) update(t *tenure, account string, now time.Time) {
	if s.changes == t.changes {
		return
	}
	switch {
	case s.changes == 0 && t.changedAt.Before(now):
		now = t.changedAt // The table has been the same since then.
	case s.changes != t.changes-1 || s.gaps != t.gaps:
		*s = standIn{}
	}
	s.changes, s.gaps = t.changes, t.gaps
	preceding, isFirst := t.standsIn(account)
	between := versionsOf(preceding[min(len(preceding), issuersPerAccount):])
	isNew := isFirst && (!s.isFirst || slices.ContainsFunc(between, func(v rowVersion) bool { return !slices.Contains(s.between, v) }))
	if isNew {
		s.firstSince = now
	}
	s.isFirst, s.between = isFirst, between
	var contested []contestedIssuer
	if isFirst {
		contested = contestedAmong(preceding, now)
	}
	for _, c := range s.contested {
		i := slices.IndexFunc(contested, func(o contestedIssuer) bool { return !isNew && c.shownAt.IsZero() && o.row == c.row })
		switch {
		case i >= 0:
			contested[i].since = c.since
		case !c.shownAt.IsZero():
			contested = append(contested, c)
		case !now.Before(c.beginsAt()):
			c.shownAt = t.previousReadAt
			contested = append(contested, c)
		}
	}
	s.contested = slices.DeleteFunc(contested, func(c contestedIssuer) bool { return !c.isRecent(now) })
}

// standsIn reports whether this instance is the one that stands in for issuers of the account that
// are contested, and returns the members that precede it.
func (t *tenure) standsIn(account string) (preceding []*discoverer.Row, isFirst bool) {
	if t.own.Version == 0 || t.hasOlderBuilds() {
		return nil, false
	}
	preceding = t.preceding(account)
	if len(preceding) < issuersPerAccount || len(preceding) >= candidatesPerAccount {
		return nil, false
	}
	return preceding, !slices.ContainsFunc(preceding[issuersPerAccount:], func(m *discoverer.Row) bool { return !m.IsContested })
}

// contestedAmong returns the contested ones of the issuers, of the members that precede this one.
func contestedAmong(preceding []*discoverer.Row, now time.Time) []contestedIssuer {
	ids := make([]rowID, 0, len(preceding))
	for _, m := range preceding {
		ids = append(ids, idOf(m))
	}
	var contested []contestedIssuer
	for _, m := range preceding[:issuersPerAccount] {
		if m.IsContested {
			contested = append(contested, contestedIssuer{row: rowVersion{m.Incarnation, m.Version}, since: now, preceding: ids})
		}
	}
	return contested
}

func versionsOf(rows []*discoverer.Row) []rowVersion {
	versions := make([]rowVersion, 0, len(rows))
	for _, m := range rows {
		versions = append(versions, rowVersion{m.Incarnation, m.Version})
	}
	return versions
}

// preceding returns the members that take precedence over this instance for the account, first
// ones first. Of more than candidatesPerAccount, it returns some.
func (t *tenure) preceding(account string) []*discoverer.Row {
	self := discoverer.Row{Member: t.members.Self()}
	var preceding []*discoverer.Row
	for i := range t.others {
		if t.others[i].Outranks(account, &self) {
			if preceding = append(preceding, &t.others[i]); len(preceding) > candidatesPerAccount {
				break
			}
		}
	}
	slices.SortFunc(preceding, func(a, b *discoverer.Row) int {
		if a.Outranks(account, b) {
			return -1
		}
		return 1
	})
	return preceding
}

func idOf(m *discoverer.Row) rowID { return rowID{m.Incarnation, m.ExistsFrom()} }

// isRecent reports whether the table that showed it last is not too old.
func (c *contestedIssuer) isRecent(now time.Time) bool {
	return c.shownAt.IsZero() || elapsed(c.shownAt, now) < discoverer.StandInDelay
}

func (c *contestedIssuer) beginsAt() time.Time {
	return c.since.Add(discoverer.StandInDelay + rightMargin)
}

// part returns the part of the bound that this instance may issue in place of contested issuers. While
// it is contested, or has not read the table, the next one does.
func (s *standIn) part(t *tenure, account string, now time.Time) (part float64, id rightID) {
	if s.gaps != t.gaps || t.ownShare(now) != 1 {
		return 0, rightID{}
	}
	for i := range s.contested {
		c := &s.contested[i]
		isHeld := c.shownAt.IsZero() || c.isRecent(now) && !t.hasNewIssuer(account, c.preceding)
		if !isHeld || now.Before(c.beginsAt()) {
			continue
		}
		part += (1 - contestedShare) / issuersPerAccount
		if !c.since.Before(id.since) {
			id = rightID{since: c.since, beganAt: c.beginsAt()}
		}
	}
	return part, id
}

// hasNewIssuer reports whether there are issuers that are not among the known members. They may
// begin as soon as this instance has confirmed them.
func (t *tenure) hasNewIssuer(account string, known []rowID) bool {
	preceding := t.preceding(account)
	if len(preceding) >= candidatesPerAccount || t.hasOlderBuilds() {
		return true
	}
	return slices.ContainsFunc(preceding[:min(len(preceding), issuersPerAccount)], func(m *discoverer.Row) bool { return !slices.Contains(known, idOf(m)) })
}

// onlySince returns from when on no other instance stands in for a member that was removed at the
// time: none relies on a table from before, or on one by which it is the first.
func (s *standIn) onlySince(t *tenure, removedAt time.Time) time.Time {
	latest := removedAt.Add(discoverer.StandInDelay)
	isContested, endedAt := t.members.Contest()
	if !s.isFirst || s.changes < t.changes-1 || s.gaps != t.gaps || isContested || elapsed(t.cleanAt, removedAt) >= discoverer.StandInDelay {
		return latest
	}
	since := s.firstSince
	if endedAt.After(since) {
		since = endedAt
	}
	if since = since.Add(discoverer.StandInDelay + rightMargin); since.After(latest) {
		return latest
	}
	if since.Before(removedAt) {
		return removedAt
	}
	return since
}
