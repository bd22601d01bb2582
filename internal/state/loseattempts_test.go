package state

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
)

// loseAttempt ends the current attempt of a task on a worker that is not lost.
func (s *crashHarness) loseAttempt(worker model.WorkerID, job model.JobID, index int32) int {
	id := model.TaskID{Job: job, Index: index}
	return s.apply(&Command{LoseAttempts: &LoseAttempts{Worker: worker, Session: s.m.Worker(worker).Session,
		Attempts: []HeldAttempt{{Task: id, Fence: s.m.Job(job).Task(index).Fence}}}}).Count
}

func (s *crashHarness) hear(worker model.WorkerID) {
	s.apply(&Command{LoseAttempts: &LoseAttempts{Worker: worker, Session: s.m.Worker(worker).Session, Heard: true}})
}

// A task must not escape the count of crashes because its attempt was lost before its worker.
func TestAttemptThatIsLostBeforeItsWorkerCountsAsSuspect(t *testing.T) {
	rows := []struct {
		name  string
		after func(s *crashHarness)
		want  suspicion
	}{
		{"nothing more is known", func(*crashHarness) {}, suspicion{Unexplained: 1, Silent: 1}},
		{"the worker is lost", func(s *crashHarness) { s.lose("w1", false) }, suspicion{Unexplained: 1, Silent: 1}},
		{"the worker starts again", func(s *crashHarness) { s.restart("w1") }, suspicion{Crashes: 1}},
		{"the worker is lost and starts again", func(s *crashHarness) { s.lose("w1", false); s.restart("w1") }, suspicion{Crashes: 1}},
		{"another worker answers at its address", func(s *crashHarness) { s.lose("w1", true) }, suspicion{Crashes: 1}},
		{"the worker answers again", func(s *crashHarness) { s.hear("w1") }, suspicion{}},
		{"the worker answers again and is lost later", func(s *crashHarness) { s.hear("w1"); s.lose("w1", true) }, suspicion{}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("f", model.Step{Policy: model.PolicyBatch, Tasks: 2, Size: model.Resources{CPU: 1000}})
			job := s.start("f", 0, "w1")
			assert.Equal(t, s.loseAttempt("w1", job, 0), 1)
			assert.Equal(t, s.m.Job(job).Task(0).Phase, model.TaskPending)
			assert.Equal(t, s.m.Worker("w1").Mode, model.WorkerOpen)
			var snapshot bytes.Buffer
			assert.NilError(t, s.m.WriteSnapshot(&snapshot))
			row.after(s)
			got := s.suspicion(job, 0)
			got.HeldUntil = 0
			assert.Equal(t, got, row.want)
			_, err := ReadSnapshot(Options{}, &snapshot)
			assert.NilError(t, err)
		})
	}
}

// An attempt that has been placed anew, or a worker of a later session, must not be touched.
func TestLossOfAttemptsConcernsOnlyTheNamedOnes(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("f", model.Step{Policy: model.PolicyBatch, Tasks: 2, Size: model.Resources{CPU: 1000}})
	job := s.start("f", 0, "w1")
	s.start("f", 1, "w1")
	old := &LoseAttempts{Worker: "w1", Session: s.m.Worker("w1").Session,
		Attempts: []HeldAttempt{{Task: model.TaskID{Job: job}, Fence: s.m.Job(job).Task(0).Fence}}}
	assert.Equal(t, s.loseAttempt("w1", job, 0), 1)
	assert.Equal(t, s.m.Job(job).Task(1).Phase, model.TaskRunning)
	s.start("f", 0, "w1")
	assert.Equal(t, s.apply(&Command{LoseAttempts: old}).Count, 0, "the fence is that of an earlier attempt")
	old.Attempts[0].Fence = s.m.Job(job).Task(0).Fence
	s.restart("w1")
	assert.Equal(t, s.apply(&Command{LoseAttempts: old}).Count, 0, "the session is an earlier one")
}

// The attempts that are lost later are not the only possible cause if another job's were lost before.
func TestEarlierLostAttemptOfAnotherJobMakesNoSoleSuspect(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("f", model.Step{Policy: model.PolicyBatch, Tasks: 1, Size: model.Resources{CPU: 1000}})
	s.submit("g", model.Step{Policy: model.PolicyBatch, Tasks: 1, Size: model.Resources{CPU: 1000}})
	f := s.start("f", 0, "w1")
	s.start("g", 0, "w1")
	s.loseAttempt("w1", f, 0)
	w := s.m.Worker("w1")
	for _, a := range s.m.suspectsOn(w, nil) {
		assert.Equal(t, a.Evidence, evidenceLikely, "job %v", a.Task.Job)
	}
	assert.Equal(t, len(s.m.suspectsOn(w, nil)), 1)
}
