package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/server"
	"github.com/filbertmast/filbertmast/internal/settings"
	"github.com/filbertmast/filbertmast/platform"
)

// adapterOf returns the adapter to the external platform, or nil if the settings
// do not enable it.
func adapterOf(s *settings.Settings) (server.Adapter, error) {
	if !s.Platform.Enabled() {
		return nil, nil
	}
	return platform.New(s)
}

// logFlushTimeout bounds the wait for the last log lines to be written at exit.
const logFlushTimeout = time.Second

// softLimitPercent is the part of the memory limit that the garbage collector aims to
// stay below. The rest is for memory that it does not count, and for bursts.
const softLimitPercent = 75

// configureGC applies the settings of the garbage collector.
func configureGC(m settings.Memory) {
	debug.SetGCPercent(m.GCPercent)
	if m.LimitMB > 0 {
		debug.SetMemoryLimit(m.LimitMB << 20 / 100 * softLimitPercent)
	}
}

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
	// The settings are read only at the start, so SIGHUP must not end the process.
	signal.Ignore(syscall.SIGHUP)
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	configureGC(s.Memory)
	out := obs.NewAsyncWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	adapter, err := adapterOf(s)
	if err != nil {
		return err
	}
	return server.Run(ctx, s, server.Options{Adapter: adapter, Log: out})
}
