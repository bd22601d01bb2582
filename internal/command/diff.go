package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// diffCommand shows the changes that an apply would make.
type diffCommand struct {
	declarationsOptions
	ExitCode bool `arg:"--exit-code" help:"exit with 4 when there are differences"`
	connection
	output
}

func (*diffCommand) describe() string {
	return `Shows what "apply" would change: + added, - removed, ~ changed.
Nothing is changed. Needs an operator's key.
`
}

// diffJSON is the JSON output of a diff.
type diffJSON struct {
	Version uint64           `json:"version"` // in force now
	Changes []declare.Change `json:"changes"`
}

func (c *diffCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	cmp, err := c.compare(ctx, cl)
	if err != nil {
		return err
	}
	if err := c.printResult(a, cmp); err != nil {
		return err
	}
	if c.ExitCode && len(cmp.changes) > 0 {
		return &exitError{code: errkind.ExitConflict}
	}
	return nil
}

func (c *diffCommand) printResult(a *app, cmp comparison) error {
	if a.json {
		return a.writeJSON(diffJSON{cmp.view.Version, cmp.changes})
	}
	a.printChanges(cmp.changes)
	a.printf("%s against version %d\n", plural(len(cmp.changes), "change"), cmp.view.Version)
	return nil
}
