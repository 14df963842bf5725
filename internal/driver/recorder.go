package driver

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

// The measures of latency.
const (
	measureProgram    = "Program"
	measureTurn       = "Turn"
	measureFirstToken = "FirstToken"
	measureLastToken  = "LastToken"
	measureTokenGap   = "TokenGap"
	measureCall       = "Call"
)

// Histograms count microseconds up to an hour with three digits.
const (
	histogramUnit   = time.Microsecond
	histogramMax    = int64(time.Hour / histogramUnit)
	histogramDigits = 3
)

// violationLimit bounds the violations kept.
const violationLimit = 100

// shares are the points of a distribution that a result keeps.
var shares = []float64{0, 0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999, 1}

// recorder gathers a result. It is safe for concurrent use.
type recorder struct {
	start time.Time
	log   *logger.Logger

	mu         sync.Mutex
	mixes      map[string]*mixRecord
	seconds    map[int]*secondRecord
	violations []Violation
	violated   int
	calls      []Call
	ended      []string
	// sampled says whether samples are kept.
	sampled bool
	samples []Sample
}

type mixRecord struct {
	MixResult
	kinds      map[answerer.Kind]int
	histograms map[string]*hdrhistogram.Histogram
}

type secondRecord struct {
	requests Tally
	turns    []time.Duration
}

func newRecorder(start time.Time, log *logger.Logger) *recorder {
	return &recorder{
		start:   start,
		log:     log,
		mixes:   map[string]*mixRecord{},
		seconds: map[int]*secondRecord{},
	}
}

// mix returns the record of the mix. The lock is held.
func (r *recorder) mix(name string) *mixRecord {
	if r.mixes[name] == nil {
		r.mixes[name] = &mixRecord{
			MixResult:  MixResult{Mix: name},
			kinds:      map[answerer.Kind]int{},
			histograms: map[string]*hdrhistogram.Histogram{},
		}
	}
	return r.mixes[name]
}

// second returns the record of the present second. The lock is held.
func (r *recorder) second() *secondRecord {
	n := int(time.Since(r.start) / time.Second)
	if r.seconds[n] == nil {
		r.seconds[n] = &secondRecord{}
	}
	return r.seconds[n]
}

// operation records one request.
func (r *recorder) operation(mix, operation string, outcome Outcome, kind answerer.Kind, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, s := r.mix(mix), r.second()
	m.Requests.add(outcome)
	s.requests.add(outcome)
	if kind != "" {
		m.kinds[kind]++
	}
	if outcome != Whole {
		return
	}
	switch operation {
	case "Turn":
		m.record(measureTurn, took)
		s.turns = append(s.turns, took)
	case "Call":
		m.record(measureCall, took)
	}
}

// stream records how a turn's answer arrived. Held is what the turn before had
// left in a cache, in tokens.
func (r *recorder) stream(mix string, due time.Time, held int, answer TurnAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.mix(mix)
	m.Prompt += answer.Usage.Prompt
	m.Cached += answer.Usage.Cached
	m.Generated += answer.Usage.Generated
	m.Reprefilled += max(held-answer.Usage.Cached, 0)
	if answer.Stream.Chunks > 0 {
		m.record(measureFirstToken, answer.Stream.First.Sub(due))
		m.record(measureLastToken, answer.Stream.last.Sub(due))
	}
	for _, gap := range answer.Stream.Gaps {
		m.record(measureTokenGap, gap)
	}
}

// program records the end of a program.
func (r *recorder) program(mix string, finished bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.mix(mix)
	m.Programs++
	if finished {
		m.Finished++
		m.record(measureProgram, took)
	}
}

// sample records one turn answered whole, if samples are kept.
func (r *recorder) sample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sampled {
		r.samples = append(r.samples, s)
	}
}

// end records a program whose end was acknowledged.
func (r *recorder) end(program string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, program)
}

func (r *recorder) call(call Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

func (r *recorder) violate(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violated++
	if len(r.violations) < violationLimit {
		r.violations = append(r.violations, v)
	}
	r.log.Log(Violated, "Mix", v.Mix, "Program", v.Program, "Text", v.Text)
}

// record adds a value to the measure's histogram.
func (m *mixRecord) record(measure string, took time.Duration) {
	h := m.histograms[measure]
	if h == nil {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.histograms[measure] = h
	}
	// The value is within the bounds, so that it is always recorded.
	_ = h.RecordValue(min(max(int64(took/histogramUnit), 0), histogramMax))
}

// result returns what was recorded so far.
func (r *recorder) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := Result{
		ViolationCount: r.violated,
		Violations:     slices.Clone(r.violations),
		Calls:          slices.Clone(r.calls),
		Ended:          slices.Clone(r.ended),
		Samples:        slices.Clone(r.samples),
	}
	for _, m := range r.mixes {
		result.Mixes = append(result.Mixes, m.result())
	}
	slices.SortFunc(result.Mixes, func(a, b MixResult) int { return cmp.Compare(a.Mix, b.Mix) })
	for n, s := range r.seconds {
		result.Seconds = append(result.Seconds, Second{Second: n, Requests: s.requests, TurnP95: quantile(s.turns, 0.95)})
	}
	slices.SortFunc(result.Seconds, func(a, b Second) int { return cmp.Compare(a.Second, b.Second) })
	return result
}

func (m *mixRecord) result() MixResult {
	result := m.MixResult
	for kind, count := range m.kinds {
		result.Kinds = append(result.Kinds, KindCount{Kind: kind, Count: count})
	}
	slices.SortFunc(result.Kinds, func(a, b KindCount) int { return cmp.Compare(a.Kind, b.Kind) })
	for _, measure := range []string{measureProgram, measureTurn, measureFirstToken, measureLastToken, measureTokenGap, measureCall} {
		if h := m.histograms[measure]; h != nil {
			result.Latencies = append(result.Latencies, newLatency(measure, h))
		}
	}
	return result
}

func newLatency(measure string, h *hdrhistogram.Histogram) Latency {
	l := Latency{
		Measure: measure,
		Count:   int(h.TotalCount()),
		Mean:    time.Duration(h.Mean() * float64(histogramUnit)),
		Max:     time.Duration(h.Max()) * histogramUnit,
	}
	for _, share := range shares {
		l.Quantiles = append(l.Quantiles, Quantile{
			Share: share,
			Value: time.Duration(h.ValueAtPercentile(share*100)) * histogramUnit,
		})
	}
	return l
}

// quantile returns the smallest value that the share of the values does not exceed.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(share * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}
