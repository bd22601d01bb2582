package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// workflowCommand submits, shows and cancels workflows.
type workflowCommand struct {
	Submit *workflowSubmitCommand `arg:"subcommand:submit" help:"submit a workflow"`
	Get    *workflowGetCommand    `arg:"subcommand:get" help:"show where a workflow stands"`
	Cancel *workflowCancelCommand `arg:"subcommand:cancel" help:"cancel a workflow"`
}

func (*workflowCommand) describe() string {
	return `A workflow is a set of steps under an ID of the caller's own; a step starts once
the steps in its "after" have succeeded. To submit it again under its ID is safe.
`
}

func (*workflowCommand) run(context.Context, *app) error {
	return usageErrorf("give one of: workflow submit, workflow get, workflow cancel")
}

type workflowSubmitCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"workflow in JSON, or - for standard input"`
	connection
	output
}

func (c *workflowSubmitCommand) run(ctx context.Context, a *app) error {
	data, err := a.readInput(c.File)
	if err != nil {
		return err
	}
	var spec model.WorkflowSpec
	if err := strict.Decode(c.File, data, &spec).Err(); err != nil {
		return err
	}
	return c.callWorkflow(ctx, a, c.output, func(ctx context.Context, cl *client.Client) (api.WorkflowView, error) {
		return cl.SubmitWorkflow(ctx, spec)
	})
}

type workflowGetCommand struct {
	ID string `arg:"positional,required" help:"ID of the workflow"`
	connection
	output
}

func (c *workflowGetCommand) run(ctx context.Context, a *app) error {
	return c.callWorkflow(ctx, a, c.output, func(ctx context.Context, cl *client.Client) (api.WorkflowView, error) {
		return cl.Workflow(ctx, model.WorkflowID(c.ID))
	})
}

type workflowCancelCommand struct {
	ID string `arg:"positional,required" help:"ID of the workflow"`
	connection
	output
}

func (c *workflowCancelCommand) run(ctx context.Context, a *app) error {
	return c.callWorkflow(ctx, a, c.output, func(ctx context.Context, cl *client.Client) (api.WorkflowView, error) {
		return cl.CancelWorkflow(ctx, model.WorkflowID(c.ID))
	})
}

// callWorkflow makes one call that returns a workflow and prints its ID and phase.
func (c *connection) callWorkflow(ctx context.Context, a *app, o output,
	do func(context.Context, *client.Client) (api.WorkflowView, error)) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, o)
	if err != nil {
		return err
	}
	defer cancel()
	view, err := do(ctx, cl)
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(view)
	}
	a.printf("%s  %s\n", view.ID, view.Phase)
	return nil
}
