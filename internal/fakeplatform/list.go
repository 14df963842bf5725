package fakeplatform

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// list keeps the states that the list of instances has had, oldest first.
type list struct{ states []listState }

// listState is the list as it was from the time on.
type listState struct {
	from     time.Time
	listings []storer.Listing
}

// at returns the list as it was at the time.
func (l *list) at(when time.Time) []storer.Listing {
	for i := len(l.states) - 1; i >= 0; i-- {
		if !l.states[i].from.After(when) {
			return slices.Clone(l.states[i].listings)
		}
	}
	return []storer.Listing{}
}

func (l *list) set(now time.Time, listing storer.Listing) {
	l.push(now, append(l.without(listing.Instance), listing))
}

func (l *list) remove(now time.Time, instance string) {
	l.push(now, l.without(instance))
}

// without returns a copy of the newest list without the instance.
func (l *list) without(instance string) []storer.Listing {
	if len(l.states) == 0 {
		return nil
	}
	newest := slices.Clone(l.states[len(l.states)-1].listings)
	return slices.DeleteFunc(newest, func(other storer.Listing) bool { return other.Instance == instance })
}

func (l *list) push(now time.Time, listings []storer.Listing) {
	slices.SortFunc(listings, func(a, b storer.Listing) int { return strings.Compare(a.Instance, b.Instance) })
	l.states = append(l.states, listState{from: now, listings: listings})
}
