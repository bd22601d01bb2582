package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/server"
	"github.com/filbertmast/filbertmast/internal/settings"
)

// serveCommand runs one process of a deployment.
type serveCommand struct {
	Settings string `arg:"-s,--settings,required" placeholder:"FILE" help:"settings of this process"`
}

func (*serveCommand) describe() string {
	return `Runs the roles that the settings name until SIGTERM or SIGINT, then shuts down
gracefully. Settings with any problem are refused before anything starts.
`
}

func (c *serveCommand) run(ctx context.Context, _ *app) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	return server.Run(ctx, s)
}
