package opener_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/opener"
)

var start = time.Unix(1_000_000, 0)

// taken returns a tenure that holds the right after the row, and the row that it has then.
func taken(t *testing.T, holder string, current opener.Current, now time.Time) (*opener.Tenure, opener.Current) {
	t.Helper()
	tenure, w := opener.Take(holder, 0, current, []string{holder + "-w1", holder + "-w2"}, share, terms)
	return tenure, written(tenure, w, now)
}

// written lets the write take effect and returns the row.
func written(tenure *opener.Tenure, w opener.Write, now time.Time) opener.Current {
	c := opener.Current{Right: w.Right, Version: w.Expected + 10}
	tenure.Observe(c.Right, c.Version, now, now)
	return c
}

// A renewal says that a lost holder opened nothing since. An opening that its witnesses know, and of which
// nothing is used yet, can be used after it without another check.
func TestRenewalExceptsTenuresWithOpenings(t *testing.T) {
	tenure, _ := taken(t, "a", opener.Current{}, start)
	if !tenure.Renew(start) {
		t.Error("no renewal without openings")
	}
	now := start.Add(terms.Silence)
	p := opener.Program{Name: "p", Budget: 1000}
	if result := tenure.Reserve(p, "t1", 10, now); result != opener.Unreported {
		t.Fatalf("result %v", result)
	}
	for _, witness := range []string{"a-w1", "a-w2"} {
		tenure.Acknowledge("p", witness, 250)
	}
	if tenure.Renew(now) {
		t.Error("a renewal while a program may be used without a row")
	}
	tenure.DropUnused()
	if !tenure.Renew(now) {
		t.Error("no renewal after the opening is dropped")
	}
	if result := tenure.Reserve(p, "t1", 10, now.Add(terms.Silence-1)); result != opener.Refused {
		t.Errorf("result %v within the silence after the renewal", result)
	}
}

// Guards against a share that is handed out once more because the time of an end was that of another process:
// the row of the members may be that of a process before the holder.
func TestEndBeforeTheRenewalIsNoEvidence(t *testing.T) {
	_, row := taken(t, "a", opener.Current{}, start)
	successor, _ := taken(t, "b", row, start)
	var got []bool
	for _, end := range []time.Duration{-time.Second, 0, time.Second, terms.Silence - time.Second/20, terms.Silence} {
		got = append(got, successor.HasOpenedNothing(start, start.Add(end)))
	}
	if diff := cmp.Diff([]bool{false, true, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against programs that are cleared after two losses in a row, of which only the second is looked at.
func TestTwoLossesInARow(t *testing.T) {
	now := start
	_, row := taken(t, "a", opener.Current{}, now)
	second, _ := taken(t, "b", row, now)
	w, ok := second.Deduct()
	if !ok {
		t.Fatal("no deduction")
	}
	row = written(second, w, now)
	// The second holder can't tell yet whether a program without a row is one of the first one's.
	if mark := second.Mark("p", 0, true); mark != 0 {
		t.Errorf("mark %d during the time in which programs return", mark)
	}
	if w, ok := second.Advance(now.Add(terms.Window+returnTime-1), time.Time{}, returnTime); ok && w.Right.Lost.IsPast {
		t.Error("the time in which programs return ended early")
	}
	third, _ := taken(t, "c", row, now)
	third.FormerHasEnded(now) // The first holder may have been cut off only.
	if w, ok = third.Deduct(); !ok {
		t.Fatal("no deduction")
	}
	row = written(third, w, now)
	if diff := cmp.Diff(&opener.Lost{Latest: 11}, row.Right.Lost); diff != "" {
		t.Error(diff)
	}
	if w, ok := third.Advance(now.Add(terms.Window+returnTime-1), time.Time{}, returnTime); ok && w.Right.Lost.IsPast {
		t.Error("the time in which programs return ended early")
	}
	if w, ok = third.Advance(now.Add(terms.Window+returnTime), time.Time{}, returnTime); !ok || !w.Right.Lost.IsPast {
		t.Errorf("the time in which programs return has no end: %+v", w.Right.Lost)
	}
}
