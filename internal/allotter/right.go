package allotter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
)

const (
	// issuersPerAccount is the number of instances that issue an account's permits, each
	// for an equal part of the bound.
	issuersPerAccount = 2
	// maxMembers limits the members that are considered.
	maxMembers = 1 << 12
	// observeInterval is the time between two looks at the list of members.
	observeInterval = 250 * time.Millisecond
	// maxPause is the longest time between two looks after which the instance counts as
	// not having been interrupted. It is shorter than the time that others wait beyond the
	// instance's own lease before they drop it from their lists.
	maxPause = 2 * time.Second
	// rightMargin is the time before a right begins after the conditions for it were met, for
	// instances whose clocks run at different rates.
	rightMargin = 100 * time.Millisecond
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
	// isConfirmed and isAloneConfirmed are set once the list was read after the
	// corresponding time.
	isConfirmed, isAloneConfirmed bool
}

// rightID tells the rights of an instance to issue the permits of one account from each other.
type rightID struct{ since, completeAt time.Time }

// tenure is the time since which this instance may be an issuer at all: it is in the others'
// lists and every member that it knows has confirmed that.
type tenure struct {
	members Members
	// observedAt is the time of the last look, startedAt the beginning of the current
	// lease, and completeAt when all members had confirmed; zero if not.
	observedAt, startedAt, completeAt time.Time
	// epoch counts the changes of the list, and epochAt is the time of the last one;
	// epochReadAt is when the list was first known to have been read after that, zero if not.
	epoch                int64
	epochAt, epochReadAt time.Time
	fingerprint          uint64
	// listed are the other members, and confirmed the incarnations that have this instance
	// in their lists.
	listed    []discoverer.Member
	confirmed map[string]bool
	// introducedAt is the time of the last introduction.
	introducedAt time.Time
}

// observe looks at the list of members.
func (t *tenure) observe(now time.Time) {
	if !t.members.IsCurrent() || now.Sub(t.observedAt) > maxPause {
		t.startedAt, t.completeAt = time.Time{}, time.Time{}
		t.confirmed = map[string]bool{}
	}
	t.observedAt = now
	self := t.members.Self()
	var fingerprint uint64
	listed := t.listed[:0:0]
	for _, m := range t.members.Ranking("", maxMembers) {
		// Seeds, which have no incarnation, aren't members.
		if m.Incarnation == "" || m.Instance == self.Instance {
			continue
		}
		fingerprint ^= xxhash.Sum64String(m.Instance + "\x00" + m.Incarnation)
		listed = append(listed, m)
	}
	t.listed = listed
	if fingerprint != t.fingerprint || t.epoch == 0 {
		t.fingerprint, t.epochAt, t.epochReadAt = fingerprint, now, time.Time{}
		t.epoch++
	}
	if t.epochReadAt.IsZero() && t.members.ReadAt().After(t.epochAt) {
		t.epochReadAt = now
	}
	if !t.members.IsCurrent() {
		return
	}
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if t.completeAt.IsZero() && t.members.ReadAt().After(t.startedAt) && len(t.unconfirmed()) == 0 {
		t.completeAt = now
	}
}

// unconfirmed returns the members that have yet to confirm that this instance is in their
// lists.
func (t *tenure) unconfirmed() []discoverer.Member {
	var members []discoverer.Member
	for _, m := range t.listed {
		if !t.confirmed[m.Incarnation] {
			members = append(members, m)
		}
	}
	return members
}

// update updates the right after a change of the list.
func (r *right) update(t *tenure, account string) {
	if r.epoch == t.epoch {
		return
	}
	isIssuer := false
	for _, m := range t.members.Ranking(account, issuersPerAccount) {
		isIssuer = isIssuer || m.Instance == t.members.Self().Instance
	}
	// In an epoch that was not looked at, the instance may not have been an issuer.
	isContinued := r.epoch == t.epoch-1 && !r.since.IsZero()
	switch {
	case !isIssuer:
		r.since, r.isConfirmed = time.Time{}, false
	case !isContinued:
		r.since, r.isConfirmed = t.epochAt, false
	}
	isAlone := isIssuer && len(t.listed) == 0
	if !isAlone || !r.isAlone || r.epoch != t.epoch-1 {
		r.aloneSince, r.isAloneConfirmed = t.epochAt, false
	}
	r.isAlone, r.epoch = isAlone, t.epoch
}

// beganAt returns a time from which a right that holds now has held.
func (r *right) beganAt(t *tenure) time.Time {
	began := r.since
	for _, at := range []time.Time{t.completeAt, t.epochReadAt} {
		if at.After(began) {
			began = at
		}
	}
	return began.Add(rightMargin)
}

// part returns the part of the bound that this instance may issue.
func (r *right) part(t *tenure, account string, now time.Time) float64 {
	r.update(t, account)
	if !t.members.IsCurrent() || r.since.IsZero() || t.completeAt.IsZero() || now.Sub(t.completeAt) < rightMargin || now.Sub(r.since) < rightMargin {
		return 0
	}
	// A store that was not read since may have rows that contradict the change.
	if r.isConfirmed = r.isConfirmed || t.members.ReadAt().After(r.since); !r.isConfirmed {
		return 0
	}
	if r.isAlone && now.Sub(r.aloneSince) >= rightMargin {
		if r.isAloneConfirmed = r.isAloneConfirmed || t.members.ReadAt().After(r.aloneSince); r.isAloneConfirmed {
			return 1
		}
	}
	return 1.0 / issuersPerAccount
}
