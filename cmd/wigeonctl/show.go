package main

import (
	"context"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

const (
	flagVersion = "version"
	flagSection = "section"
)

const showHelp = `Prints the newest document or an older version of it, with the revisions of its
sections at the top, so that the output can be edited and applied.

Examples:

   wigeonctl show > document.yaml
   wigeonctl show --section Agents > agents.yaml
   wigeonctl show --version 41`

func newShowCmd() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print the document or one section",
		Description: showHelp,
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagVersion, Usage: "`VERSION` to show; the newest one if absent"},
			&cli.StringFlag{Name: flagSection, Usage: "`SECTION` to show; all if absent"},
		},
		Action: show,
	}
}

func show(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{}
	if version := cmd.Int64(flagVersion); version != 0 {
		query.Set("Version", strconv.FormatInt(version, 10))
	}
	if section := cmd.String(flagSection); section != "" {
		return showSection(ctx, cmd, c, section, query)
	}
	var view administrator.DocumentView
	if err := c.get(ctx, administrator.PathDocument, query, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		p.printf("# Version %d, by %s at %s.\n", view.Version, view.Operator, formatTime(view.At))
		p.printf("Revisions:\n")
		for _, name := range compiler.SectionNames() {
			p.printf("  %s: %d\n", name, *view.Revisions.ForSection(name))
		}
		p.printf("\n%s", view.Text)
	})
}

func showSection(ctx context.Context, cmd *cli.Command, c *client, section string, query url.Values) error {
	var view administrator.SectionView
	if err := c.get(ctx, administrator.PathSections+url.PathEscape(section), query, &view); err != nil {
		return err
	}
	return print(cmd, view, func(p *textWriter) {
		p.printf("Revisions:\n  %s: %d\n\n%s", view.Section, view.Revision, view.Text)
	})
}
