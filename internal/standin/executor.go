package standin

import (
	"context"

	"github.com/charmbracelet/log"

	"github.com/filbertmast/filbertmast/internal/model"
)

// ExecutorOptions configures RunExecutor.
type ExecutorOptions struct {
	Entries     []string // base URLs, such as http://10.0.0.1:7400
	Key         string   // must have the right to announce workers
	Worker      model.WorkerSpec
	Listen      string // IP:port to listen on for requests; port 0 selects a free port
	Service     string
	Slots       int32  // zero: 8
	Connections int32  // zero: 60
	Behave      string // one of the behaviors
	HistoryFile string
	Logger      *log.Logger
}

// RunExecutor serves requests on one listener and announces it with a worker, which
// may have no capacity for tasks. When ctx ends, it waits up to 5 s for the requests in
// flight and returns. It returns an error if the behavior is unknown, the history file
// cannot be opened or the address is not available.
func RunExecutor(ctx context.Context, o ExecutorOptions) error {
	b := Behavior(o.Behave)
	if err := b.validate(); err != nil {
		return err
	}
	h, err := openHistory(o.HistoryFile)
	if err != nil {
		return err
	}
	defer h.close()
	p := payload{behave: b, slots: o.Slots, connections: o.Connections}
	x, err := startExecutor(string(o.Worker.ID)+"-x", o.Service, o.Listen, p, h)
	if err != nil {
		return err
	}
	spec := o.Worker
	spec.Executors = append(spec.Executors[:len(spec.Executors):len(spec.Executors)], x.spec)
	err = RunWorker(ctx, WorkerOptions{Entries: o.Entries, Key: o.Key, Spec: spec, Logger: o.Logger, delaysLeave: true})
	x.stop(stopGrace)
	return err
}
