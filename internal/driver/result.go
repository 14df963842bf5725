package driver

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

// Result is what came of a run.
type Result struct {
	Run  string
	Seed uint64
	Took time.Duration
	// Attempts counts HTTP requests, retries included.
	Attempts int
	Mixes    []MixResult
	Seconds  []Second
	// ViolationCount counts all violations; Violations holds the first ones.
	ViolationCount int
	Violations     []Violation
	// Calls lists every service call, for Verify.
	Calls []Call
	// Ended lists the programs whose end was acknowledged, for VerifyHoldings.
	Ended []string
	// Samples lists every turn answered whole, for Pair; only with WithSamples.
	Samples []Sample `json:",omitempty"`
}

// MixResult is what came of one mix.
type MixResult struct {
	Mix string
	// Programs counts programs that arrived and ended, Finished those of them
	// whose every request was answered whole.
	Programs int
	Finished int
	// Requests counts requests by what became of them.
	Requests Tally
	Kinds    []KindCount
	// Prompt, Cached and Generated are in tokens, as the answers say.
	Prompt    int
	Cached    int
	Generated int
	// Reprefilled is the part of the prompts that the program's turn before
	// had left in a cache and that was not found there.
	Reprefilled int
	Latencies   []Latency
}

// Tally counts requests.
type Tally struct {
	Sent    int
	Whole   int
	NotRun  int
	Failed  int
	Cut     int
	Unknown int
}

// add counts one request.
func (t *Tally) add(outcome Outcome) {
	t.Sent++
	switch outcome {
	case Whole:
		t.Whole++
	case NotRun:
		t.NotRun++
	case Failed:
		t.Failed++
	case Cut:
		t.Cut++
	case Unknown:
		t.Unknown++
	}
}

// KindCount counts the refusals of one kind.
type KindCount struct {
	Kind  answerer.Kind
	Count int
}

// Latency is the distribution of one measure.
type Latency struct {
	// Measure is "Program" (pauses not counted), "Turn" (to the complete
	// answer), "FirstToken", "LastToken", "TokenGap" or "Call".
	Measure string
	Count   int
	Mean    time.Duration
	Max     time.Duration
	// Quantiles rise.
	Quantiles []Quantile
}

// Quantile is a point of a distribution.
type Quantile struct {
	Share float64
	Value time.Duration
}

// at returns the value at the share given, or zero.
func (l Latency) at(share float64) time.Duration {
	for _, q := range l.Quantiles {
		if q.Share >= share {
			return q.Value
		}
	}
	return 0
}

// Second is what ended in one second of the run.
type Second struct {
	Second   int
	Requests Tally
	// TurnP95 is 95th percentile of the latency of turns.
	TurnP95 time.Duration
}

// Violation is something that must always hold and did not.
type Violation struct {
	Mix     string
	Program string
	// Name is the program's name in the run.
	Name string
	Text string
}

// Sample is one turn answered whole. Its name does not depend on the run.
type Sample struct {
	Mix        string
	Name       string
	Turn       time.Duration
	FirstToken time.Duration
	LastToken  time.Duration
}

// Call is one service call and what became of it.
type Call struct {
	Service string
	Path    string
	Key     string
	Outcome Outcome
	// Status is that of the service's own answer; zero if there is none.
	Status int
}

// accepted says whether the service answered that it has executed the call.
func (c Call) accepted() bool {
	return c.Outcome == Whole && c.Status < http.StatusMultipleChoices
}

// Write writes the result as JSON.
func (r Result) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "write the result")
}

// WriteFile writes the result as JSON.
func (r Result) WriteFile(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create the result")
	}
	if err := r.Write(file); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "close the result")
}

// ReadFile reads a result that WriteFile wrote.
func ReadFile(path string) (Result, error) {
	var r Result
	body, err := os.ReadFile(path)
	if err != nil {
		return r, eris.Wrap(err, "read the result")
	}
	return r, eris.Wrap(json.Unmarshal(body, &r), "decode the result")
}
