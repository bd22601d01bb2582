package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// runFor lets a simulation go on for some time.
func (s *simulation) runFor(d time.Duration) {
	for end := s.now() + d; s.now() < end; {
		s.step()
	}
}

// runUntil lets a simulation go on until done returns true, for at most 10 s, and reports
// whether it did.
func (s *simulation) runUntil(done func() bool) bool {
	for end := s.now() + 10*time.Second; s.now() < end; s.step() {
		if done() {
			return true
		}
	}
	return false
}

// losePower crashes a worker whose peers learn nothing of it, and starts it again under its
// ID. Its first heartbeat is sent after the given time.
func (s *simulation) losePower(w *simWorker, heartbeatAfter time.Duration) *simWorker {
	w.waiting = nil
	w.crash()
	s.boot(w.id, w.address)
	next := s.workers[len(s.workers)-1]
	next.heartbeatAt = s.now() + heartbeatAfter
	return next
}

// setSlotsOfOthers sets how many runs each worker but one takes.
func (s *simulation) setSlotsOfOthers(w *simWorker, slots int) {
	for _, o := range s.workers {
		if o.id != w.id {
			o.slots = slots
		}
	}
}

// runsRecorded reports whether the committed state holds tasks on a worker and knows of all
// of them that they run.
func (s *simulation) runsRecorded(id model.WorkerID) bool {
	held := s.log.state.Worker(id).Held
	for _, task := range held {
		if s.log.state.Job(task.Job).Task(task.Index).Phase != model.TaskRunning {
			return false
		}
	}
	return len(held) > 0
}

// Guards against a task that runs twice: a renewal for the earlier incarnation has lengthened the lease of the next one.
func TestRestartedWorkerIsNotLostBeforeLeaseMeantForEarlierIncarnationEnds(t *testing.T) {
	rows := []struct {
		name      string
		newLeader bool
		leaseMax  time.Duration
	}{
		{"a new leader, short longest lease", true, simHoldMax},
		{"a new leader", true, 10 * time.Second},
		{"the same leader", false, 10 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(1, simFaults{longestRun: time.Minute, holdMax: row.leaseMax})
				s.runFor(20 * time.Second)
				w := s.losePower(s.workers[0], 1500*time.Millisecond)
				s.setSlotsOfOthers(w, 0)
				renewed := s.runUntil(func() bool { return w.until != 0 })
				s.submit()
				recorded := s.runUntil(func() bool { return s.runsRecorded(w.id) })
				s.setSlotsOfOthers(w, simWorkerSlots)
				s.cuts[w.address] = s.now() + 15*time.Second
				if row.newLeader {
					s.changeLeader()
				}
				s.runFor(20 * time.Second)
				s.run(0)
				assert.Assert(t, renewed && recorded)
				if len(s.check.violations) > 0 {
					t.Log(s.history(s.check.violations[0].task))
				}
				assert.Equal(t, len(s.check.violations), 0)
			})
		})
	}
}

// Guards against tasks that wait for the longest lease of a worker that restarted long before.
func TestLossWaitsForLongestLeaseOnlySoonAfterRestart(t *testing.T) {
	rows := []struct {
		name string
		ago  time.Duration // since the restart
		held time.Duration // before the loss
	}{
		{"restarted just now", 0, 10500 * time.Millisecond},
		{"restarted long ago", restartWindow, 4 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h, _ := newLeaderHarness(t)
			h.apply(incarnationOf(2))
			h.advance(row.ago)
			task := h.placeAnother("g")
			h.report(task, api.ReportStarted)
			pass := h.shortLeases()
			pass(row.held)
			h.commitAll()
			assert.Equal(t, h.phase(task), model.TaskRunning)
			pass(time.Second)
			h.commitAll()
			assert.Equal(t, h.phase(task), model.TaskPending)
		})
	}
}
