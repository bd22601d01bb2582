package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/client"
)

// cordonCommand excludes workers from new placements.
type cordonCommand struct {
	Workers []string `arg:"positional,required" placeholder:"WORKER" help:"worker IDs"`
	connection
	output
}

func (*cordonCommand) describe() string {
	return `Gives workers no new work; what runs there goes on. "open" undoes it.
Needs an operator's key.
`
}

func (c *cordonCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	return applyWorkerAction(ctx, a, cl, c.Workers, client.Cordon)
}

// openCommand makes workers available for new placements again.
type openCommand struct {
	Workers []string `arg:"positional,required" placeholder:"WORKER" help:"worker IDs"`
	connection
	output
}

func (*openCommand) describe() string {
	return `Gives workers new work again after "cordon" or "drain". Needs an operator's key.
`
}

func (c *openCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	return applyWorkerAction(ctx, a, cl, c.Workers, client.Open)
}
