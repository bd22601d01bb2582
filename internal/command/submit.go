package command

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// submitCommand submits one job.
type submitCommand struct {
	File           string        `arg:"positional,required" placeholder:"FILE" help:"job in JSON, or - for standard input"`
	DryRun         bool          `arg:"--dry-run" help:"tell the price and whether it could run, submit nothing"`
	Wait           bool          `arg:"--wait" help:"wait for the end of the job"`
	WaitTimeout    time.Duration `arg:"--wait-timeout" default:"24h" help:"with --wait"`
	IdempotencyKey string        `arg:"--idempotency-key" placeholder:"KEY" help:"submit only once under this key; default: a new one"`
	connection
	output
}

func (*submitCommand) describe() string {
	return `Submits a job and prints its ID. A job is a JSON object:

  {"name": "timber-plan", "queue": "plans", "policy": "batch", "tasks": 3,
   "size": {"cpu_milli": 500, "memory_mib": 256}, "run_time": "1m", "patience": "2h"}

A submission that was answered with "may have run" (exit code 6) can be repeated
safely with the same --idempotency-key.
`
}

func (c *submitCommand) run(ctx context.Context, a *app) error {
	callCtx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	spec, err := c.spec(a)
	if err != nil {
		return err
	}
	if c.DryRun {
		return quote(callCtx, a, cl, spec)
	}
	key := c.IdempotencyKey
	if key == "" {
		key = client.NewIdempotencyKey()
	}
	view, err := cl.Submit(callCtx, spec, key)
	if err != nil {
		return a.withResendHint(err, key)
	}
	if c.Wait {
		return waitForJob(ctx, a, cl, view.ID, c.WaitTimeout)
	}
	return a.printSubmitted(view)
}

func (c *submitCommand) spec(a *app) (model.JobSpec, error) {
	data, err := a.readInput(c.File)
	if err != nil {
		return model.JobSpec{}, err
	}
	var spec model.JobSpec
	return spec, strict.Decode(c.File, data, &spec).Err()
}

// withResendHint returns err. If the outcome of the call is unknown, it first
// prints the idempotency key with which the call can be repeated safely.
func (a *app) withResendHint(err error, key string) error {
	if errkind.RowOf(errkind.Of(err)).Exit == errkind.ExitUnknown && !a.json {
		a.printNote("to repeat it safely: --idempotency-key %s", key)
	}
	return err
}

func quote(ctx context.Context, a *app, cl *client.Client, spec model.JobSpec) error {
	q, err := cl.Quote(ctx, spec)
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(q)
	}
	a.printf("queue %s, charged to team %s\n", q.Queue, q.Team)
	a.printf("price %d micro-units a core-second, about %d for the job\n", q.Price, q.Estimated)
	return nil
}

func (a *app) printSubmitted(view api.JobView) error {
	if a.json {
		return a.writeJSON(view)
	}
	a.printf("%s\n", view.ID)
	return nil
}
