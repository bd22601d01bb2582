package command

import (
	"context"

	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// diffCommand shows the changes that an apply would make.
type diffCommand struct {
	declarationsOptions
	ExitCode bool `arg:"--exit-code" help:"exit with 4 when there are differences"`
	findingsOptions
	connection
	output
}

func (*diffCommand) describe() string {
	return `Shows what "apply" would change: + added, - removed, ~ changed.
Nothing is changed. Needs an operator's key.

Entries without an effect are shown as findings, with !: those of "check", and
queues that match none of the workers that are known now.
`
}

// diffJSON is the JSON output of a diff.
type diffJSON struct {
	Version  uint64           `json:"version"` // in force now
	Changes  []declare.Change `json:"changes"`
	Findings strict.Problems  `json:"findings,omitempty"`
}

func (c *diffCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	cmp, err := c.compare(ctx, cl)
	if err != nil {
		return err
	}
	findings := c.review(ctx, a, cl, &cmp)
	if err := c.printResult(a, cmp, findings); err != nil {
		return err
	}
	if err := c.result(findings); err != nil {
		return err
	}
	if c.ExitCode && len(cmp.changes) > 0 {
		return &exitError{code: errkind.ExitConflict}
	}
	return nil
}

// review returns the findings. Without the list of workers, which an entry may be unable to
// give, those that need it are left out with a note.
func (c *diffCommand) review(ctx context.Context, a *app, cl *client.Client, cmp *comparison) strict.Problems {
	findings := cmp.findings
	workers, err := cl.Workers(ctx, "")
	if err != nil {
		a.printNote("The workers are not known, so that selectors are not compared with them: %v", err)
		return findings
	}
	var labels []model.Labels
	for i := range workers {
		if workers[i].Mode != model.WorkerLost.String() {
			labels = append(labels, workers[i].Spec.Labels)
		}
	}
	if len(labels) == 0 {
		return findings // of a new deployment
	}
	return append(findings, declare.ReviewWorkers(&cmp.wanted, labels)...)
}

func (c *diffCommand) printResult(a *app, cmp comparison, findings strict.Problems) error {
	if a.json {
		return a.writeJSON(diffJSON{cmp.view.Version, cmp.changes, findings})
	}
	a.printFindings(findings)
	a.printChanges(cmp.changes)
	a.printf("%s against version %d\n", plural(len(cmp.changes), "change"), cmp.view.Version)
	return nil
}
