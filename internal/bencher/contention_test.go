package bencher_test

import (
	"math"
	"testing"

	"github.com/wigeonstand/wigeonstand/internal/bencher"
)

// Without admission by need, most programs of a burst ended late or not at all, and engines with
// more context than memory read prompts again. Under the same load it must serve callers better
// than the mean load, and more urgent programs not worse than others.
func TestAdmissionByNeedServesABurstBetter(t *testing.T) {
	t.Parallel()
	for _, load := range []string{"Kinds", "Account", "Memory"} {
		run := func(admission string) bencher.ContentionFigures {
			f := bencher.RunContention(bencher.ContentionCase{Admission: admission, HasOrder: true, Load: load, Seed: 1})
			if sum := f.InTime + f.Late + f.Refused + f.Failed; math.Abs(sum-1) > 1e-9 || f.Programs < 2000 {
				t.Errorf("%s, %s: %+v", load, admission, f)
			}
			return f
		}
		mean, need, shares := run("MeanLoad"), run("Need"), run("Shares")
		for _, f := range []bencher.ContentionFigures{need, shares} {
			if f.Value < mean.Value+0.03 || f.WorstWindow < mean.WorstWindow || f.Urgent < f.InTime || f.TokensTwice > mean.TokensTwice+0.001 || f.Failed > 0.01 {
				t.Errorf("%s: %+v after %+v", load, f, mean)
			}
		}
	}
}
