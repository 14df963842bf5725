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

// checkOutput returns the validator of a flag with the format of the output.
func checkOutput(flag string) func(value string) error {
	return func(value string) error {
		if value != outputText && value != outputJSON {
			return fmt.Errorf("--%s must be %s or %s, not %q", flag, outputText, outputJSON, value)
		}
		return nil
	}
}

// wantsJSON reports whether --output, or --format of the check command, is json.
func wantsJSON(cmd *cli.Command) bool {
	return cmd.String(flagOutput) == outputJSON || cmd.String(flagFormat) == outputJSON
}

// textWriter writes formatted text and stops at the first error, which it keeps.
type textWriter struct {
	w   io.Writer
	err error
}

func (p *textWriter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// table aligns lines of tab-separated cells in columns.
func (p *textWriter) table(header string, lines []string) {
	columns := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	inner := &textWriter{w: columns, err: p.err}
	inner.printf("%s\n", header)
	for _, line := range lines {
		inner.printf("%s\n", line)
	}
	p.err = errors.Join(inner.err, columns.Flush())
}

// missing writes the names of the instances that did not answer, if any.
func (p *textWriter) missing(names []string) {
	if len(names) > 0 {
		p.printf("no answer from: %s\n", strings.Join(names, ", "))
	}
}

// print writes the value as JSON, or calls text to write it, depending on wantsJSON.
func print(cmd *cli.Command, value any, text func(p *textWriter)) error {
	w := cmd.Root().Writer
	if wantsJSON(cmd) {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	p := &textWriter{w: w}
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

func formatTime(at time.Time) string { return at.UTC().Format(time.RFC3339) }
