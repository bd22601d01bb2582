package command

import (
	"context"
	"strconv"

	"github.com/filbertmast/filbertmast/internal/api"
)

// evacuateCommand begins or ends the evacuation of a failure domain.
type evacuateCommand struct {
	Domain string `arg:"positional,required" placeholder:"DOMAIN" help:"failure domain"`
	Finish bool   `arg:"--finish" help:"end the evacuation"`
	connection
	output
}

func (*evacuateCommand) describe() string {
	return `Sends no new work to the workers and executors of a failure domain. Tasks that run
there go on; services and lasting gangs are moved. --finish ends the evacuation.
"status" lists the evacuated domains. Needs an operator's key.
`
}

func (c *evacuateCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	set := cl.Evacuate
	if c.Finish {
		set = cl.FinishEvacuation
	}
	view, err := set(ctx, c.Domain)
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(view)
	}
	return a.printEvacuations([]api.EvacuationView{view})
}

func (a *app) printEvacuations(views []api.EvacuationView) error {
	rows := make([][]string, 0, len(views))
	for _, v := range views {
		rows = append(rows, []string{v.Domain, strconv.FormatBool(v.Evacuated), formatInt(v.Workers), formatInt(v.Running)})
	}
	return a.table([]string{"FAILURE DOMAIN", "EVACUATED", "WORKERS", "TASKS"}, rows)
}
