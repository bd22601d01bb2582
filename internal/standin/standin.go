// Package standin holds a stand-in worker and executor, for tests, for the
// embedded default and as an example for whoever writes a target.
package standin

import (
	"context"
	"errors"

	"github.com/filbertmast/filbertmast/internal/model"
)

// WorkerOptions describe a stand-in worker.
type WorkerOptions struct {
	Entries         []string // base URLs
	Key             string
	Spec            model.WorkerSpec
	TaskTime        model.Duration // how long a task runs
	HistoryFile     string         // where starts and ends are noted, if anywhere
	ExecutorAddress string         // IP number on which tasks of services listen
}

// ExecutorOptions describe a stand-in executor.
type ExecutorOptions struct {
	Entries     []string // base URLs
	Key         string
	Worker      model.WorkerSpec // the target that announces the executor; its capacity is zero
	Listen      string           // IP:port
	Service     string
	Slots       int32
	Connections int32
	Behave      string // echo, slow, fail, refuse or cut
	HistoryFile string
}

// RunWorker runs a stand-in worker until ctx ends.
func RunWorker(_ context.Context, _ WorkerOptions) error {
	return errors.New("the stand-in worker is not built in")
}

// RunExecutor runs a stand-in executor until ctx ends.
func RunExecutor(_ context.Context, _ ExecutorOptions) error {
	return errors.New("the stand-in executor is not built in")
}
