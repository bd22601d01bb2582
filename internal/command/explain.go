package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/explain"
)

// explainCommand prints the log lines of several processes about one request,
// workflow, worker or process in the order of time.
type explainCommand struct {
	Log []string `arg:"-l,--log,separate,required" placeholder:"FILE" help:"log of a process, in the format logfmt; - is standard input"`
	ID  string   `arg:"positional,required" help:"ID of a request, workflow, worker or replica, or the name of a process"`
}

func (*explainCommand) describe() string {
	return `Prints every line of the logs that names the ID, in the order of time, with
what the processes believed meanwhile: who led, and which peers were lost.
`
}

func (c *explainCommand) run(_ context.Context, a *app) error {
	history := explain.New(c.ID)
	for _, name := range c.Log {
		if err := c.read(a, history, name); err != nil {
			return err
		}
	}
	lines := history.Lines()
	if len(lines) == 0 {
		return &exitError{code: 1, message: "no line names " + c.ID}
	}
	for i := range lines {
		a.printf("%s\n", lines[i].String())
	}
	return nil
}

func (c *explainCommand) read(a *app, history *explain.Timeline, name string) error {
	in, err := a.open(name)
	if err != nil {
		return err
	}
	defer in.Close()
	if err := history.Read(in, name); err != nil {
		return usageErrorf("%s cannot be read: %v", name, err)
	}
	return nil
}
