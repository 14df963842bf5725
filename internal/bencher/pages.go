package bencher

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	pageName   = "MEASUREMENTS.md"
	plotFolder = "plots"
)

const pageHead = `# Measurements of the scheduling policy

This page is written by

    wigeonbench policy --seeds %d --out docs/

and every figure on it comes from that command; one table alone is printed by
` + "`wigeonbench policy --seeds %d --experiment NAME`" + `. The clock is virtual and all draws
follow the seed, so the command gives the same page each time. Each figure is the mean over
seeds 1 to %d, with the least and the greatest in brackets where they differ.

## What is run

The product's queue, router and limiters run unchanged under %d instances before %d fake engines. An
engine batches up to %d sequences; a step takes %v plus %v for each decoding sequence plus
%v for each prefilled token, at most %d a step. Its prefix cache holds %d tokens unless a table says
otherwise and evicts the tails of the least recently used entries. Load reports come every
%v and are %v old on arrival; cache events are %v to %v late and %.0f%% of them are lost. Nothing here
measures the network, the platform or real engines.

Programs arrive for %v and the first %v are not counted. A load of 1 is the work that the engines could
do with full batches and every prefix held. Its parts are hosts (15%%, precedence 0), editors (25%%,
1), rights programs with sub-agents (10%%, 2), trim chats (25%%, 1), tallies (20%%, 5, all arriving in
the first quarter of each two minutes, so that the load in a burst is 1.6 times the mean) and loops
without end (5%%, 1, cut after %d turns). Hosts, editors and rights programs belong to the
business Catalogue, the others to Buffet; both weigh the same.

Program latency is the time from arrival to the last answer, less the pauses of tools and people. The
programs row covers root programs but loops. Prefix again is the part of the prefix that an engine
had computed for the program and that was computed again; wasted prefill is the same as a part of
all prefill. Moves are dispatches to another engine than the program's last. Host behind tally is the
share of tally dispatches made while a host's turn waited on the same instance. Jain's index is taken over
ideal latency divided by real latency. KV token-seconds count what engines hold for ended programs.

`

// writePages writes the page and the plots of a whole batch.
func writePages(b Batch, all []Results) error {
	folder := filepath.Join(b.Out, plotFolder)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "make plot folder")
	}
	var page strings.Builder
	c := DefaultConfig()
	fmt.Fprintf(&page, pageHead, b.Seeds, b.Seeds, b.Seeds, c.Schedulers, c.Engines, engineSlots,
		stepBase, stepPerSequence, prefillPerToken, prefillChunk, c.CacheTokens, c.ReportPeriod, reportLag,
		eventDelayLow, eventDelayHigh, 100*eventLoss, c.Arrivals, c.Warmup, loopTurns)
	writeTargets(&page, all)
	for _, p := range plots() {
		if err := p.save(folder, all); err != nil {
			return err
		}
		fmt.Fprintf(&page, "![%s](%s/%s)\n\n", p.title, plotFolder, p.file)
	}
	for _, r := range all {
		if err := writeSection(&page, b, r); err != nil {
			return err
		}
	}
	path := filepath.Join(b.Out, pageName)
	page.WriteString(keptSection(path))
	return eris.Wrap(os.WriteFile(path, []byte(page.String()), 0o644), "write page")
}

func writeSection(page *strings.Builder, b Batch, r Results) error {
	e := r.Experiment
	fmt.Fprintf(page, "## %s\n\n", e.Title)
	if e.Note != "" {
		fmt.Fprintf(page, "%s\n\n", e.Note)
	}
	fmt.Fprintf(page, "`wigeonbench policy --seeds %d --experiment %s`\n\n", b.Seeds, e.Name)
	if err := WriteTable(page, r); err != nil {
		return eris.Wrap(err, "write table")
	}
	page.WriteString("\n")
	return nil
}
