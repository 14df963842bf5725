package decider_test

import (
	"strings"
	"testing"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/decider"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/queuer"
	"github.com/wigeonstand/wigeonstand/internal/recorder"
	"github.com/wigeonstand/wigeonstand/internal/requester"
	"github.com/wigeonstand/wigeonstand/internal/router"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
)

// programRecords returns the records of a program with two turns.
func programRecords(program string) []recorder.Record {
	first := recorder.Chain(recorder.FirstChain(program), 1, "one", "first")
	second := recorder.Chain(first, 2, "two", "second")
	usage := generator.Usage{Prompt: 3, Generated: 2}
	return []recorder.Record{
		{Opened: &recorder.ProgramOpened{Program: program, Business: business, Agent: "editor", Budget: 100}},
		{Turned: &recorder.TurnCompleted{Program: program, Number: 1, Input: "one", Text: "first", Chain: first, Usage: usage}},
		{Turned: &recorder.TurnCompleted{Program: program, Number: 2, Input: "two", Text: "second", Chain: second, Usage: usage}},
	}
}

func TestRestoreRejectsInvalidRecords(t *testing.T) {
	changed := programRecords("p1")
	changed[1].Turned.Text = "another text"
	tests := []struct {
		name    string
		records []recorder.Record
		want    string
	}{
		{"missing turn", append(programRecords("p1")[:1], programRecords("p1")[2]), "follows turn 0"},
		{"changed text", changed, "does not continue the history"},
		{"turn of another program", append(programRecords("p1"), programRecords("p2")[1]), "was never opened"},
		{"repeated turn", append(programRecords("p1"), programRecords("p1")[2]), "follows turn 2"},
		{"program opened twice", append(programRecords("p1"), programRecords("p1")[0]), "opened twice"},
		{"outcome without intent", []recorder.Record{{Concluded: &recorder.CallOutcome{Business: business, Key: "k"}}}, "without an intent"},
		{"empty record", []recorder.Record{{}}, "empty"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var entries []sharder.Entry
			for _, r := range test.records {
				entries = append(entries, sharder.Entry{Body: recorder.Encode(r)})
			}
			policy := compiler.Policy{}
			core := decider.New(newVersion(0), queuer.New(policy), router.New(policy, 1), unlimitedRetries{})
			shard := requester.ShardOf("p1")
			_, err := core.Restore(shard, nil, entries)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("Restore returned %v, want an error with %q", err, test.want)
			}
			if core.Owns(shard) {
				t.Error("Owns returned true after a failed Restore")
			}
		})
	}
}
