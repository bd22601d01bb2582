package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/server"
)

// devCommand runs a whole deployment in one process.
type devCommand struct {
	Data    string `arg:"--data" placeholder:"DIR" help:"folder for the state; default: a temporary one"`
	Address string `arg:"--address" default:"127.0.0.1:8080" placeholder:"IP:PORT" help:"where to listen"`
	Once    bool   `arg:"--once" help:"exit after the example job"`
}

func (*devCommand) describe() string {
	return `Runs control, entry and a stand-in worker in one process on loopback, runs an
example job to its end, prints what happened, and goes on serving until SIGINT.
With --data, a later start on the same folder goes on with its state; the
operator's key is kept there.
Not for production: there is one replica and the keys are printed.
`
}

func (c *devCommand) run(ctx context.Context, a *app) error {
	return server.Dev(ctx, server.DevOptions{
		DataDir: c.Data,
		Address: c.Address,
		Once:    c.Once,
		Out:     a.Out,
	})
}
