package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/standin"
)

// BenchmarkRequest measures repeatable and journaled requests through the entry
// process of a cell with three control processes.
func BenchmarkRequest(b *testing.B) {
	c := newCell(b, shape{control: 3, entries: 1})
	c.apply(c.baseDeclarations())
	c.awaitVersion()
	c.startExecutors(3)
	cl := c.clientOf(c.keys["stands"], c.processes[3])
	for _, once := range []bool{false, true} {
		b.Run(fmt.Sprintf("journaled=%v", once), func(b *testing.B) {
			for b.Loop() {
				_, err := cl.Request(context.Background(), "fit", client.RequestOptions{Body: []byte("x"), NotRepeatable: once})
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkTimeToEffect measures the time until the task of a dead worker runs on
// another worker, until a leaving executor begins its last request, and until
// all entries refuse a withdrawn key. Each of these can happen only once in a
// cell, so the benchmark ignores b.N.
func BenchmarkTimeToEffect(b *testing.B) {
	c := newCell(b, shape{control: 3, entries: 3})
	d := c.baseDeclarations()
	c.apply(d)
	c.awaitVersion()
	executors := c.startExecutors(2)
	w1 := c.startStandin("worker", "w1", c.processes)
	c.awaitWorkers(3) // the executors are workers without capacity
	_, job := c.startLongTask("run=1h")
	c.startStandin("worker", "w2", c.processes)
	b.ResetTimer()
	began := time.Now()
	w1.kill()
	c.await("the task runs on w2", func() error {
		view, err := c.clientOf(c.keys["stands"]).Job(context.Background(), job.ID, client.JobQuery{})
		if err == nil && (view.Tasks[0].Worker != "w2" || view.Counts.Running != 1) {
			err = fmt.Errorf("%+v", view.Tasks)
		}
		return err
	})
	b.ReportMetric(time.Since(began).Seconds(), "s/dead-worker")
	b.ReportMetric(c.timeToLastRequest(executors[0]).Seconds(), "s/leaving-target")
	b.ReportMetric(c.timeToKeyRefusal(d.Keys[0].Digest).Seconds(), "s/withdrawn-key")
}

// timeToLastRequest terminates an executor under load and returns how long
// afterwards it began its last request.
func (c *cell) timeToLastRequest(x *process) time.Duration {
	l := c.startLoad(8, func(int) []*process { return c.processes }, "standin run=5ms")
	c.awaitRequests(l, 200)
	left := time.Now()
	assert.NilError(c.t, x.terminate())
	c.awaitRequests(l, 200)
	l.end()
	last := left
	for _, e := range c.checkHistory() {
		if at := time.Unix(0, e.At); e.Kind == standin.EventRequestBegin && e.Executor == x.name && at.After(last) {
			last = at
		}
	}
	return last.Sub(left)
}

// timeToKeyRefusal withdraws a key and returns the time until all entries have
// refused it.
func (c *cell) timeToKeyRefusal(digest model.KeyDigest) time.Duration {
	_, err := c.clientOf(c.operator, c.processes[0]).WithdrawKey(context.Background(), digest)
	assert.NilError(c.t, err)
	began := time.Now()
	for _, p := range c.processes {
		cl, err := client.New(client.Options{Addresses: []string{"http://" + p.settings.Outer.Address}, Key: c.keys["stands"], Attempts: 1})
		assert.NilError(c.t, err)
		c.await("the key is refused at "+p.name, func() error {
			if _, err := cl.Jobs(context.Background(), ""); err == nil {
				return fmt.Errorf("the key is still accepted")
			}
			return nil
		})
	}
	return time.Since(began)
}
