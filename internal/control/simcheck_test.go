package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// twiceChecker checks that a task which must run once does not run twice: two runs of
// it at the same time on workers that are up, or a start after a run has succeeded
// whose end is taken note of then or later.
type twiceChecker struct {
	sim        *simulation
	tasks      map[string]*taskRuns
	violations []simLine
	starts     int
	noted      int
	early      int // ends acknowledged before their commit
}

// taskRuns are the runs of one task.
type taskRuns struct {
	name string
	runs []*simRun
}

// simRun is one run of a task on a worker.
type simRun struct {
	worker  *simWorker
	attempt workerclient.Attempt
	started time.Duration
	ends    time.Duration // when it ends by itself; zero: not known yet
	outcome workerclient.Outcome
	gang    *simGang

	stopping bool
	ended    time.Duration // zero: it runs
	number   uint64        // of its end
	lapses   int           // of the worker's lease, when it ended
	noted    bool
	restarts bool // a start came after this run had succeeded
}

func (r *simRun) name() string {
	return fmt.Sprintf("attempt %d on %s", r.attempt.Number, r.worker.label())
}

func simTaskName(n workerclient.TaskName) string {
	return fmt.Sprintf("%s.%d.%d", n.Workflow, n.Step, n.Index)
}

func (c *twiceChecker) task(n workerclient.TaskName) *taskRuns {
	name := simTaskName(n)
	t := c.tasks[name]
	if t == nil {
		t = &taskRuns{name: name}
		c.tasks[name] = t
	}
	return t
}

// started records a start and compares it with the earlier runs of the task.
func (c *twiceChecker) started(r *simRun) {
	c.starts++
	t := c.task(r.attempt.Task)
	for _, o := range t.runs {
		switch {
		case o.ended == 0 && o.worker.up:
			c.violated(t, "CONCURRENT: %s starts while %s runs", r.name(), o.name())
		case o.ended != 0 && o.outcome == workerclient.Succeeded && o.noted:
			c.violated(t, "AFTER DONE: %s starts after %s has succeeded, its end %d is acknowledged", r.name(), o.name(), o.number)
		case o.ended != 0 && o.outcome == workerclient.Succeeded:
			o.restarts = true
		}
	}
	c.checkEvacuated(t, r)
	t.runs = append(t.runs, r)
}

// acknowledged records that a cursor has reached the end of a run.
func (c *twiceChecker) acknowledged(r *simRun) {
	if r.noted || r.lapses != r.worker.lapses {
		return
	}
	r.noted = true
	if c.sim.log.holds(r) {
		c.early++
		c.sim.trace(simTaskName(r.attempt.Task), "EARLY: end %d (%s) of %s is acknowledged and not committed", r.number, r.outcome, r.name())
	}
	c.noted++
	if r.restarts && r.outcome == workerclient.Succeeded {
		c.violated(c.task(r.attempt.Task), "AFTER DONE: end %d of %s is acknowledged, and the task was started again after it", r.number, r.name())
	}
}

func (c *twiceChecker) violated(t *taskRuns, format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	c.sim.trace(t.name, "VIOLATION %s", line)
	c.violations = append(c.violations, simLine{t.name, line})
}

// simLine is an event of a task, or of the whole cell if the task is "".
type simLine struct{ task, text string }

// trace records an event.
func (s *simulation) trace(task, format string, args ...any) {
	text := fmt.Sprintf("%9.3f  %s %s", s.now().Seconds(), task, fmt.Sprintf(format, args...))
	if s.verbose {
		fmt.Println(text)
	}
	s.lines = append(s.lines, simLine{task, text})
}

// history returns the events of a task and of the cell.
func (s *simulation) history(task string) string {
	var out []string
	for _, line := range s.lines {
		if line.task == task || line.task == "" {
			out = append(out, line.text)
		}
	}
	return strings.Join(out, "\n")
}
