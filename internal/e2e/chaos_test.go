package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

const (
	chaosSeed  = 1  // seed for the choice of processes and faults
	chaosSteps = 8  // number of successive faults
	chaosJobs  = 12 // submissions acknowledged during each fault
)

// TestWorkSurvivesAnySingleFault kills or freezes one process after another
// during jobs and requests, and restarts or resumes it. Every acknowledged job
// must run and succeed, no task may run in two places, no request that is not
// repeatable may run twice, and no request that was reported as not run may have
// run.
func TestWorkSurvivesAnySingleFault(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startStandin("worker", "w1", c.processes, "--task-time", "20ms")
	c.startStandin("worker", "w2", c.processes, "--task-time", "20ms")
	c.awaitWorkers(2)
	c.startExecutors(3)
	l := c.startLoad(4, func(int) []*process { return c.processes }, "standin run=20ms")
	random := rand.New(rand.NewPCG(chaosSeed, 0))
	var ids []model.JobID
	for step := range chaosSteps {
		p := c.processes[random.IntN(len(c.processes))]
		freeze := random.IntN(2) == 0
		t.Logf("step %d: %s, frozen %v", step, p.name, freeze)
		if freeze {
			p.freeze()
		} else {
			p.kill()
		}
		ids = append(ids, c.submitNamed(fmt.Sprintf("step-%d", step), chaosJobs, c.others(p))...)
		if freeze {
			p.resume()
		} else {
			p.start()
		}
		c.awaitReady(p)
	}
	c.checkOutcomes(l.end())
	cl := c.clientOf(c.keys["stands"])
	for _, id := range ids {
		assert.Equal(t, awaitJob(t, cl, id).Phase, "succeeded")
	}
	runs := startCounts(c.checkHistory())
	for _, id := range ids {
		assert.Assert(t, runs[model.TaskID{Job: id}] >= 1, "job %s succeeded but no start of its task is recorded", id)
	}
}

// submitNamed submits n jobs concurrently, whose names begin with prefix, and
// returns their IDs.
func (c *cell) submitNamed(prefix string, n int, entries []*process) []model.JobID {
	c.t.Helper()
	cl := c.clientOf(c.keys["stands"], entries...)
	ids := make([]model.JobID, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ids[i] = submitUntilAcknowledged(cl, fmt.Sprintf("%s-%d", prefix, i))
		}()
	}
	wg.Wait()
	for i, id := range ids {
		assert.Assert(c.t, id != 0, "job %s-%d was never acknowledged", prefix, i)
	}
	return ids
}
