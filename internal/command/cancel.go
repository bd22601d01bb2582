package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/api"
)

// cancelCommand cancels jobs.
type cancelCommand struct {
	Jobs     []string `arg:"positional" placeholder:"JOB" help:"job IDs such as j-12"`
	Selector string   `arg:"-l,--selector" help:"cancel all jobs of the team whose labels match"`
	connection
	output
}

func (*cancelCommand) describe() string {
	return `Cancels jobs by ID or by label. Their waiting tasks will not start; running ones
are told to stop. Cancelling a job that has ended changes nothing.
`
}

func (c *cancelCommand) run(ctx context.Context, a *app) error {
	if (len(c.Jobs) == 0) == (c.Selector == "") {
		return usageErrorf("give job IDs or --selector")
	}
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	if c.Selector != "" {
		if err := checkSelector(c.Selector); err != nil {
			return err
		}
		out, err := cl.CancelMatching(ctx, c.Selector)
		if err != nil {
			return err
		}
		return a.printCancelled(out)
	}
	var done api.Cancelled
	for _, text := range c.Jobs {
		id, err := parseJob(text)
		if err != nil {
			return err
		}
		if _, err := cl.Cancel(ctx, id); err != nil {
			return err
		}
		done.Jobs++
	}
	return a.printCancelled(done)
}

func (a *app) printCancelled(out api.Cancelled) error {
	if a.json {
		return a.writeJSON(out)
	}
	a.printf("%s cancelled\n", plural(int(out.Jobs), "job"))
	return nil
}
