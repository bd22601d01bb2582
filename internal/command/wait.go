package command

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// pollWait is the longest time that one long poll waits for a change of a job.
const pollWait = 20 * time.Second

// pollMargin is added to the wait of a long poll to obtain its timeout.
const pollMargin = 15 * time.Second

// minPollInterval is the minimum time between two long polls. It limits the rate
// of calls for jobs that change often.
const minPollInterval = 500 * time.Millisecond

// Final phases of a job.
const (
	phaseSucceeded = "succeeded"
	phaseFailed    = "failed"
	phaseCancelled = "cancelled"
)

// waitCommand waits for the end of a job.
type waitCommand struct {
	Job         string        `arg:"positional,required" placeholder:"JOB" help:"job ID such as j-12"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"24h" help:"how long to wait"`
	connection
	output
}

func (*waitCommand) describe() string {
	return `Waits for the end of a job. Exit code 0 means that all its tasks succeeded, 7 that
it failed or was cancelled, 6 that it was still running after --wait-timeout.
`
}

func (c *waitCommand) run(ctx context.Context, a *app) error {
	a.json = c.JSON
	id, err := parseJob(c.Job)
	if err != nil {
		return err
	}
	cl, err := c.client(a)
	if err != nil {
		return err
	}
	return waitForJob(ctx, a, cl, id, c.WaitTimeout)
}

// waitForJob waits until a job has ended and prints it. It returns an error of
// the kind StillRunning if the job has not ended after timeout.
func waitForJob(ctx context.Context, a *app, cl *client.Client, id model.JobID, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	progress := a.newProgress()
	defer progress.erase()
	ticker := time.NewTicker(minPollInterval)
	defer ticker.Stop()
	var since uint64
	for {
		step := min(pollWait, max(time.Until(until), 0))
		view, err := fetchJob(ctx, cl, id, client.JobQuery{Wait: model.Duration(step), Since: since})
		if err != nil {
			return err
		}
		progress.show("%s %s: %s", view.ID, view.Phase, taskSummary(view))
		if isFinal(view.Phase) {
			progress.erase()
			return a.printFinalJob(view)
		}
		if step == 0 {
			return errkind.New(errkind.StillRunning, "job %s is still %s after %s", id, view.Phase, timeout)
		}
		since = view.Version
		<-ticker.C
	}
}

// fetchJob makes one call for a job, with a timeout of the query's wait plus
// pollMargin.
func fetchJob(ctx context.Context, cl *client.Client, id model.JobID, q client.JobQuery) (api.JobView, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait.Std()+pollMargin)
	defer cancel()
	return cl.Job(ctx, id, q)
}

func isFinal(phase string) bool {
	return phase == phaseSucceeded || phase == phaseFailed || phase == phaseCancelled
}

func (a *app) printFinalJob(view api.JobView) error {
	if err := a.printJob(view); err != nil {
		return err
	}
	if view.Phase != phaseSucceeded {
		return &exitError{code: errkind.ExitJobFailed}
	}
	return nil
}
