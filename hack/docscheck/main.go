// Command docscheck compares the pages of docs/ with what the code declares:
// log events, error kinds, metrics and settings, and looks for dead links. With
// --write it renews the generated tables.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	_ "github.com/wigeonstand/wigeonstand/internal/assembler" // Declares the daemon's log events.
	"github.com/wigeonstand/wigeonstand/internal/composer"
	"github.com/wigeonstand/wigeonstand/internal/configurer"
	_ "github.com/wigeonstand/wigeonstand/internal/fakeengine"   // Declares log events.
	_ "github.com/wigeonstand/wigeonstand/internal/fakeplatform" // Declares log events.
	_ "github.com/wigeonstand/wigeonstand/internal/fakeservice"  // Declares log events.
	"github.com/wigeonstand/wigeonstand/internal/logger"
	"github.com/wigeonstand/wigeonstand/internal/meter"
)

// The marks around a generated table.
const (
	begin = "<!-- generated: make docs -->\n"
	end   = "<!-- end -->\n"
)

// table is one generated table and the page that holds it.
type table struct {
	page string
	body func() string
}

var tables = []table{
	{"docs/EVENTS.md", logger.Catalogue},
	{"docs/ERRORS.md", kinds},
	{"docs/METRICS.md", metrics},
	{"docs/SETTINGS.md", settings},
	{"docs/ENTRY.md", entrySettings},
}

func main() {
	command := &cli.Command{
		Name:  "docscheck",
		Usage: "compare the pages with the code",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "write", Usage: "renew the generated tables"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("write") {
				return write()
			}
			return check()
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func kinds() string {
	var b strings.Builder
	b.WriteString("| Kind | Status | Ran | Retry after | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, a := range answerer.Table() {
		after := "never"
		if a.Retryable {
			after = a.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s |\n", a.Kind, a.Status, a.Ran, after, a.Message)
	}
	return b.String()
}

var description = regexp.MustCompile(`fqName: "(wigeonstand_[a-z_]+)", help: "([^"]*)", .*variableLabels: \{([^}]*)\}`)

func metrics() string {
	rows := map[string]string{}
	for _, text := range append(meter.New().Describe(), composer.Metrics()...) {
		parts := description.FindStringSubmatch(text)
		if parts != nil {
			rows[parts[1]] = fmt.Sprintf("| %s | %s | %s |\n", parts[1], strings.ReplaceAll(parts[3], ",", ", "), parts[2])
		}
	}
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString("| Metric | Labels | Meaning |\n| --- | --- | --- |\n")
	for _, name := range names {
		b.WriteString(rows[name])
	}
	return b.String()
}

func settings() string {
	var b strings.Builder
	b.WriteString("| Setting | Type | Default |\n| --- | --- | --- |\n")
	describe(&b, "", reflect.ValueOf(*configurer.DefaultSettings()))
	return b.String()
}

func entrySettings() string {
	var b strings.Builder
	b.WriteString("| Setting | Type | Default |\n| --- | --- | --- |\n")
	describe(&b, "", reflect.ValueOf(*configurer.DefaultEntrySettings()))
	return b.String()
}

// describe writes a row for each field that an operator may set.
func describe(b *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		name := prefix + field.Name
		if value.Kind() == reflect.Struct && value.Type().PkgPath() == reflect.TypeFor[configurer.Settings]().PkgPath() {
			describe(b, name+".", value)
			continue
		}
		text := fmt.Sprint(value.Interface())
		if address, isAddress := value.Interface().(netip.AddrPort); isAddress && !address.IsValid() {
			text = ""
		}
		fmt.Fprintf(b, "| %s | %s | %s |\n", name, field.Type, text)
	}
}

// split returns the page around its generated table.
func split(page string) (before, generated, after string, err error) {
	body, err := os.ReadFile(page)
	if err != nil {
		return "", "", "", eris.Wrap(err, "read page")
	}
	before, rest, ok := strings.Cut(string(body), begin)
	if !ok {
		return "", "", "", eris.Errorf("%s: no mark %q", page, strings.TrimSpace(begin))
	}
	generated, after, ok = strings.Cut(rest, end)
	if !ok {
		return "", "", "", eris.Errorf("%s: no mark %q", page, strings.TrimSpace(end))
	}
	return before, generated, after, nil
}

func write() error {
	for _, t := range tables {
		before, _, after, err := split(t.page)
		if err != nil {
			return err
		}
		if err := os.WriteFile(t.page, []byte(before+begin+t.body()+end+after), 0o600); err != nil {
			return eris.Wrap(err, "write page")
		}
	}
	return nil
}

func check() error {
	var faults []string
	for _, t := range tables {
		_, generated, _, err := split(t.page)
		if err != nil {
			faults = append(faults, err.Error())
			continue
		}
		if generated != t.body() {
			faults = append(faults, t.page+": the generated table is old; run make docs")
		}
	}
	dead, err := deadLinks()
	if err != nil {
		return err
	}
	faults = append(faults, dead...)
	if len(faults) > 0 {
		return eris.New(strings.Join(faults, "\n"))
	}
	return nil
}

var link = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)

// deadLinks returns the links of all pages that lead to no file.
func deadLinks() ([]string, error) {
	var dead []string
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		body, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, found := range link.FindAllStringSubmatch(string(body), -1) {
			target := found[1]
			if strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), target)); err != nil {
				dead = append(dead, fmt.Sprintf("%s: dead link %s", path, target))
			}
		}
		return nil
	})
	return dead, eris.Wrap(err, "look for links")
}
