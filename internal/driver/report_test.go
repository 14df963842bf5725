package driver_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/driver"
	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
	"github.com/wigeonstand/wigeonstand/internal/generator"
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
		{Service: "fees", Path: "/postings/own-500", Outcome: driver.Whole, Status: 500},
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
		Calls: 10, Acknowledged: 3, Executed: 2, Unsettled: 3,
		Faults: []string{
			"fees call lost (Whole) was acknowledged and not executed",
			"fees call twice (Whole) was executed 2 times",
			"fees call refused-run (NotRun) was refused as not run and executed",
			"fees call cut-twice (Cut) was executed 2 times",
		},
	}
	same(t, want, driver.Verify(result, counts))
}

func TestVerifyHoldingsTellsWhatEndedProgramsHold(t *testing.T) {
	result := driver.Result{Ended: []string{"p-1", "p-2"}}
	report := generator.HoldingReport{Holdings: []generator.Holding{{Program: "p-2", Tokens: 16}, {Program: "alive", Tokens: 32}}}
	want := []string{"e-1 holds 16 tokens of p-2, which has ended"}
	same(t, want, driver.VerifyHoldings(result, []driver.EngineHoldings{{Engine: "e-1", Report: report}}))
}

func TestPairComparesTheSameTurns(t *testing.T) {
	sample := func(name string, turn, first time.Duration) driver.Sample {
		return driver.Sample{Mix: "songs", Name: name, Turn: turn, FirstToken: first, LastToken: turn - first}
	}
	a := driver.Result{Samples: []driver.Sample{sample("songs-1/1", 100, 10), sample("songs-1/2", 100, 10), sample("songs-2/1", 1, 1)}}
	b := driver.Result{Samples: []driver.Sample{sample("songs-1/2", 90, 12), sample("songs-1/1", 130, 14), sample("songs-3/1", 1, 1)}}
	want := []driver.Difference{
		{Mix: "songs", Measure: "Turn", Count: 2, Mean: 10, P05: -10, P50: -10, P95: 30, P99: 30},
		{Mix: "songs", Measure: "FirstToken", Count: 2, Mean: 3, P05: 2, P50: 2, P95: 4, P99: 4},
		{Mix: "songs", Measure: "LastToken", Count: 2, Mean: 7, P05: -12, P50: -12, P95: 26, P99: 26},
	}
	same(t, want, driver.Pair(a, b))
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
	same(t, 7, len(paths))
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
