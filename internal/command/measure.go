package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/measure"
)

// measureCommand measures how the cost of parts of the system grows with size.
type measureCommand struct {
	State   *measureStateCommand   `arg:"subcommand:state" help:"measure the replicated state and the scheduler in this process"`
	Prepare *measurePrepareCommand `arg:"subcommand:prepare" help:"write settings of a trial deployment on loopback"`
	Load    *measureLoadCommand    `arg:"subcommand:load" help:"load a trial deployment and measure it"`
}

func (*measureCommand) describe() string {
	return `Measures parts of the system at several sizes and fits a line through the
results. The capacity page is worked out from its slopes.
`
}

func (c *measureCommand) run(context.Context, *app) error {
	return usageErrorf("give one of: measure state, measure prepare, measure load")
}

// writeReport writes a report as JSON or as a table.
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

type measurePrepareCommand struct {
	Dir     string `arg:"--dir,required" help:"empty folder for settings, certificates and data"`
	Control int    `arg:"--control" default:"1" help:"control processes"`
	Entries int    `arg:"--entries" default:"1" help:"entry processes"`
}

func (c *measurePrepareCommand) run(_ context.Context, a *app) error {
	d, err := measure.Prepare(c.Dir, c.Control, c.Entries)
	if err != nil {
		return err
	}
	a.printf("Settings of %d control and %d entry processes are in %s/settings: start one serve process for each file.\n",
		len(d.Control), len(d.Entries), d.Dir)
	return nil
}

type measureLoadCommand struct {
	Dir  string `arg:"--dir,required" help:"folder that measure prepare wrote"`
	Part string `arg:"--part,required" help:"renew, tasks, commands, register, config, entry, requests or burst"`
	output
}

func (c *measureLoadCommand) run(ctx context.Context, a *app) error {
	r, err := measure.Load(ctx, c.Dir, c.Part)
	if err != nil {
		return err
	}
	return writeReport(a, c.output, r)
}
