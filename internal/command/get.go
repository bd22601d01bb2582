package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/model"
)

// getCommand shows one job or lists jobs.
type getCommand struct {
	Job      string `arg:"positional" placeholder:"JOB" help:"job ID such as j-12; without it all jobs are listed"`
	Selector string `arg:"-l,--selector" help:"list only jobs whose labels match, such as row=7,!urgent"`
	Why      bool   `arg:"--why" help:"tell what holds waiting tasks"`
	connection
	output
}

func (*getCommand) describe() string {
	return `Shows one job with its tasks, or lists the jobs of the key's team.
`
}

func (c *getCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	if c.Job == "" {
		return c.list(ctx, a, cl)
	}
	id, err := parseJob(c.Job)
	if err != nil {
		return err
	}
	view, err := cl.Job(ctx, id, client.JobQuery{Explain: c.Why})
	if err != nil {
		return err
	}
	return a.printJob(view)
}

func parseJob(text string) (model.JobID, error) {
	id, err := model.ParseJobID(text)
	if err != nil {
		return 0, usageErrorf("%v", err)
	}
	return id, nil
}

func checkSelector(text string) error {
	if _, err := model.ParseSelector(text); err != nil {
		return usageErrorf("%v", err)
	}
	return nil
}

func (c *getCommand) list(ctx context.Context, a *app, cl *client.Client) error {
	if c.Why {
		return usageErrorf("--why needs a job ID")
	}
	if err := checkSelector(c.Selector); err != nil {
		return err
	}
	jobs, err := cl.Jobs(ctx, c.Selector)
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(api.JobList{Jobs: jobs})
	}
	rows := make([][]string, 0, len(jobs))
	for _, j := range jobs {
		rows = append(rows, []string{
			j.ID.String(), j.Spec.Name, j.Spec.Queue, string(j.Spec.Policy), j.Phase, taskSummary(j), j.Reason,
		})
	}
	return a.table([]string{"JOB", "NAME", "QUEUE", "POLICY", "PHASE", "TASKS", "REASON"}, rows)
}

// taskSummary counts the tasks of a job by phase, such as "2 running, 1 pending".
func taskSummary(j api.JobView) string {
	counts := []struct {
		n    int32
		name string
	}{
		{j.Counts.Running, "running"},
		{j.Counts.Starting, "starting"},
		{j.Counts.Stopping, "stopping"},
		{j.Counts.Pending, "pending"},
		{j.Counts.Succeeded, "succeeded"},
		{j.Counts.Failed, "failed"},
		{j.Counts.Cancelled, "cancelled"},
	}
	text := ""
	for _, c := range counts {
		if c.n == 0 {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d %s", c.n, c.name)
	}
	return text
}

func (a *app) printJob(j api.JobView) error {
	if a.json {
		return a.writeJSON(j)
	}
	a.printf("%s %s: %s\n", j.ID, j.Spec.Name, j.Phase)
	if j.Reason != "" {
		a.printf("reason: %s\n", j.Reason)
	}
	a.printf("queue %s, policy %s, %s of %s\n", j.Spec.Queue, j.Spec.Policy, plural(int(j.Spec.Tasks), "task"), j.Spec.Size)
	a.printf("tasks: %s\n", taskSummary(j))
	a.printf("charged %d micro-units at %d a core-second\n", j.Charged, j.Price)
	for _, w := range j.Why {
		a.printf("held by %s: %d %s\n", w.Reason, w.Count, w.Detail)
	}
	if len(j.Tasks) == 0 {
		return nil
	}
	return a.table([]string{"TASK", "PHASE", "WORKER", "RESTARTS", "REASON"}, taskRows(j.Tasks))
}

func taskRows(tasks []api.TaskView) [][]string {
	rows := make([][]string, 0, len(tasks))
	for _, t := range tasks {
		rows = append(rows, []string{
			strconv.Itoa(int(t.Index)), t.Phase, string(t.Worker), strconv.Itoa(int(t.Restarts)), t.Reason,
		})
	}
	return rows
}
