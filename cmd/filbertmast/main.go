// Command filbertmast is a cluster scheduler for mixed workloads.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/term"

	"github.com/filbertmast/filbertmast/internal/command"
)

func main() {
	os.Exit(run())
}

// run runs the command line and returns its exit code. The first SIGINT or
// SIGTERM cancels the command's context; a second one ends the process at once.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return command.Run(ctx, os.Args[1:], command.Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: term.IsTerminal(int(os.Stderr.Fd())),
	})
}
