package command

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/errkind"
)

// drainPollInterval is the time between two queries for draining workers.
const drainPollInterval = time.Second

// drainCommand drains workers.
type drainCommand struct {
	Workers     []string      `arg:"positional,required" placeholder:"WORKER" help:"worker IDs"`
	Wait        bool          `arg:"--wait" help:"wait until the workers are empty"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"10m" help:"with --wait"`
	connection
	output
}

func (*drainCommand) describe() string {
	return `Gives workers no new work and moves their tasks away. With --wait, exit code 0
means that the workers are empty and may be stopped, 6 that some still held tasks
after --wait-timeout. "open" undoes it. Needs an operator's key.
`
}

func (c *drainCommand) run(ctx context.Context, a *app) error {
	callCtx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	if err := applyWorkerAction(callCtx, a, cl, c.Workers, client.Drain); err != nil || !c.Wait {
		return err
	}
	return c.waitEmpty(ctx, a, cl)
}

func (c *drainCommand) waitEmpty(ctx context.Context, a *app, cl *client.Client) error {
	progress := a.newProgress()
	defer progress.erase()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	until := time.NewTimer(c.WaitTimeout)
	defer until.Stop()
	for {
		left, err := c.tasksLeft(ctx, cl)
		if err != nil {
			return err
		}
		if left == 0 {
			return nil
		}
		progress.show("%s left", plural(left, "task"))
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.CallerGone, ctx.Err(), "the wait was cancelled")
		case <-until.C:
			return errkind.New(errkind.StillRunning, "%s still on the workers after %s", plural(left, "task"), c.WaitTimeout)
		case <-ticker.C:
		}
	}
}

func (c *drainCommand) tasksLeft(ctx context.Context, cl *client.Client) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	workers, err := namedWorkers(ctx, cl, c.Workers)
	if err != nil {
		return 0, err
	}
	left := 0
	for _, w := range workers {
		left += int(w.Tasks)
	}
	return left, nil
}
