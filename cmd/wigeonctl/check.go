package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/loader"
)

const checkHelp = `Reads a whole document and reports everything that is wrong with it, one line
per fault as file:line:column: message. No instance is asked. A document may be
spread over several files, as long as each section is in one file.

Examples:

   wigeonctl check document.yaml
   wigeonctl check laulukaar/*.yaml`

func newCheckCmd() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a document without asking any instance", ArgsUsage: "FILE...",
		Description: checkHelp,
		Action:      func(_ context.Context, cmd *cli.Command) error { return check(cmd) },
	}
}

// checked is what check prints.
type checked struct{ Faults []loader.Error }

func check(cmd *cli.Command) error {
	files := cmd.Args().Slice()
	if len(files) == 0 {
		return usage("check needs at least one file")
	}
	document, _, err := readDocument(files...)
	faults := loader.AsErrors(err)
	var failed *failure
	if asUsage(err, &failed) {
		return failed
	}
	if err == nil {
		_, err = compiler.Compile(document)
		faults = loader.AsErrors(err)
	}
	if len(faults) == 0 {
		return print(cmd, checked{}, func(p *page) { p.printf("the document is sound\n") })
	}
	if cmd.String(flagOutput) == outputJSON {
		if err := print(cmd, checked{Faults: faults}, nil); err != nil {
			return err
		}
	}
	return fail(codeRefused, "the document has %d errors\n%w", len(faults), faults)
}

// asUsage says whether err is about the command line rather than the document.
func asUsage(err error, failed **failure) bool {
	f, ok := err.(*failure)
	if ok {
		*failed = f
	}
	return ok
}

// readDocument reads a document from one or more files. Faults are returned
// together as loader.Errors.
func readDocument(files ...string) (compiler.Document, *compiler.Revisions, error) {
	var whole compiler.Document
	var revisions *compiler.Revisions
	var faults loader.Errors
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return whole, nil, usage("reading the document: %v", err)
		}
		part, given, err := compiler.Split(file, text)
		faults = append(faults, loader.AsErrors(err)...)
		whole.Sections = append(whole.Sections, part.Sections...)
		if given != nil {
			revisions = given
		}
	}
	return whole, revisions, faults.Err()
}
