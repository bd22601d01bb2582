package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/server"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/platform"
)

// adapterOf returns the adapter to the users' platform, or nil where the
// settings name no address of it.
func adapterOf(s *settings.Settings) server.Adapter {
	if !s.Platform.Enabled() {
		return nil
	}
	return platform.New(s)
}

// logFlushTimeout is how long the last log lines are waited for at the end.
const logFlushTimeout = time.Second

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
	// The settings are read at the start only; a change of them ends no process.
	signal.Ignore(syscall.SIGHUP)
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	out := obs.NewAsyncWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	return server.Run(ctx, s, server.Options{Adapter: adapterOf(s), Log: out})
}
