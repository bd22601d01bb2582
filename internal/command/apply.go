package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/declare"
)

// applyCommand applies a folder of declarations.
type applyCommand struct {
	declarationsOptions
	Base    *uint64 `arg:"--base" placeholder:"VERSION" help:"version to apply on top of; default: the one in force now"`
	ApplyID string  `arg:"--apply-id" placeholder:"ID" help:"makes a repeated apply harmless, such as a commit ID"`
	connection
	output
}

func (*applyCommand) describe() string {
	return `Puts a folder of declarations in force as one whole: what the folder lacks is
removed. The apply is refused when another one came between (exit code 4), and
is in force in every entry process within seconds. Needs an operator's key.
Keys granted with "keys new --grant" are removed unless the folder holds them.
`
}

// appliedJSON is the JSON output of an apply.
type appliedJSON struct {
	api.Applied
	Changes []declare.Change `json:"changes"`
}

func (c *applyCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	cmp, err := c.compare(ctx, cl)
	if err != nil {
		return err
	}
	result := appliedJSON{
		Applied: api.Applied{Version: cmp.view.Version, Digest: cmp.view.Digest},
		Changes: cmp.changes,
	}
	// With an explicit base version or apply ID the apply is sent even if nothing
	// changes, so that the leader checks it.
	if len(cmp.changes) > 0 || c.Base != nil || c.ApplyID != "" {
		base := cmp.view.Version
		if c.Base != nil {
			base = *c.Base
		}
		result.Applied, err = cl.Apply(ctx, api.Apply{Base: base, ApplyID: c.ApplyID, Declarations: cmp.wanted})
		if err != nil {
			return err
		}
	}
	return a.printApplied(result)
}

func (a *app) printApplied(result appliedJSON) error {
	if a.json {
		return a.writeJSON(result)
	}
	a.printChanges(result.Changes)
	a.printf("%s, version %d in force, digest %.12s\n", plural(len(result.Changes), "change"), result.Version, result.Digest)
	return nil
}
