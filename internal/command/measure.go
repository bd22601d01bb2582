package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/measure"
)

// measureCommand measures how the parts of the system grow with size.
type measureCommand struct {
	State *measureStateCommand `arg:"subcommand:state" help:"measure the replicated state and the scheduler in this process"`
}

func (*measureCommand) describe() string {
	return `Measures parts of the system at several sizes and fits a line through the
results. The capacity page is worked out from its slopes.
`
}

func (c *measureCommand) run(context.Context, *app) error {
	return usageErrorf("give one of: measure state")
}

// writeReport writes a report in the form that was asked for.
func writeReport(a *app, o output, r *measure.Report) error {
	if o.JSON {
		return r.WriteJSON(a.Out)
	}
	return r.WriteTable(a.Out)
}

type measureStateCommand struct{ output }

func (c *measureStateCommand) run(_ context.Context, a *app) error {
	return writeReport(a, c.output, measure.State())
}
