package command

import (
	"context"
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/standin"
)

// standinCommand runs a stand-in worker or executor.
type standinCommand struct {
	Worker   *standinWorkerCommand   `arg:"subcommand:worker" help:"run a worker whose tasks only take time"`
	Executor *standinExecutorCommand `arg:"subcommand:executor" help:"run an executor that answers requests"`
}

func (*standinCommand) describe() string {
	return `Stand-ins announce themselves like real targets and run nothing. They serve
tests and trials, and show whoever writes a target what it has to do.
`
}

func (c *standinCommand) run(context.Context, *app) error {
	return usageErrorf("give one of: standin worker, standin executor")
}

// location holds the options for the ID, the location and the labels of a target.
type location struct {
	ID            string `arg:"--id,required" help:"unique ID in the cell"`
	Region        string `arg:"--region" default:"local"`
	FailureDomain string `arg:"--failure-domain" default:"local"`
	Rack          string `arg:"--rack" default:"r1"`
	Labels        string `arg:"--labels" placeholder:"K=V,..." help:"labels for selectors"`
}

func (p location) spec() (model.WorkerSpec, error) {
	labels, err := parseLabels(p.Labels)
	return model.WorkerSpec{
		ID:            model.WorkerID(p.ID),
		Region:        p.Region,
		FailureDomain: p.FailureDomain,
		Rack:          p.Rack,
		Labels:        labels,
	}, err
}

func parseLabels(text string) (model.Labels, error) {
	if text == "" {
		return nil, nil
	}
	labels := make(model.Labels)
	for _, pair := range strings.Split(text, ",") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok || !model.ValidLabel(key, value) {
			return nil, usageErrorf("label %q is not of the form key=value", pair)
		}
		labels[key] = value
	}
	return labels, nil
}

// standinWorkerCommand runs a stand-in worker.
type standinWorkerCommand struct {
	location
	CPU          int64         `arg:"--cpu" default:"16000" help:"thousandths of a core"`
	Memory       int64         `arg:"--memory" default:"32768" help:"MiB"`
	Accelerators int64         `arg:"--accelerators" help:"whole devices"`
	TaskTime     time.Duration `arg:"--task-time" default:"1s" help:"how long a task runs"`
	ExecutorIP   string        `arg:"--executor-ip" default:"127.0.0.1" help:"IP number on which tasks of services listen"`
	Behave       string        `arg:"--behave" default:"ok" help:"ok, slow, refuse, never-answer, cut, wrong-id, fail-some or fail-all"`
	History      string        `arg:"--history" placeholder:"FILE" help:"note every start and end in a file"`
	connection
}

func (c *standinWorkerCommand) run(ctx context.Context, a *app) error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	key, err := c.key()
	if err != nil {
		return err
	}
	spec.Capacity = model.Resources{CPU: c.CPU, Memory: c.Memory, Accelerators: c.Accelerators}
	return standin.RunWorker(ctx, standin.WorkerOptions{
		Entries:         strings.Split(c.Address, ","),
		Key:             key,
		Spec:            spec,
		TaskTime:        c.TaskTime,
		HistoryFile:     c.History,
		ExecutorAddress: c.ExecutorIP,
		Behavior:        standin.Behavior(c.Behave),
		Logger:          obs.NewLogger(a.Err, "info", "text"),
	})
}

// standinExecutorCommand runs a stand-in executor.
type standinExecutorCommand struct {
	location
	Listen      string `arg:"--listen" default:"127.0.0.1:9090" placeholder:"IP:PORT" help:"where requests are taken"`
	Service     string `arg:"--service,required" help:"service that it belongs to"`
	Slots       int32  `arg:"--slots" default:"8" help:"requests at once"`
	Connections int32  `arg:"--connections" default:"60" help:"open connections at once"`
	Behave      string `arg:"--behave" default:"ok" help:"ok, slow, refuse, never-answer, cut, wrong-id, fail-some or fail-all"`
	History     string `arg:"--history" placeholder:"FILE" help:"note every request in a file"`
	connection
}

func (c *standinExecutorCommand) run(ctx context.Context, a *app) error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	key, err := c.key()
	if err != nil {
		return err
	}
	return standin.RunExecutor(ctx, standin.ExecutorOptions{
		Entries:     strings.Split(c.Address, ","),
		Key:         key,
		Worker:      spec,
		Listen:      c.Listen,
		Service:     c.Service,
		Slots:       c.Slots,
		Connections: c.Connections,
		Behave:      c.Behave,
		HistoryFile: c.History,
		Logger:      obs.NewLogger(a.Err, "info", "text"),
	})
}
