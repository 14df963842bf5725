package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/linter"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/platform"
)

// The flags of the check command.
const (
	flagAgainst         = "against"
	flagFormat          = "format"
	flagProgramRequests = "program-requests"
)

// defaultProgramRequests is the number of requests that a program is taken to send at once.
const defaultProgramRequests = 10

// The exit codes of the check of a configuration.
const (
	codeWarnings = 1
	codeErrors   = 2
)

func newCheckFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAgainst, Usage: "`FILE` with the configuration in force"},
		&cli.StringFlag{Name: flagFormat, Usage: "text or json, as --output", Value: outputText, Validator: checkOutput(flagFormat)},
		&cli.FloatFlag{
			Name: flagProgramRequests, Usage: "`NUMBER` of requests that the quota of an account must allow at once",
			Value: defaultProgramRequests,
		},
	}
}

// isConfiguration reports whether the arguments name a configuration rather than a document.
func isConfiguration(cmd *cli.Command) bool {
	files := cmd.Args().Slice()
	return cmd.IsSet(flagAgainst) || len(files) == 1 && strings.HasSuffix(files[0], ".json")
}

// configurationResult is the JSON output of the check of a configuration.
type configurationResult struct {
	// Worst is Error, Warning or empty.
	Worst    linter.Severity
	Findings []linter.Finding
}

func checkConfiguration(cmd *cli.Command) error {
	given, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	next, findings, err := readConfiguration(given[0])
	if err != nil {
		return err
	}
	isDecoded := linter.Worst(findings) != linter.Error
	if isDecoded {
		findings = append(findings, withFile(given[0], linter.Check(&next, cmd.Float(flagProgramRequests)))...)
	}
	if against := cmd.String(flagAgainst); cmd.IsSet(flagAgainst) {
		current, faults, err := readConfiguration(against)
		switch {
		case err != nil:
			return err
		case linter.Worst(faults) == linter.Error:
			findings = append(findings, faults...)
		case isDecoded:
			findings = append(findings, withFile(given[0], linter.Compare(&current, &next))...)
		}
	}
	result := configurationResult{Worst: linter.Worst(findings), Findings: append([]linter.Finding{}, findings...)}
	if err := print(cmd, result, func(p *textWriter) { printFindings(p, findings) }); err != nil {
		return err
	}
	switch result.Worst {
	case linter.Error:
		return newFailure(codeErrors, "%s has errors", given[0])
	case linter.Warning:
		return newFailure(codeWarnings, "%s has warnings", given[0])
	}
	return nil
}

func readConfiguration(file string) (matcher.Configuration, []linter.Finding, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return matcher.Configuration{}, nil, usageError("reading the configuration: %v", err)
	}
	configuration, findings := platform.InspectConfiguration(text)
	return configuration, withFile(file, findings), nil
}

func withFile(file string, findings []linter.Finding) []linter.Finding {
	for i := range findings {
		findings[i].File = file
	}
	return findings
}

// printFindings prints one finding per line, and the effect of a difference in the line after it.
func printFindings(p *textWriter, findings []linter.Finding) {
	for _, f := range findings {
		position := f.File
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
		}
		p.printf("%s: %s: %s\n", position, strings.ToLower(string(f.Severity)), f.Text)
		if f.Effect != "" {
			p.printf("    %s\n", f.Effect)
		}
	}
	if len(findings) == 0 {
		p.printf("nothing found\n")
	}
}
