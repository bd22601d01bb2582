package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/standin"
)

// leader waits until p reports a leader of the cell and returns that process.
func (c *cell) leader(p *process) *process {
	c.t.Helper()
	var leader *process
	c.await("a leader", func() error {
		st, err := c.clientOf(c.operator, p).Status(context.Background())
		if err != nil {
			return err
		}
		for _, q := range c.processes {
			if q.settings.Inner.Address == st.Leader {
				leader = q
				return nil
			}
		}
		return fmt.Errorf("leader %q is not a process of the cell", st.Leader)
	})
	return leader
}

// others returns the processes of the cell except p.
func (c *cell) others(p *process) []*process {
	var out []*process
	for _, q := range c.processes {
		if q != p {
			out = append(out, q)
		}
	}
	return out
}

// submitMany submits n jobs of one task through the given entries, a few at once,
// and returns their IDs once all are acknowledged. A failed submission is
// repeated under the same idempotency key. After each acknowledgement, after is
// called with the number of jobs acknowledged so far.
func (c *cell) submitMany(n int, entries []*process, after func(acknowledged int64)) []model.JobID {
	c.t.Helper()
	const atOnce = 4
	cl := c.clientOf(c.keys["stands"], entries...)
	ids := make([]model.JobID, n)
	var next, acknowledged atomic.Int64
	var wg sync.WaitGroup
	for range atOnce {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				ids[i] = submitUntilAcknowledged(cl, fmt.Sprintf("many-%d", i))
				after(acknowledged.Add(1))
			}
		}()
	}
	wg.Wait()
	for i, id := range ids {
		assert.Assert(c.t, id != 0, "job %d was never acknowledged", i)
	}
	return ids
}

// submitUntilAcknowledged repeats a submission until it is acknowledged. It
// returns zero after eventTimeout.
func submitUntilAcknowledged(cl *client.Client, name string) model.JobID {
	for until := time.Now().Add(eventTimeout); time.Now().Before(until); {
		job, err := cl.Submit(context.Background(), jobSpec(name, model.PolicyBatch, 1, ""), name)
		if err == nil {
			return job.ID
		}
	}
	return 0
}

// noop is a callback of submitMany that does nothing.
func noop(int64) {}

// startCounts returns how often each task was started.
func startCounts(events []standin.Event) map[model.TaskID]int {
	runs := make(map[model.TaskID]int)
	for _, e := range events {
		if e.Kind == standin.EventStart {
			runs[e.Task]++
		}
	}
	return runs
}

// TestLeaderDiesDuringSubmissions kills the leader during submissions. Every
// acknowledged job must succeed and must have run exactly once.
func TestLeaderDiesDuringSubmissions(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startStandin("worker", "w1", c.processes, "--task-time", "50ms")
	c.startStandin("worker", "w2", c.processes, "--task-time", "50ms")
	c.awaitWorkers(2)
	leader := c.leader(c.processes[3])
	var at time.Time
	ids := c.submitMany(150, c.others(leader), func(acknowledged int64) {
		if acknowledged == 50 { // other submissions are in flight
			at = time.Now()
			_ = leader.cmd.Process.Kill()
		}
	})
	cl := c.clientOf(c.keys["stands"], c.others(leader)...)
	for _, id := range ids {
		view := awaitJob(t, cl, id)
		assert.Equal(t, view.Phase, "succeeded", "%+v", view)
	}
	t.Logf("all jobs succeeded %s after the kill", time.Since(at).Round(time.Millisecond))
	events := c.checkHistory()
	runs := startCounts(events)
	for _, id := range ids {
		assert.Equal(t, runs[model.TaskID{Job: id}], 1, "job %s", id)
	}
}

// TestFrozenLeaderResumesAfterLeaseExpiry freezes the leader until another process
// leads, and resumes it with work in its queue. Nothing that it sends as the old
// leader may take effect.
func TestFrozenLeaderResumesAfterLeaseExpiry(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startStandin("worker", "w1", c.processes, "--task-time", "50ms")
	c.awaitWorkers(1)
	entry := c.processes[3]
	leader := c.leader(entry)
	leader.freeze()
	began := time.Now()
	ids := c.submitMany(30, []*process{entry}, noop)
	t.Logf("all submissions were acknowledged %s after the freeze", time.Since(began).Round(time.Millisecond))
	next := c.leader(entry)
	assert.Assert(t, next != leader)
	leader.resume()
	ids = append(ids, c.submitMany(30, []*process{leader}, noop)...)
	cl := c.clientOf(c.keys["stands"], entry)
	for _, id := range ids {
		assert.Equal(t, awaitJob(t, cl, id).Phase, "succeeded")
	}
	c.checkHistory()
}

// startLongTask submits a job of one task and waits until the task runs.
func (c *cell) startLongTask(payload string) (*client.Client, api.JobView) {
	c.t.Helper()
	cl := c.clientOf(c.keys["stands"])
	job, err := cl.Submit(context.Background(), jobSpec("long", model.PolicyBatch, 1, payload), "long")
	assert.NilError(c.t, err)
	c.await("the task runs", func() error {
		view, err := cl.Job(context.Background(), job.ID, client.JobQuery{})
		if err == nil && view.Counts.Running != 1 {
			err = fmt.Errorf("%+v", view.Counts)
		}
		return err
	})
	return cl, job
}

// TestWorkerDiesDuringItsLease kills a worker that runs a long task. The task must
// be placed on another worker, and only after the lease has expired.
func TestWorkerDiesDuringItsLease(t *testing.T) {
	c := newCell(t, shape{control: 1, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	w1 := c.startStandin("worker", "w1", c.processes)
	c.awaitWorkers(1)
	cl, job := c.startLongTask("run=4s")
	w1.kill()
	c.startStandin("worker", "w2", c.processes)
	view := awaitJob(t, cl, job.ID)
	assert.Equal(t, view.Phase, "succeeded")
	assert.Equal(t, view.Tasks[0].Worker, model.WorkerID("w2"))
	assert.Equal(t, startCounts(c.checkHistory())[model.TaskID{Job: job.ID}], 2)
}

// TestFrozenWorkerStopsTasksAfterLeaseExpiry freezes a worker until its task runs on
// another worker, and then resumes it. The task must not have run on both workers
// at the same time.
func TestFrozenWorkerStopsTasksAfterLeaseExpiry(t *testing.T) {
	c := newCell(t, shape{control: 1, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	w1 := c.startStandin("worker", "w1", c.processes)
	c.awaitWorkers(1)
	cl, job := c.startLongTask("run=6s")
	w1.freeze()
	c.startStandin("worker", "w2", c.processes)
	c.await("the task runs on w2", func() error {
		view, err := cl.Job(context.Background(), job.ID, client.JobQuery{})
		if err == nil && (view.Tasks[0].Worker != "w2" || view.Counts.Running != 1) {
			err = fmt.Errorf("%+v", view.Tasks)
		}
		return err
	})
	w1.resume()
	assert.Equal(t, awaitJob(t, cl, job.ID).Phase, "succeeded")
	c.checkHistory()
}

// TestPartitionedEntryRefusesWithdrawnKey withdraws a key while an entry is
// frozen, and resumes the entry while every control process is frozen. The entry
// must refuse the key, at first as stale and not run, because the freshness bound
// has passed, and as withdrawn once the control processes run again.
func TestPartitionedEntryRefusesWithdrawnKey(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 1})
	d := c.baseDeclarations()
	c.apply(d)
	c.awaitVersion()
	entry := c.processes[3]
	entry.freeze()
	_, err := c.clientOf(c.operator, c.processes[:3]...).WithdrawKey(context.Background(), d.Keys[0].Digest)
	assert.NilError(t, err)
	for _, p := range c.processes[:3] {
		p.freeze()
	}
	entry.resume()
	cl, err := client.New(client.Options{Addresses: []string{"http://" + entry.settings.Outer.Address}, Key: c.keys["stands"], Attempts: 1})
	assert.NilError(t, err)
	c.await("the partitioned entry refuses submissions", func() error {
		_, err := cl.Submit(context.Background(), jobSpec("late", model.PolicyBatch, 1, ""), "late")
		if err == nil {
			t.Fatal("a withdrawn key was accepted")
		}
		if body := client.BodyOf(err); body.Kind != errkind.SettingsStale || !body.NotRun {
			return err
		}
		return nil
	})
	for _, p := range c.processes[:3] {
		p.resume()
	}
	c.await("the key is refused as withdrawn", func() error {
		_, err := cl.Submit(context.Background(), jobSpec("late", model.PolicyBatch, 1, ""), "late")
		if err == nil {
			t.Fatal("a withdrawn key was accepted")
		}
		if kind := client.BodyOf(err).Kind; kind != errkind.KeyWithdrawn && kind != errkind.KeyUnknown {
			return err
		}
		return nil
	})
}

// TestConcurrentAppliesOnOneBaseVersion applies ten different declarations to the
// same base version through different entries. One must succeed, the others must
// get a version conflict, and a repetition of the successful apply must return
// the same version.
func TestConcurrentAppliesOnOneBaseVersion(t *testing.T) {
	c := newCell(t, shape{control: 3, entries: 2})
	d := c.baseDeclarations()
	c.apply(d)
	const operators = 10
	results := make([]error, operators)
	versions := make([]uint64, operators)
	applyOf := func(i int) (api.Applied, error) {
		mine := d
		mine.Teams = []model.Team{{Name: "stands", Share: int64(i + 1), MaxRunning: 1000}}
		p := c.processes[i%len(c.processes)]
		return c.clientOf(c.operator, p).Apply(context.Background(), api.Apply{
			Base: c.version, ApplyID: fmt.Sprintf("race-%d", i), Declarations: mine})
	}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var got api.Applied
			got, results[i] = applyOf(i)
			versions[i] = got.Version
		}()
	}
	wg.Wait()
	winners := 0
	for i, err := range results {
		if err == nil {
			winners++
			assert.Equal(t, versions[i], c.version+1)
			again, err := applyOf(i)
			assert.NilError(t, err)
			assert.Equal(t, again.Version, c.version+1)
			continue
		}
		assert.Equal(t, client.BodyOf(err).Kind, errkind.VersionConflict)
	}
	assert.Equal(t, winners, 1)
	c.version++
	c.awaitVersion()
}
