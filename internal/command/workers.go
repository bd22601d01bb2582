package command

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/model"
)

// workersCommand lists workers.
type workersCommand struct {
	Selector string `arg:"-l,--selector" help:"list only workers whose labels match, such as zone in (a,b)"`
	connection
	output
}

func (*workersCommand) describe() string {
	return `Lists workers with what they have, what is reserved on them and whether they take
new work. SPEED is relative to an average worker, if it is estimated. Needs an operator's key.
`
}

func (c *workersCommand) run(ctx context.Context, a *app) error {
	if err := checkSelector(c.Selector); err != nil {
		return err
	}
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	workers, err := cl.Workers(ctx, c.Selector)
	if err != nil {
		return err
	}
	return a.printWorkers(workers)
}

func (a *app) printWorkers(workers []api.WorkerView) error {
	if a.json {
		return a.writeJSON(api.WorkerList{Workers: workers})
	}
	rows := make([][]string, 0, len(workers))
	anySpeed := slices.ContainsFunc(workers, func(w api.WorkerView) bool { return w.SpeedPermille != 0 })
	for _, w := range workers {
		mode := w.Mode
		if w.OnProbation {
			mode += ", on probation"
		}
		row := []string{
			string(w.Spec.ID), mode, w.Spec.FailureDomain, w.Spec.Rack,
			formatUsage(w.Reserved.CPU, w.Spec.Capacity.CPU), formatUsage(w.Reserved.Memory, w.Spec.Capacity.Memory),
			formatUsage(w.Reserved.Accelerators, w.Spec.Capacity.Accelerators), strconv.Itoa(int(w.Tasks)),
		}
		if anySpeed {
			row = append(row, formatSpeed(w.SpeedPermille))
		}
		rows = append(rows, row)
	}
	header := []string{"WORKER", "MODE", "FAILURE DOMAIN", "RACK", "CPU MILLI", "MEMORY MIB", "ACCELERATORS", "TASKS"}
	if anySpeed {
		header = append(header, "SPEED")
	}
	return a.table(header, rows)
}

// formatSpeed formats a speed relative to that of an average worker.
func formatSpeed(permille int64) string {
	if permille == 0 {
		return "-"
	}
	return strconv.FormatFloat(float64(permille)/1000, 'f', 2, 64)
}

func formatUsage(reserved, capacity int64) string { return fmt.Sprintf("%d/%d", reserved, capacity) }

// applyWorkerAction applies one action to the workers in turn and prints their
// resulting states. It stops at the first error.
func applyWorkerAction(ctx context.Context, a *app, cl *client.Client, ids []string, action client.WorkerAction) error {
	views := make([]api.WorkerView, 0, len(ids))
	for _, id := range ids {
		view, err := cl.SetWorker(ctx, model.WorkerID(id), action)
		if err != nil {
			return err
		}
		views = append(views, view)
	}
	return a.printWorkers(views)
}

// namedWorkers returns the workers with the given IDs. It omits IDs that are not
// known.
func namedWorkers(ctx context.Context, cl *client.Client, ids []string) ([]api.WorkerView, error) {
	workers, err := cl.Workers(ctx, "")
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(workers, func(w api.WorkerView) bool {
		return !slices.Contains(ids, string(w.Spec.ID))
	}), nil
}
