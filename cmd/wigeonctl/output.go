package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(value string) error {
	if value != outputText && value != outputJSON {
		return fmt.Errorf("--%s must be %s or %s, not %q", flagOutput, outputText, outputJSON, value)
	}
	return nil
}

// page writes text and remembers the first error.
type page struct {
	w   io.Writer
	err error
}

func (p *page) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// table writes lines of tab-separated cells in columns.
func (p *page) table(header string, lines []string) {
	columns := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	inner := &page{w: columns, err: p.err}
	inner.printf("%s\n", header)
	for _, line := range lines {
		inner.printf("%s\n", line)
	}
	p.err = errors.Join(inner.err, columns.Flush())
}

// missing names instances that did not answer.
func (p *page) missing(names []string) {
	if len(names) > 0 {
		p.printf("no answer from: %s\n", strings.Join(names, ", "))
	}
}

// print writes the value as JSON or as the text that the function writes.
func print(cmd *cli.Command, value any, text func(p *page)) error {
	w := cmd.Root().Writer
	if cmd.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	p := &page{w: w}
	text(p)
	return p.err
}

func row(cells ...any) string {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	return strings.Join(texts, "\t")
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func stamp(at time.Time) string { return at.UTC().Format(time.RFC3339) }
