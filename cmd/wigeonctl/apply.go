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

// baseLatest is the value of --base that selects the newest version.
const baseLatest = "latest"

const applyHelp = `Replaces the sections that differ from the newest document, all in one new version
or none. Sections that are absent from the files or have the same text stay as
they are.

A section is replaced only if its revision has not changed since the files were
made. The base revisions are the Revisions that "wigeonctl show" prints at the top
of its output, unless --base is given: the number of the version that the files
were made from, or "latest" to replace the newest sections.

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
		return usageError("apply needs at least one file")
	}
	document, revisions, err := readDocument(files...)
	if err != nil {
		return documentError(err)
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

// documentError returns the failure for an error of readDocument. No document has
// been sent in that case.
func documentError(err error) error {
	var failed *failure
	if asUsageError(err, &failed) {
		return failed
	}
	return newFailure(codeRefused, "document not sent\n%w", err)
}

// baseRevisions returns the revisions that the files are based on: those of --base,
// or else the given ones.
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
			return compiler.Revisions{}, usageError("--%s must be a version or %s, not %q", flagBase, baseLatest, base)
		}
		query.Set("Version", base)
	}
	var view administrator.DocumentView
	if err := c.get(ctx, administrator.PathDocument, query, &view); err != nil {
		return compiler.Revisions{}, err
	}
	return view.Revisions, nil
}
