package main

import (
	"context"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

const hashKeyHelp = `Prints the hash of the key in a file, in the form in which the document and the
settings hold keys. White space around the key does not count.

Example:

   wigeonctl hash-key ann.key`

func newHashKeyCmd() *cli.Command {
	return &cli.Command{
		Name: "hash-key", Usage: "print the hash of a key", ArgsUsage: "FILE",
		Description: hashKeyHelp,
		Action:      func(_ context.Context, cmd *cli.Command) error { return hashKey(cmd) },
	}
}

// hashed is what hash-key prints.
type hashed struct{ Hash string }

func hashKey(cmd *cli.Command) error {
	given, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(given[0])
	if err != nil {
		return usage("reading the key: %v", err)
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return usage("%s holds no key", given[0])
	}
	result := hashed{Hash: compiler.HashKey(key)}
	return print(cmd, result, func(p *page) { p.printf("%s\n", result.Hash) })
}
