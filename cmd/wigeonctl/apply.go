package main

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

const flagBase = "base"

// baseLatest stands for the newest version.
const baseLatest = "latest"

const applyHelp = `Replaces the sections that differ from the document in force, all of them as one
version or none. Sections that the files do not have are left as they are; so are
sections whose text is the same.

A section is replaced only if nobody else has changed it since the files were
made. That is told by the Revisions that "wigeonctl show" puts at the top of its
output, or else by --base: the number of the version that the files were made
from, or "latest" to replace whatever is in force.

Examples:

   wigeonctl show > document.yaml
   wigeonctl apply --dry-run document.yaml
   wigeonctl apply --wait 16s document.yaml
   wigeonctl apply --base 41 agents.yaml budgets.yaml`

func newApplyCmd() *cli.Command {
	base := &cli.StringFlag{Name: flagBase, Usage: "`VERSION` that the files were made from, or latest"}
	return &cli.Command{
		Name: "apply", Usage: "replace the sections that differ", ArgsUsage: "FILE...",
		Description: applyHelp,
		Flags:       append(newChangeFlags(), base),
		Action:      apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	files := cmd.Args().Slice()
	if len(files) == 0 {
		return usage("apply needs at least one file")
	}
	document, revisions, err := readDocument(files...)
	if err != nil {
		return refuseDocument(err)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	base, err := baseRevisions(ctx, cmd, c, revisions)
	if err != nil {
		return err
	}
	body := administrator.ApplyRequest{
		EditID:    newEditID(cmd),
		Revisions: base,
		Sections:  document.Sections,
		DryRun:    cmd.Bool(flagDryRun),
	}
	path := administrator.PathApply
	if body.DryRun {
		path = administrator.PathCheck
	}
	return change(ctx, cmd, c, request{method: http.MethodPost, path: path, body: body, editID: body.EditID})
}

// refuseDocument reports faults of a document that was not sent.
func refuseDocument(err error) error {
	var failed *failure
	if asUsage(err, &failed) {
		return failed
	}
	return fail(codeRefused, "the document was not sent\n%w", err)
}

// baseRevisions returns the revisions that the files were made from.
func baseRevisions(ctx context.Context, cmd *cli.Command, c *client, given *compiler.Revisions) (compiler.Revisions, error) {
	base := cmd.String(flagBase)
	if base == "" {
		if given == nil {
			return compiler.Revisions{}, nil
		}
		return *given, nil
	}
	query := url.Values{}
	if base != baseLatest {
		if _, err := strconv.ParseInt(base, 10, 64); err != nil {
			return compiler.Revisions{}, usage("--%s must be a version or %s, not %q", flagBase, baseLatest, base)
		}
		query.Set("Version", base)
	}
	var view administrator.DocumentView
	if err := c.get(ctx, administrator.PathDocument, query, &view); err != nil {
		return compiler.Revisions{}, err
	}
	return view.Revisions, nil
}
