package state

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

const gangWidth = 4

// gangAttempts is the number of attempts of the queue of a workflowHarness.
const gangAttempts = 3

// newGang returns a harness with a gang of gangWidth tasks, and its job.
func newGang(t *testing.T) (*crashHarness, model.JobID) {
	s := newCrashHarness(t)
	assert.NilError(t, s.submit("f", newStep(model.PolicyGang, gangWidth)).Err)
	return s, s.m.Workflow("f").Jobs[0]
}

// endRun ends an attempt of the gang, each member as given.
func (s *crashHarness) endRun(job model.JobID, ends [gangWidth]api.ReportState) {
	s.t.Helper()
	for i, end := range ends {
		if s.m.Job(job).Finished == 0 && s.m.Job(job).Tasks[i].Phase.HoldsResources() {
			s.report(job, int32(i), end)
		}
	}
}

// Guards against a gang that is shown as failed too early, since several members have failed in one run.
func TestRunOfGangCountsOnceHoweverManyMembersFail(t *testing.T) {
	const failed, lapsed, stopped, broken = api.ReportFailed, api.ReportLapsed, api.ReportStopped, api.ReportBroken
	rows := []struct {
		name string
		ends [gangWidth]api.ReportState
	}{
		{"one member fails", [gangWidth]api.ReportState{failed, stopped, broken, stopped}},
		{"all members fail", [gangWidth]api.ReportState{failed, failed, failed, failed}},
		{"two fail after one was lost", [gangWidth]api.ReportState{lapsed, failed, failed, stopped}},
		{"one is lost between two failures", [gangWidth]api.ReportState{failed, lapsed, failed, broken}},
		{"the last end is a failure", [gangWidth]api.ReportState{broken, stopped, lapsed, failed}},
	}
	for _, row := range rows {
		for _, restore := range []bool{false, true} {
			t.Run(row.name, func(t *testing.T) {
				s, job := newGang(t)
				for run := range gangAttempts {
					assert.Equal(t, s.m.Job(job).Finished, model.Time(0), "after %d runs", run)
					for i := range s.m.Job(job).Tasks {
						assert.Equal(t, int(s.m.Job(job).Tasks[i].Restarts), run)
					}
					s.place("f", 0)
					if restore {
						s.restore()
					}
					s.endRun(job, row.ends)
				}
				assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseFailed)
				checkInvariants(t, s.m)
			})
		}
	}
}

// Guards against an end of an earlier run of a gang that counts against the run that works.
func TestLateFailureOfEarlierRunOfGangCountsNothing(t *testing.T) {
	s, job := newGang(t)
	s.place("f", 0)
	late := *s.m.Job(job).Task(2)
	s.endRun(job, [gangWidth]api.ReportState{api.ReportFailed, api.ReportStopped, api.ReportLapsed, api.ReportStopped})
	s.place("f", 0)
	worker := s.m.TaskWorker(&late)
	r := api.Report{Task: model.TaskID{Job: job, Index: 2}, Fence: late.Fence, State: api.ReportFailed}
	s.apply(&Command{Report: &Report{Reports: []WorkerReport{{Worker: worker, Session: s.m.Worker(worker).Session, Reports: []api.Report{r}}}}})
	assert.Equal(t, s.m.Job(job).Task(2).Phase, model.TaskStarting)
	assert.Equal(t, s.m.Job(job).Task(2).Restarts, uint16(1))
}

// restore replaces the machine by one that is read from its snapshot.
func (s *crashHarness) restore() {
	s.t.Helper()
	var snapshot bytes.Buffer
	assert.NilError(s.t, s.m.WriteSnapshot(&snapshot))
	m, err := ReadSnapshot(testOptions(), &snapshot)
	assert.NilError(s.t, err)
	s.m = m
}

// Guards against a run that counts again, or not at all, after a snapshot was taken while it failed.
func TestFailedRunOfGangSurvivesSnapshot(t *testing.T) {
	earlier := func(restarts ...uint16) func(*Job) { // the state of a build that counted each member by itself
		return func(j *Job) {
			j.FailedRun = 0
			for i, n := range restarts {
				j.Tasks[i].Restarts = n
			}
		}
	}
	rows := []struct {
		name   string
		change func(*Job)
		want   uint16 // restarts after the second failure of the run
	}{
		{"of this build", func(*Job) {}, 1},
		{"of an earlier build, after its first failure", earlier(1, 0, 0, 0), 1},
		{"of an earlier build, after a failure of another run", earlier(0, 1, 0, 0), 2},
		{"of an earlier build, after failures of two members", earlier(2, 1, 0, 0), 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s, job := newGang(t)
			s.place("f", 0)
			s.report(job, 0, api.ReportFailed)
			row.change(s.m.Job(job))
			s.restore()
			s.report(job, 2, api.ReportFailed)
			for i := range s.m.Job(job).Tasks {
				assert.Equal(t, s.m.Job(job).Tasks[i].Restarts, row.want)
			}
		})
	}
}

// Guards against a gang of tasks that last whose members are started one by one after a crash, so that it never works again, and against one that ends before it is cancelled.
func TestGangThatLastsIsStartedAgainAsWhole(t *testing.T) {
	ends := []api.ReportState{api.ReportSucceeded, api.ReportFailed, api.ReportStopped, api.ReportLapsed, api.ReportBroken}
	for _, end := range ends {
		for _, crash := range []bool{false, true} {
			s := newCrashHarness(t)
			step := newStep(model.PolicyGang, gangWidth)
			step.Lasting = true
			assert.NilError(t, s.submit("f", step).Err)
			job := s.m.Workflow("f").Jobs[0]
			for run := uint32(1); run <= 2*gangAttempts; run++ {
				s.at = s.at.Add(crashHold)
				s.place("f", 0)
				for i := range int32(gangWidth) {
					s.report(job, i, api.ReportStarted)
					assert.Equal(t, s.m.Job(job).Task(i).Attempt, run)
				}
				if crash {
					s.restart("w1") // with two members
				} else {
					s.report(job, 0, end)
				}
				part := &Place{Placements: []Placement{placement(job, 0, "w1", 1000)}}
				assert.Equal(t, s.apply(&Command{Place: part}).Count, 0, "a member starts without the others")
				s.endRun(job, [gangWidth]api.ReportState{api.ReportStopped, api.ReportBroken, end, api.ReportStopped})
				assert.Equal(t, s.m.Job(job).Finished, model.Time(0), "%v", end)
				checkInvariants(t, s.m)
			}
			s.place("f", 0)
			s.apply(&Command{CancelWorkflow: &CancelWorkflow{Team: "stands", ID: "f"}})
			s.endRun(job, [gangWidth]api.ReportState{end, api.ReportStopped, api.ReportStopped, api.ReportStopped})
			assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseCancelled, "%v", end)
		}
	}
}
