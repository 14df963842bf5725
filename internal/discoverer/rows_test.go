package discoverer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/discoverer"
	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

func process(i int, incarnation string, rows storer.Rows) *discoverer.Discoverer {
	m := member(i, 0.8)
	m.Incarnation = m.Instance + "/" + incarnation
	return discoverer.New(m, rows)
}

func join(t *testing.T, all ...*discoverer.Discoverer) {
	t.Helper()
	for _, d := range all {
		if _, err := d.Join(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// known returns which of the instances the member at the observer's table surely has in its own.
func known(t *testing.T, observer *discoverer.Discoverer, instance string) map[string]bool {
	t.Helper()
	table := observer.Rows()
	rows := append(table.Others, table.Own)
	out := map[string]bool{}
	for i := range rows {
		if rows[i].Instance != instance {
			continue
		}
		for k := range rows {
			out[rows[k].Instance] = rows[i].Knows(&rows[k])
		}
	}
	return out
}

// Guards against a return that waits for a member that stays away: the rows show that its table has
// the instances that return, but not one that has joined since its last heartbeat.
func TestMemberThatStaysAwayKnowsTheInstancesThatReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		var all []*discoverer.Discoverer
		for i := range 3 {
			all = append(all, process(i, "first", rows.For(fmt.Sprint(i))))
		}
		join(t, all...)
		time.Sleep(6 * time.Second)
		for _, d := range all {
			if err := d.WriteHeartbeat(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		returned, added := process(0, "second", rows.For("0")), process(7, "first", rows.For("7"))
		join(t, returned, added)
		refresh(t, returned)
		want := map[string]bool{"entry-00": true, "entry-01": true, "entry-02": true, "entry-07": false}
		if diff := cmp.Diff(want, known(t, returned, "entry-02")); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against an instance that relies on the tables of others after they have dropped it: once its row was
// deleted, a new one counts from its own version, also if the instance has not noticed it.
func TestRowThatWasDeletedIsNotContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		lapsing, observer := process(0, "first", rows.For("0")), process(1, "first", rows.For("1"))
		join(t, lapsing, observer)
		for range 60 {
			time.Sleep(time.Second)
			if observer.IsHeartbeatDue() {
				if err := observer.WriteHeartbeat(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			refresh(t, observer)
			if len(observer.Rows().Others) == 1 && !lapsing.IsCurrent() && len(observer.Ranking("", 2)) == 1 {
				break
			}
		}
		if err := observer.DeleteLapsed(t.Context()); err != nil {
			t.Fatal(err)
		}
		refresh(t, observer)
		if others := observer.Rows().Others; len(others) != 0 {
			t.Fatalf("the row of a lapsed member is left: %v", others)
		}
		before := lapsing.Rows().Own
		if err := lapsing.WriteHeartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		if lapsing.Rows().Own.Version != 0 {
			t.Error("a row that was deleted counts as the instance's own")
		}
		refresh(t, lapsing)
		own := lapsing.Rows().Own
		if own.Version == 0 || own.ExistsFrom() <= before.ExistsFrom() {
			t.Errorf("the new row exists from version %d, the deleted one from %d", own.ExistsFrom(), before.ExistsFrom())
		}
	})
}

// Guards against the deletion of a row whose instance has written a heartbeat that the deleting
// instance has not read yet.
func TestRowIsNotDeletedAfterAHeartbeatThatWasNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		returning, observer := process(0, "first", rows.For("0")), process(1, "first", rows.For("1"))
		join(t, returning, observer)
		for range 60 {
			time.Sleep(time.Second)
			refresh(t, observer)
		}
		if err := returning.WriteHeartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := observer.DeleteLapsed(t.Context()); err != nil {
			t.Fatal(err)
		}
		refresh(t, observer)
		if others := observer.Rows().Others; len(others) != 1 {
			t.Errorf("the row of a member with a heartbeat was deleted: %v", others)
		}
	})
}

// silentRows takes effect without a response while isSilent is set.
type silentRows struct {
	storer.Rows
	isSilent bool
}

func (r *silentRows) Transact(ctx context.Context, changes []storer.Change) (int64, error) {
	version, err := r.Rows.Transact(ctx, changes)
	if r.isSilent {
		return 0, errors.New("no response")
	}
	return version, err
}

// Guards against a lease that outlasts the row: a heartbeat with a shorter interval that was written
// without a response makes others drop the instance earlier.
func TestLeaseEndsWithAHeartbeatOfUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		others := startInstances(t, rows, 9)
		refresh(t, others...)
		i := slices.IndexFunc(others, func(d *discoverer.Discoverer) bool {
			return d.Self().DataCentre == "dc-0" && d.Recorders("")[0].Instance != d.Self().Instance
		})
		silent := &silentRows{Rows: rows.For("silent")}
		promoted := discoverer.New(others[i].Self(), silent)
		join(t, promoted)
		time.Sleep(time.Second)
		if err := promoted.WriteHeartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(12 * time.Second)
		if !promoted.IsCurrent() {
			t.Fatal("not current 12 s after a heartbeat with the long interval")
		}
		// The instance becomes a bookkeeper.
		for _, d := range others {
			if d.Self().DataCentre == "dc-0" && d.Self().Instance != promoted.Self().Instance {
				promoted.Suspect(d.Self().Instance)
			}
		}
		silent.isSilent = true
		if err := promoted.WriteHeartbeat(t.Context()); err == nil {
			t.Fatal("the heartbeat had a response")
		}
		if promoted.IsCurrent() {
			t.Error("current 12 s after the last heartbeat, although others may drop the instance after 13 s")
		}
	})
}

// Guards against an instance that issues all of its part while another one stands in for it: it knows of
// a contest that it has never read, and takes it back.
func TestContestIsTakenBackAndRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		contested, observer := process(0, "first", rows.For("0")), process(1, "first", rows.For("1"))
		join(t, contested, observer)
		refresh(t, contested, observer)
		before := contested.Rows().Own
		time.Sleep(6 * time.Second)
		if err := observer.ContestMember(t.Context(), observer.Rows().Others[0]); err != nil {
			t.Fatal(err)
		}
		refresh(t, observer)
		if !observer.Rows().Others[0].IsContested {
			t.Fatal("the member is not contested")
		}
		if diff := cmp.Diff(known(t, contested, "entry-00"), known(t, observer, "entry-00")); diff != "" {
			t.Errorf("the contested row states another knowledge: %s", diff)
		}
		if err := contested.WriteHeartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		refresh(t, contested, observer)
		isContested, endedAt := contested.Contest()
		if isContested || time.Since(endedAt) > time.Second {
			t.Errorf("contested %v, until %v ago", isContested, time.Since(endedAt))
		}
		if observer.Rows().Others[0].IsContested {
			t.Error("the heartbeat did not take the contest back")
		}
		after := contested.Rows().Own
		if diff := cmp.Diff(before.ExistsFrom(), after.ExistsFrom()); diff != "" {
			t.Errorf("the row is not continued: %s", diff)
		}
	})
}

// Guards against a contest that counts as a heartbeat, and against the deletion of a contested row
// while others may stand in for its member.
func TestContestedMemberLapsesAndIsRemovedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		away, observer := process(0, "first", rows.For("0")), process(1, "first", rows.For("1"))
		join(t, away, observer)
		refresh(t, observer)
		var removedAt, deletedAt time.Duration
		start := time.Now()
		for deletedAt == 0 && time.Since(start) < time.Minute {
			time.Sleep(time.Second)
			if time.Since(start) == 10*time.Second {
				if err := observer.ContestMember(t.Context(), observer.Rows().Others[0]); err != nil {
					t.Fatal(err)
				}
			}
			if observer.IsHeartbeatDue() {
				if err := observer.WriteHeartbeat(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			refresh(t, observer)
			if err := observer.DeleteLapsed(t.Context()); err != nil {
				t.Fatal(err)
			}
			refresh(t, observer)
			table := observer.Rows()
			if removedAt == 0 && len(table.Removed) == 1 && len(table.Others) == 0 {
				removedAt = time.Since(start)
			}
			if removedAt != 0 && len(table.Removed) == 0 {
				deletedAt = time.Since(start)
			}
		}
		// The first heartbeat states the short interval.
		if removedAt > 15*time.Second || deletedAt-removedAt < discoverer.StandInDelay {
			t.Errorf("removed after %v, deleted after %v", removedAt, deletedAt)
		}
	})
}
