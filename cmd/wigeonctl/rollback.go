package main

import (
	"context"
	"net/http"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/wigeonstand/wigeonstand/internal/administrator"
)

const rollbackHelp = `Creates a new version with the contents of an older one. It is refused if there is a
newer version than --base, so that no change is reverted that you have not seen.

Examples:

   wigeonctl rollback --base 43 --dry-run 41
   wigeonctl rollback --base 43 41`

func newRollbackCmd() *cli.Command {
	base := &cli.Int64Flag{Name: flagBase, Usage: "newest `VERSION` that you have seen", Required: true}
	return &cli.Command{
		Name: "rollback", Usage: "restore the contents of an older version", ArgsUsage: "VERSION",
		Description: rollbackHelp,
		Flags:       append(newChangeFlags(), base),
		Action:      rollback,
	}
}

func rollback(ctx context.Context, cmd *cli.Command) error {
	given, err := arguments(cmd, "VERSION")
	if err != nil {
		return err
	}
	to, err := strconv.ParseInt(given[0], 10, 64)
	if err != nil || to < 0 {
		return usageError("%q is not a version", given[0])
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	body := administrator.RollbackRequest{
		EditID: newEditID(cmd), To: to, Base: cmd.Int64(flagBase), DryRun: cmd.Bool(flagDryRun),
	}
	return change(ctx, cmd, c, request{
		method: http.MethodPost, path: administrator.PathRollback, body: body, editID: body.EditID,
	})
}
