// Command mutants edits one source file of a scratch copy as a list of
// mutations says, so that hack/mutants.sh can see whether the tests notice.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// mutation replaces one piece of a file, which must occur exactly once.
type mutation struct {
	Name string `yaml:"Name"`
	// Breaks names the invariant that the mutation breaks.
	Breaks  string `yaml:"Breaks"`
	File    string `yaml:"File"`
	Old     string `yaml:"Old"`
	New     string `yaml:"New"`
	Package string `yaml:"Package"`
	Test    string `yaml:"Test"`
}

type list struct {
	Mutations []mutation `yaml:"Mutations"`
}

func main() {
	command := &cli.Command{
		Name:  "mutants",
		Usage: "list and apply mutations",
		Flags: []cli.Flag{&cli.StringFlag{Name: "list", Value: "hack/mutants/mutants.yaml", Usage: "read the mutations from `FILE`"}},
		Commands: []*cli.Command{
			{Name: "list", Usage: "print name, package and test of each", Action: show},
			{Name: "apply", Usage: "apply the mutation NAME below --directory", ArgsUsage: "NAME", Action: apply, Flags: []cli.Flag{
				&cli.StringFlag{Name: "directory", Required: true, Usage: "edit the copy in `DIR`"},
			}},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func load(c *cli.Command) ([]mutation, error) {
	body, err := os.ReadFile(c.String("list"))
	if err != nil {
		return nil, eris.Wrap(err, "read mutations")
	}
	var l list
	err = yaml.UnmarshalWithOptions(body, &l, yaml.Strict())
	return l.Mutations, eris.Wrap(err, "decode mutations")
}

func show(_ context.Context, c *cli.Command) error {
	mutations, err := load(c)
	if err != nil {
		return err
	}
	for _, m := range mutations {
		_, _ = fmt.Fprintf(c.Root().Writer, "%s\t%s\t%s\n", m.Name, m.Package, m.Test)
	}
	return nil
}

func apply(_ context.Context, c *cli.Command) error {
	mutations, err := load(c)
	if err != nil {
		return err
	}
	for _, m := range mutations {
		if m.Name == c.Args().First() {
			return m.apply(c.String("directory"))
		}
	}
	return eris.Errorf("no mutation %q", c.Args().First())
}

func (m mutation) apply(directory string) error {
	path := filepath.Join(directory, m.File)
	body, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read source")
	}
	if n := strings.Count(string(body), m.Old); n != 1 {
		return eris.Errorf("%s: the text to replace occurs %d times in %s", m.Name, n, m.File)
	}
	changed := strings.Replace(string(body), m.Old, m.New, 1)
	return eris.Wrap(os.WriteFile(path, []byte(changed), 0o600), "write source")
}
