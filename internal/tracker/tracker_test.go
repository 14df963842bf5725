package tracker_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/internal/storer"
	"github.com/wigeonstand/wigeonstand/internal/tracker"
)

const table = "things"

func key(name string) storer.RowKey { return storer.RowKey{Table: table, Name: name} }

func values(t *tracker.Tracker) map[string]string {
	out := map[string]string{}
	for _, r := range t.Records() {
		out[r.Name] = string(r.Value)
	}
	return out
}

func refresh(t *testing.T, tr *tracker.Tracker, wantChanged bool) {
	t.Helper()
	changed, err := tr.Refresh(t.Context(), 0)
	if err != nil || changed != wantChanged {
		t.Errorf("got changed %v, error %v; want changed %v", changed, err, wantChanged)
	}
}

func TestCopyFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		rows.Put(key("a"), []byte("1"))
		rows.Put(key("b"), []byte("1"))
		tr := tracker.New(rows.For("x"), table, "")
		refresh(t, tr, true)
		refresh(t, tr, false)
		rows.Put(key("a"), []byte("2"))
		rows.Put(key("c"), []byte("1"))
		rows.Remove(key("b"))
		rows.Put(storer.RowKey{Table: table, Partition: "other", Name: "d"}, []byte("1"))
		refresh(t, tr, true)
		if diff := cmp.Diff(map[string]string{"a": "2", "c": "1"}, values(tr)); diff != "" {
			t.Error(diff)
		}
		refresh(t, tr, false)
		if got := rows.Counts(); got.Lists != 1 || got.Feeds != 3 {
			t.Errorf("got %d lists and %d change reads, want 1 and 3", got.Lists, got.Feeds)
		}
	})
}

func TestExpiredVersionCausesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		rows.Put(key("a"), []byte("1"))
		tr := tracker.New(rows.For("x"), table, "")
		refresh(t, tr, true)
		rows.Remove(key("a"))
		rows.Put(key("b"), []byte("1"))
		rows.Forget()
		refresh(t, tr, true)
		if diff := cmp.Diff(map[string]string{"b": "1"}, values(tr)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCopyIsKeptDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		rows.Put(key("a"), []byte("1"))
		tr := tracker.New(rows.For("x"), table, "")
		refresh(t, tr, true)
		rows.SetFaults(fakeplatform.RowFaults{Outage: true})
		for range 2 {
			if _, err := tr.Refresh(t.Context(), 0); err == nil {
				t.Error("got no error during the outage")
			}
			time.Sleep(3 * time.Minute)
		}
		if diff := cmp.Diff(map[string]string{"a": "1"}, values(tr)); diff != "" {
			t.Error(diff)
		}
	})
}

// feedWithoutRecords drops the records of the change feed.
type feedWithoutRecords struct{ storer.Rows }

func (f feedWithoutRecords) Changes(ctx context.Context, table string, after int64, wait time.Duration) (storer.Page, error) {
	page, err := f.Rows.Changes(ctx, table, after, wait)
	page.Records = nil
	return page, err
}

func TestFullReadFindsChangeMissingFromFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		tr := tracker.New(feedWithoutRecords{rows.For("x")}, table, "")
		refresh(t, tr, false)
		rows.Put(key("a"), []byte("1"))
		refresh(t, tr, false)
		time.Sleep(3 * time.Minute)
		refresh(t, tr, true)
		if diff := cmp.Diff(map[string]string{"a": "1"}, values(tr)); diff != "" {
			t.Error(diff)
		}
	})
}

// pagedReader limits pages of a list to two rows and calls afterPage after each.
type pagedReader struct {
	storer.Rows
	afterPage func()
}

func (p pagedReader) List(ctx context.Context, r storer.Range) (storer.Page, error) {
	r.Limit = 2
	page, err := p.Rows.List(ctx, r)
	p.afterPage()
	return page, err
}

// Rows of earlier and of later pages change while a list of several pages is read.
func TestChangesBetweenPagesAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fakeplatform.NewRows(1)
		for i := range 6 {
			rows.Put(key(fmt.Sprint(i)), []byte("old"))
		}
		n := 0
		afterPage := func() {
			if n++; n != 1 {
				return
			}
			rows.Put(key("0"), []byte("new"))
			rows.Remove(key("1"))
			rows.Remove(key("4"))
			rows.Put(key("4"), []byte("new"))
			rows.Remove(key("5"))
		}
		tr := tracker.New(pagedReader{rows.For("x"), afterPage}, table, "")
		// The copy is of one moment, not before the last page.
		refresh(t, tr, true)
		want := map[string]string{"0": "new", "2": "old", "3": "old", "4": "new"}
		if diff := cmp.Diff(want, values(tr)); diff != "" {
			t.Error(diff)
		}
		refresh(t, tr, false)
		if diff := cmp.Diff(want, values(tr)); diff != "" {
			t.Error(diff)
		}
	})
}
