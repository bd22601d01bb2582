// Package server runs the roles of one process.
package server

import (
	"context"
	"errors"
	"io"

	"github.com/filbertmast/filbertmast/internal/settings"
)

// DevOptions is what the embedded default can be told.
type DevOptions struct {
	DataDir string    // empty: a temporary folder, removed at the end
	Address string    // of the HTTP listener, IP:port
	Once    bool      // return after the example job
	Out     io.Writer // what happens is told here
}

// Run runs the roles that s names until ctx ends, then shuts down gracefully.
func Run(_ context.Context, _ *settings.Settings) error {
	return errors.New("serve is not built in")
}

// Dev runs one control and one entry role and a stand-in worker in this
// process, runs an example job and goes on serving.
func Dev(_ context.Context, _ DevOptions) error {
	return errors.New("dev is not built in")
}
