package bencher

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// WriteTable writes the results as a Markdown table, each figure as the mean
// over the seeds and, in brackets, the least and the greatest.
func WriteTable(w io.Writer, r Results) error {
	var b strings.Builder
	b.WriteString("| Policy |")
	for _, c := range r.Experiment.Columns {
		fmt.Fprintf(&b, " %s |", c.Title)
	}
	b.WriteString("\n|---|" + strings.Repeat("--:|", len(r.Experiment.Columns)) + "\n")
	for _, o := range r.Outcomes {
		fmt.Fprintf(&b, "| %s |", o.Case.Name)
		for _, c := range r.Experiment.Columns {
			fmt.Fprintf(&b, " %s |", o.spread(c))
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// spread returns a column's mean and range over the seeds.
func (o Outcome) spread(c Column) string {
	low, high := math.Inf(1), math.Inf(-1)
	for _, f := range o.Figures {
		low, high = min(low, c.Get(f)), max(high, c.Get(f))
	}
	text := fmt.Sprintf(c.Format, o.mean(c))
	bounds := fmt.Sprintf(c.Format+"–"+c.Format, low, high)
	if bounds == text+"–"+text {
		return text
	}
	return text + " (" + bounds + ")"
}

// mean returns a column's mean over the seeds.
func (o Outcome) mean(c Column) float64 {
	sum := 0.0
	for _, f := range o.Figures {
		sum += c.Get(f)
	}
	return sum / float64(len(o.Figures))
}
