package correlator_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/correlator"
)

const logs = `
  0.5987 edge-1 {"time":"2026-06-14T04:33:29.100Z","level":"info","msg":"x","Instance":"edge-1","Event":5001,"Name":"RequestServed","Request":"a","Program":"p","Outcome":"Served"}
not a line
{"time":"2026-06-14T04:33:29.050Z","level":"warn","msg":"x","Instance":"edge-2","Event":5002,"Name":"RequestFailed","Request":"b","Program":"p","Previous":"a","Outcome":"Refused","Reason":"Books","Status":503}
{"time":"2026-06-14T04:33:29.000Z","level":"info","msg":"x","Instance":"edge-2","Event":5001,"Name":"RequestServed","Request":"z","Program":"q","Outcome":"Served"}
{"time":"2026-06-14T04:33:30.000Z","level":"info","msg":"x","Instance":"edge-1","Event":5020,"Name":"EntryStarted"}
`

func TestCorrelate(t *testing.T) {
	lines, skipped, err := correlator.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, skipped); diff != "" {
		t.Error(diff)
	}
	for _, tc := range []struct {
		id   string
		want []string
	}{
		// Turn a comes first although its time is later: the clock of the instance
		// that served turn b is behind.
		{"p", []string{"a", "b"}},
		{"a", []string{"a", "b"}},
		{"b", []string{"b"}},
		{"q", []string{"z"}},
		{"none", nil},
	} {
		var got []string
		for _, l := range correlator.Correlate(lines, tc.id) {
			got = append(got, l.Request)
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: %s", tc.id, diff)
		}
	}
}

func TestWrite(t *testing.T) {
	lines, _, err := correlator.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := correlator.Write(&out, correlator.Correlate(lines, "p")); err != nil {
		t.Fatal(err)
	}
	want := `   +0.000s  edge-1         5001 RequestServed Request="a" Outcome="Served"
   -0.050s  edge-2         5002 RequestFailed Request="b" Previous="a" Outcome="Refused" Reason="Books" Status="503"
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
}
