package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

const (
	flagRevision = "base-revision"
	flagRemove   = "remove"
)

const editHelp = `Replaces one section by the one in the file. If the section has changed since the
base revision, the edit is refused and the conflicting change is printed. Edits of
other sections do not conflict.

The base revision is --base-revision, or else the one in the Revisions that
"wigeonctl show" prints at the top of its output.

Examples:

   wigeonctl show --section Agents > agents.yaml
   wigeonctl edit Agents agents.yaml
   wigeonctl edit --base-revision 12 Agents agents.yaml
   wigeonctl edit --base-revision 12 --remove Precedence`

func newEditCmd() *cli.Command {
	return &cli.Command{
		Name: "edit", Usage: "replace one section", ArgsUsage: "SECTION FILE",
		Description: editHelp,
		Flags: append(newChangeFlags(),
			&cli.Int64Flag{Name: flagRevision, Usage: "`REVISION` of the section that the file was made from"},
			&cli.BoolFlag{Name: flagRemove, Usage: "remove the section; takes no FILE"},
		),
		Action: edit,
	}
}

func edit(ctx context.Context, cmd *cli.Command) error {
	body, section, err := newEditRequest(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	return change(ctx, cmd, c, request{
		method: http.MethodPut, path: administrator.PathSections + section, body: body, editID: body.EditID,
	})
}

func newEditRequest(cmd *cli.Command) (administrator.EditRequest, string, error) {
	body := administrator.EditRequest{
		EditID: newEditID(cmd), BaseRevision: cmd.Int64(flagRevision), DryRun: cmd.Bool(flagDryRun),
	}
	if cmd.Bool(flagRemove) {
		given, err := arguments(cmd, "SECTION")
		if err != nil {
			return body, "", err
		}
		return body, given[0], nil
	}
	given, err := arguments(cmd, "SECTION", "FILE")
	if err != nil {
		return body, "", err
	}
	section, revisions, err := readSection(given[0], given[1])
	if err != nil {
		return body, "", err
	}
	if revisions != nil && !cmd.IsSet(flagRevision) {
		body.BaseRevision = *revisions.ForSection(section.Name)
	}
	body.File, body.Line, body.Text = section.File, section.Line, section.Text
	return body, section.Name, nil
}

// readSection reads a file that contains only the named section.
func readSection(name, file string) (compiler.Section, *compiler.Revisions, error) {
	document, revisions, err := readDocument(file)
	if err != nil {
		return compiler.Section{}, nil, documentError(err)
	}
	section, ok := document.Section(name)
	if !ok || len(document.Sections) != 1 {
		return compiler.Section{}, nil, usageError("%s must contain section %s and no other", file, name)
	}
	return section, revisions, nil
}
