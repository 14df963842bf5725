package main

import (
	"context"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

const hashKeyHelp = `Prints the hash of the key in a file, in the form used by the document and the
settings. White space around the key is ignored.

Example:

   wigeonctl hash-key ann.key`

func newHashKeyCmd() *cli.Command {
	return &cli.Command{
		Name: "hash-key", Usage: "print the hash of a key", ArgsUsage: "FILE",
		Description: hashKeyHelp,
		Action:      func(_ context.Context, cmd *cli.Command) error { return hashKey(cmd) },
	}
}

// hashKeyResult is the JSON output of the hash-key command.
type hashKeyResult struct{ Hash string }

func hashKey(cmd *cli.Command) error {
	given, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(given[0])
	if err != nil {
		return usageError("reading the key: %v", err)
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return usageError("%s contains no key", given[0])
	}
	result := hashKeyResult{Hash: compiler.HashKey(key)}
	return print(cmd, result, func(p *textWriter) { p.printf("%s\n", result.Hash) })
}
