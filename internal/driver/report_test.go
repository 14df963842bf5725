package driver_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/driver"
	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
)

func TestVerifyTellsWhatBrokeItsPromise(t *testing.T) {
	call := func(key string, outcome driver.Outcome) driver.Call {
		return driver.Call{Service: "fees", Path: "/postings/" + key, Key: key, Outcome: outcome}
	}
	result := driver.Result{Calls: []driver.Call{
		call("answered", driver.Whole), call("lost", driver.Whole), call("twice", driver.Whole),
		call("refused", driver.NotRun), call("refused-run", driver.NotRun),
		call("unknown", driver.Unknown), call("unknown-run", driver.Unknown),
		call("cut-twice", driver.Cut), call("failed", driver.Failed),
	}}
	page := func(paths ...string) fakeservice.CountsPage {
		var p fakeservice.CountsPage
		for _, path := range paths {
			p.Executions = append(p.Executions, fakeservice.Execution{Path: "/postings/" + path, Count: 1})
		}
		return p
	}
	counts := []driver.ServiceCounts{
		{Service: "fees", Page: page("answered", "twice", "refused-run", "unknown-run", "cut-twice", "not ours")},
		{Service: "fees", Page: page("twice", "cut-twice")},
		{Service: "dockets", Page: page("lost")},
	}
	want := driver.Verification{
		Calls: 9, Acknowledged: 3, Executed: 2, Unsettled: 2,
		Faults: []string{
			"fees call lost (Whole) was acknowledged and not executed",
			"fees call twice (Whole) was executed 2 times",
			"fees call refused-run (NotRun) was refused as not run and executed",
			"fees call cut-twice (Cut) was executed 2 times",
		},
	}
	same(t, want, driver.Verify(result, counts))
}

func TestReportShowsEveryMixAndPlots(t *testing.T) {
	var result driver.Result
	s := &stub{strike: onFirst(1, "Turn", "crossed")}
	drive(t, s, mixes(t, "songs=2,fees=2"), func(_ *testing.T, r driver.Result) { result = r })
	dir := t.TempDir()
	file := filepath.Join(dir, "run.json")
	if err := result.WriteFile(file); err != nil {
		t.Fatal(err)
	}
	read, err := driver.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	same(t, result, read)
	named := driver.Named{Name: "run", Result: read}
	var table bytes.Buffer
	if err := driver.WriteTable(&table, named); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"songs", "fees", "FirstToken", "P95", "answers another input"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
	paths, err := driver.WritePlots(dir, named)
	if err != nil {
		t.Fatal(err)
	}
	same(t, 6, len(paths))
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(body, []byte("</svg>")) {
			t.Errorf("%s is not a whole SVG", path)
		}
	}
}

func TestReadFileRefusesWhatIsNotAResult(t *testing.T) {
	file := filepath.Join(t.TempDir(), "run.json")
	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := driver.ReadFile(file)
	if err == nil {
		t.Error("a broken file was read: " + cmp.Diff(driver.Result{}, got))
	}
}
