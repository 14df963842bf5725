package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/loader"
)

const checkHelp = `Reads a whole document and reports all of its errors, one per line as
file:line:column: message. No instance is contacted. A document may be spread over
several files, but each section must be in one file.

With --against, or if the name of the only file ends in .json, the file is the
configuration that "wigeonstand entry" reads from the platform's store. The command
then reports what the entries would reject, entries that never match and limits that
contradict each other, and the differences from the configuration in --against with
their effects on the traffic. Keys are never printed, only the start of the hash that
"wigeonctl hash-key" prints. The exit code of this check is 0 if nothing is wrong, 1
if there are only warnings, and 2 if there are errors or a file can't be read.
Differences alone do not count.

Examples:

   wigeonctl check document.yaml
   wigeonctl check laulukaar/*.yaml
   wigeonctl check new.json --against current.json
   wigeonctl check --format json new.json`

func newCheckCmd() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a document or a configuration without contacting an instance", ArgsUsage: "FILE...",
		Description: checkHelp,
		Flags:       newCheckFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if isConfiguration(cmd) {
				return checkConfiguration(cmd)
			}
			return check(cmd)
		},
	}
}

// checkResult is the JSON output of the check command.
type checkResult struct{ Faults []loader.Error }

func check(cmd *cli.Command) error {
	files := cmd.Args().Slice()
	if len(files) == 0 {
		return usageError("check needs at least one file")
	}
	document, _, err := readDocument(files...)
	faults := loader.AsErrors(err)
	var failed *failure
	if asUsageError(err, &failed) {
		return failed
	}
	if err == nil {
		_, err = compiler.Compile(document)
		faults = loader.AsErrors(err)
	}
	if len(faults) == 0 {
		return print(cmd, checkResult{}, func(p *textWriter) { p.printf("the document is valid\n") })
	}
	if wantsJSON(cmd) {
		if err := print(cmd, checkResult{Faults: faults}, nil); err != nil {
			return err
		}
	}
	return newFailure(codeRefused, "the document has %d errors\n%w", len(faults), faults)
}

// asUsageError sets failed and returns true if err is a failure, such as a file that
// cannot be read, rather than the errors in a document.
func asUsageError(err error, failed **failure) bool {
	f, ok := err.(*failure)
	if ok {
		*failed = f
	}
	return ok
}

// readDocument reads a document from one or more files. It returns all errors in the
// document as loader.Errors, and an unreadable file as a usage error.
func readDocument(files ...string) (compiler.Document, *compiler.Revisions, error) {
	var document compiler.Document
	var revisions *compiler.Revisions
	var faults loader.Errors
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return document, nil, usageError("reading the document: %v", err)
		}
		part, given, err := compiler.Split(file, text)
		faults = append(faults, loader.AsErrors(err)...)
		document.Sections = append(document.Sections, part.Sections...)
		if given != nil {
			revisions = given
		}
	}
	return document, revisions, faults.Err()
}
