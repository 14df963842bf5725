package driver

import (
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Difference is the distribution of what the turns of one result took beyond
// the same turns of another one.
type Difference struct {
	Mix string
	// Measure is "Turn", "FirstToken" or "LastToken".
	Measure string
	Count   int
	Mean    time.Duration
	P05     time.Duration
	P50     time.Duration
	P95     time.Duration
	P99     time.Duration
}

// pairKey names what is paired.
type pairKey struct{ mix, measure string }

// Pair compares the samples of two results turn by turn: what b took less what
// a took. Turns that only one of them has are left out.
func Pair(a, b Result) []Difference {
	before := map[string]Sample{}
	for _, s := range a.Samples {
		before[s.Name] = s
	}
	values := map[pairKey][]time.Duration{}
	var keys []pairKey
	add := func(key pairKey, d time.Duration) {
		if values[key] == nil {
			keys = append(keys, key)
		}
		values[key] = append(values[key], d)
	}
	for _, s := range b.Samples {
		if other, ok := before[s.Name]; ok {
			add(pairKey{s.Mix, measureTurn}, s.Turn-other.Turn)
			add(pairKey{s.Mix, measureFirstToken}, s.FirstToken-other.FirstToken)
			add(pairKey{s.Mix, measureLastToken}, s.LastToken-other.LastToken)
		}
	}
	var differences []Difference
	for _, key := range keys {
		differences = append(differences, newDifference(key, values[key]))
	}
	return differences
}

func newDifference(key pairKey, values []time.Duration) Difference {
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	slices.Sort(values)
	return Difference{
		Mix:     key.mix,
		Measure: key.measure,
		Count:   len(values),
		Mean:    sum / time.Duration(len(values)),
		P05:     quantile(values, 0.05),
		P50:     quantile(values, 0.5),
		P95:     quantile(values, 0.95),
		P99:     quantile(values, 0.99),
	}
}

// WritePairs writes the differences as text.
func WritePairs(w io.Writer, differences []Difference) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row(t, "Mix", "Difference", "Count", "Mean", "P05", "P50", "P95", "P99")
	for _, d := range differences {
		row(t, d.Mix, d.Measure, d.Count, short(d.Mean), short(d.P05), short(d.P50), short(d.P95), short(d.P99))
	}
	return eris.Wrap(t.Flush(), "write the differences")
}
