package bencher

import (
	"fmt"
	"math"
	"strings"
)

const (
	// latencyTarget bounds the product's mean program latency as a share of the
	// baseline's.
	latencyTarget = 0.5
	// againTarget bounds the prefix prefilled again where memory suffices.
	againTarget = 0.05
)

// target is one promise and what was measured.
type target struct {
	text     string
	measured string
	met      bool
}

// writeTargets writes whether each target is met.
func writeTargets(page *strings.Builder, all []Results) {
	page.WriteString("## Targets\n\n| Target | Measured | Met |\n|---|---|---|\n")
	for _, t := range targets(all) {
		met := "no"
		if t.met {
			met = "yes"
		}
		fmt.Fprintf(page, "| %s | %s | %s |\n", t.text, t.measured, met)
	}
	page.WriteString("\n")
}

func targets(all []Results) []target {
	at := find(all, policiesName(targetLoad))
	ours := at.outcome(product.name())
	base := at.outcome(baseline.name())
	return []target{
		latencyTargetOf(ours, base),
		tailTarget(at, ours),
		prefixTarget(ours),
		hostTarget(ours),
	}
}

func latencyTargetOf(ours, base Outcome) target {
	share := ours.mean(columnMean) / base.mean(columnMean)
	return target{
		text: fmt.Sprintf("Mean program latency at %.1f at most half of %s", targetLoad, baseline.name()),
		measured: fmt.Sprintf("%.1f s against %.1f s, a share of %.2f",
			ours.mean(columnMean), base.mean(columnMean), share),
		met: share <= latencyTarget,
	}
}

func tailTarget(at Results, ours Outcome) target {
	best, name := math.Inf(1), ""
	for _, o := range at.Outcomes {
		if o.Case.Name != product.name() && o.mean(columnP95) < best {
			best, name = o.mean(columnP95), o.Case.Name
		}
	}
	return target{
		text:     fmt.Sprintf("p95 at %.1f no worse than the best baseline", targetLoad),
		measured: fmt.Sprintf("%.1f s against %.1f s of %s", ours.mean(columnP95), best, name),
		met:      ours.mean(columnP95) <= best,
	}
}

func prefixTarget(ours Outcome) target {
	worst := 0.0
	for _, f := range ours.Figures {
		worst = max(worst, f.AgainShare)
	}
	return target{
		text:     fmt.Sprintf("Prefix prefilled again at %.1f at most 5%% where memory suffices", targetLoad),
		measured: fmt.Sprintf("%.2f%%, worst seed %.2f%%", ours.mean(columnAgain), 100*worst),
		met:      worst <= againTarget,
	}
}

func hostTarget(ours Outcome) target {
	worst := 0.0
	for _, f := range ours.Figures {
		worst = max(worst, f.HostBehindTally)
	}
	return target{
		text:     fmt.Sprintf("A host's turn never behind a tally at %.1f", targetLoad),
		measured: fmt.Sprintf("%.3f%% of tally dispatches, worst seed %.3f%%", ours.mean(columnBehind), 100*worst),
		met:      worst == 0,
	}
}

func find(all []Results, name string) Results {
	for _, r := range all {
		if r.Experiment.Name == name {
			return r
		}
	}
	return Results{}
}

func (r Results) outcome(name string) Outcome {
	for _, o := range r.Outcomes {
		if o.Case.Name == name {
			return o
		}
	}
	return Outcome{}
}
