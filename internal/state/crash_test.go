package state

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// incarnationCommand announces an incarnation of a worker at an address of its own.
func incarnationCommand(id model.WorkerID, incarnation uint64) *Command {
	c := announceCommand(id, 8000)
	c.Announce.Spec.Incarnation = incarnation
	c.Announce.Spec.Address = "10.0.0.1:" + string(id)
	return c
}

// crashHarness is a workflowHarness whose workers have incarnations.
type crashHarness struct {
	*workflowHarness
	incarnation uint64
}

func newCrashHarness(t *testing.T) *crashHarness {
	s := &crashHarness{newWorkflowHarness(t), 1}
	s.apply(incarnationCommand("w1", 1))
	s.apply(incarnationCommand("w2", 1))
	return s
}

// start places one task of a workflow's first step on a worker and confirms its start.
func (s *crashHarness) start(id model.WorkflowID, index int32, worker model.WorkerID) model.JobID {
	s.t.Helper()
	job := s.m.Workflow(id).Jobs[0]
	assert.Equal(s.t, s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, index, worker, 1000)}}}).Count, 1)
	s.report(job, index, api.ReportStarted)
	return job
}

// restart announces a new incarnation of a worker.
func (s *crashHarness) restart(worker model.WorkerID) {
	s.incarnation++
	s.apply(incarnationCommand(worker, s.incarnation))
}

func (s *crashHarness) lose(worker model.WorkerID, replaced bool) {
	s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{
		{ID: worker, Session: s.m.Worker(worker).Session, Replaced: replaced}}}})
}

func (s *crashHarness) suspicion(job model.JobID, index int32) suspicion {
	return s.m.Job(job).Suspicions[index]
}

// certainCrashes are the ways in which the state learns that a worker has crashed.
var certainCrashes = []struct {
	name  string
	crash func(s *crashHarness, worker model.WorkerID)
}{
	{"workers start again within their lease", func(s *crashHarness, w model.WorkerID) { s.restart(w) }},
	{"workers start again after their lease", func(s *crashHarness, w model.WorkerID) { s.lose(w, false); s.restart(w) }},
	{"other workers answer at their addresses", func(s *crashHarness, w model.WorkerID) { s.lose(w, true); s.restart(w) }},
	{"other workers announce themselves at their addresses", func(s *crashHarness, w model.WorkerID) {
		s.lose(w, false)
		c := incarnationCommand("new-"+w, 1)
		c.Announce.Spec.Address = s.m.Worker(w).Spec.Address
		s.apply(c)
		s.restart(w)
	}},
}

// A task must not crash worker after worker.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, row := range certainCrashes {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("deadly", newStep(model.PolicyBatch, 2), newStep(model.PolicyBatch, 1, 0))
			starts := 0
			for s.m.Workflow("deadly").Phase() != model.PhaseFailed && starts < 6 {
				s.at = s.at.Add(crashHold)
				s.start("deadly", 1, "w1")
				starts++
				row.crash(s, "w1")
			}
			assert.Assert(t, starts <= maxCrashes, "%d starts", starts)
			checkInvariants(t, s.m)
		})
	}
}

// A loss that is no certain crash must not count against a task.
func TestLossWithoutCrashGivesNoTaskUp(t *testing.T) {
	rows := []struct {
		name string
		lose func(s *crashHarness)
		want suspicion
	}{
		{"the worker was cut off and is back", func(s *crashHarness) { s.lose("w1", false); s.apply(incarnationCommand("w1", 1)) }, suspicion{}},
		{"the worker left", func(s *crashHarness) {
			s.apply(&Command{SetMode: &SetMode{Worker: "w1", Mode: model.WorkerLeaving}})
			s.lose("w1", false)
			s.restart("w1")
		}, suspicion{}},
		{"the lease of the worker lapsed on its own clock", func(s *crashHarness) { s.report(s.m.Workflow("f").Jobs[0], 0, api.ReportLapsed) }, suspicion{}},
		{"the worker is never heard of again", func(s *crashHarness) {
			s.lose("w1", false)
			s.apply(announceCommand("w1", 8000)) // a worker without an incarnation proves nothing
		}, suspicion{}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("f", newStep(model.PolicyBatch, 1))
			for range 2 * maxCrashes {
				job := s.start("f", 0, "w1")
				row.lose(s)
				assert.Equal(t, s.suspicion(job, 0), row.want)
				s.apply(incarnationCommand("w1", s.incarnation))
			}
			assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseRunning)
		})
	}
}

// A task must not be given up for crashes of workers of which it is not known that they got its start.
func TestTaskIsNotGivenUpForCrashesOfWorkersThatItsStartNeverReached(t *testing.T) {
	rows := []struct {
		name  string
		want  suspicion
		crash func(s *crashHarness, worker model.WorkerID)
	}{
		{"workers start again within their lease", suspicion{Unreceived: true}, func(s *crashHarness, w model.WorkerID) { s.restart(w) }},
		{"workers start again after their lease", suspicion{Unreceived: true}, func(s *crashHarness, w model.WorkerID) { s.lose(w, false); s.restart(w) }},
		{"other workers answer at their addresses", suspicion{Unreceived: true}, func(s *crashHarness, w model.WorkerID) { s.lose(w, true); s.restart(w) }},
		{"workers stay away", suspicion{}, func(s *crashHarness, w model.WorkerID) { s.lose(w, false); s.apply(announceCommand(w, 8000)) }},
		{"the start is stopped before", suspicion{Unreceived: true}, func(s *crashHarness, w model.WorkerID) {
			s.apply(&Command{Stop: &Stop{Tasks: []TaskStop{{Task: model.TaskID{Job: s.m.Workflow("f").Jobs[0]}, Cause: StopPreempted}}}})
			s.restart(w)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("f", newStep(model.PolicyBatch, 1))
			job := s.m.Workflow("f").Jobs[0]
			for range 2 * maxDoubtful {
				assert.Equal(t, s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 0, "w1", 1000)}}}).Count, 1)
				row.crash(s, "w1")
				assert.Equal(t, s.suspicion(job, 0), row.want, "it is placed apart, but nothing counts against it")
				s.restart("w1")
			}
			assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseWaiting)
			checkInvariants(t, s.m)
		})
	}
}

// A task must not crash worker after worker where each one ends before it confirms the start.
func TestTaskWhoseStartWasReceivedAndNotConfirmedIsGivenUp(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("deadly", newStep(model.PolicyBatch, 1))
	job := s.m.Workflow("deadly").Jobs[0]
	starts := 0
	for ; s.m.Workflow("deadly").Phase() != model.PhaseFailed && starts < 6; starts++ {
		assert.Equal(t, s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 0, "w1", 1000)}}}).Count, 1)
		s.report(job, 0, api.ReportReceived)
		s.m = mustRestore(t, s.m)
		s.restart("w1")
	}
	assert.Equal(t, starts, maxSoleCrashes)
}

// placeUnanswered places the first task of a job on a worker, by a leader that is lost before the worker responds.
func (s *crashHarness) placeUnanswered(job model.JobID, worker model.WorkerID) {
	s.t.Helper()
	assert.Equal(s.t, s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 0, worker, 1000)}}}).Count, 1)
	s.m.Job(job).Tasks[0].Fence.Term--
}

// A task must not be given up after one crash of a worker that had its start, for another one whose start a lost leader may not have sent.
func TestLossOfLeaderIsNoEvidenceOfReceivedStart(t *testing.T) {
	for _, row := range certainCrashes {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("f", newStep(model.PolicyBatch, 1))
			job := s.m.Workflow("f").Jobs[0]
			for range maxCrashes {
				s.placeUnanswered(job, "w1")
				row.crash(s, "w1")
				s.at = s.at.Add(crashHold)
			}
			s.start("f", 0, "w2")
			row.crash(s, "w2")
			assert.Assert(t, s.m.Workflow("f").Phase() != model.PhaseFailed)
			assert.Equal(t, s.suspicion(job, 0), suspicion{Crashes: 1, Doubtful: maxCrashes})
			s.m = mustRestore(t, s.m)
			s.at = s.at.Add(crashHold)
			s.start("f", 0, "w2")
			row.crash(s, "w2")
			assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseFailed, "no other job can have caused two crashes")
			checkInvariants(t, s.m)
		})
	}
}

// A task must not be given up for two crashes that other workers share, whenever the leader learns of them.
func TestCrashThatOtherWorkersShareIsDoubtful(t *testing.T) {
	rows := []struct {
		name  string
		crash func(s *crashHarness, job model.JobID)
	}{
		{"the worker starts again within its lease", func(s *crashHarness, job model.JobID) {
			s.incarnation++
			c := incarnationCommand("w1", s.incarnation)
			c.Announce.CommonCause = []model.JobID{job}
			s.apply(c)
		}},
		{"the worker starts again after its lease", func(s *crashHarness, job model.JobID) {
			s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{
				{ID: "w1", Session: s.m.Worker("w1").Session, CommonCause: []model.JobID{job}}}}})
			s.m = mustRestore(s.t, s.m)
			s.restart("w1")
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("f", newStep(model.PolicyBatch, 1))
			for n := range uint16(maxDoubtful) {
				job := s.start("f", 0, "w1")
				assert.Equal(t, s.suspicion(job, 0), suspicion{Doubtful: n})
				row.crash(s, job)
				s.at = s.at.Add(crashHold)
			}
			assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseFailed)
			checkInvariants(t, s.m)
		})
	}
}

// A task must not be started a third time after three workers have crashed under it, though each crash takes the leader along that could have heard of its start.
func TestTaskWhoseLeadersAreLostWithItsWorkersIsGivenUp(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("deadly", newStep(model.PolicyBatch, 1))
	job := s.m.Workflow("deadly").Jobs[0]
	starts := 0
	for ; s.m.Workflow("deadly").Phase() != model.PhaseFailed && starts < 2*maxDoubtful; starts++ {
		s.placeUnanswered(job, "w1")
		s.restart("w1")
		s.m = mustRestore(t, s.m)
		s.at = s.at.Add(crashHold)
	}
	assert.Equal(t, starts, maxDoubtful)
	assert.Equal(t, maxDoubtful, maxCrashes+startsAfterLastCrash)
}

// A task must not be started over and over while its workers may have crashed.
func TestTaskIsHeldWhileLossesAreUnexplained(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("f", newStep(model.PolicyBatch, 1))
	job := s.start("f", 0, "w1")
	s.lose("w1", false)
	assert.Equal(t, s.suspicion(job, 0), suspicion{Unexplained: 1, Silent: 1}, "one loss does not delay the task")
	s.start("f", 0, "w2")
	s.lose("w2", false)
	s.apply(incarnationCommand("w3", 1))
	again := &Command{Place: &Place{Placements: []Placement{placement(job, 0, "w3", 1000)}}}
	assert.Equal(t, s.apply(again).Count, 0)
	s.m = mustRestore(t, s.m)
	assert.Equal(t, s.apply(again).Count, 0, "the hold outlives the leader")
	s.apply(incarnationCommand("w1", 1))
	assert.Equal(t, s.apply(again).Count, 1, "the first worker did not crash")
	s.lose("w3", false)
	s.at = s.at.Add(crashHold)
	again.Place.Placements[0].Worker = "w1"
	assert.Equal(t, s.apply(again).Count, 1, "the hold ends without news of a worker")
}

// mustRestore returns the machine restored from its snapshot.
func mustRestore(t *testing.T, m *Machine) *Machine {
	t.Helper()
	var data bytes.Buffer
	assert.NilError(t, m.WriteSnapshot(&data))
	restored, err := ReadSnapshot(testOptions(), &data)
	assert.NilError(t, err)
	return restored
}

// A crash must not count against a task that had run long before the newest start.
func TestLongRunningNeighbourIsNoSuspect(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("old", newStep(model.PolicyBatch, 1))
	s.submit("new", newStep(model.PolicyBatch, 1))
	old := s.start("old", 0, "w1")
	s.at = s.at.Add(SettledAfter)
	job := s.start("new", 0, "w1")
	s.restart("w1")
	assert.Equal(t, s.suspicion(old, 0), suspicion{})
	assert.Equal(t, s.suspicion(job, 0), suspicion{Crashes: 1})
	s.start("old", 0, "w2")
	s.start("new", 0, "w1")
	s.restart("w1")
	assert.Equal(t, s.m.Workflow("new").Phase(), model.PhaseFailed, "no other job can have caused the second crash")
	assert.Equal(t, s.m.Workflow("old").Phase(), model.PhaseRunning)
}

// A suspect that runs past its start is innocent, and starts anew.
func TestSuspectThatRunsOnIsCleared(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("f", newStep(model.PolicyBatch, 1))
	for range 2 * maxCrashes {
		job := s.start("f", 0, "w1")
		s.restart("w1")
		assert.Equal(t, s.suspicion(job, 0), suspicion{Crashes: 1})
		s.start("f", 0, "w1")
		s.at = s.at.Add(SettledAfter - 100*time.Millisecond)
		r := api.Report{Task: model.TaskID{Job: job}, Fence: s.m.Job(job).Task(0).Fence, State: api.ReportStarted}
		report := &Command{Report: &Report{Reports: []WorkerReport{{Worker: "w1", Session: s.m.Worker("w1").Session, Reports: []api.Report{r}}}}}
		assert.Equal(t, s.apply(report).Count, 0, "it has not run long enough")
		s.at = s.at.Add(100 * time.Millisecond)
		assert.Equal(t, s.apply(report).Count, 1)
		assert.Equal(t, s.suspicion(job, 0), suspicion{})
		s.report(job, 0, api.ReportLapsed)
	}
	assert.Equal(t, s.m.Workflow("f").Phase(), model.PhaseRunning)
}

// A gang must be given up as a whole, and a service never.
func TestCrashesUnderGangsAndServices(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("gang", newStep(model.PolicyGang, 2))
	s.submit("service", newStep(model.PolicyService, 1))
	for range maxSoleCrashes {
		job := s.place("gang", 0)
		s.report(job, 0, api.ReportReceived)
		s.restart("w1")
		if s.m.Job(job).Tasks[1].Phase == model.TaskStopping {
			s.report(job, 1, api.ReportStopped)
		}
	}
	assert.Equal(t, s.m.Workflow("gang").Phase(), model.PhaseFailed)
	for range 2 * maxCrashes {
		s.start("service", 0, "w1")
		s.restart("w1")
	}
	assert.Equal(t, s.m.Workflow("service").Phase(), model.PhaseRunning)
	checkInvariants(t, s.m)
}

// A snapshot of an earlier build has no suspicions.
func TestSnapshotWithoutSuspicionsIsRead(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("f", newStep(model.PolicyBatch, 1))
	job := s.start("f", 0, "w1")
	data, err := encMode.Marshal(s.m.Job(job))
	assert.NilError(t, err)
	var fields map[int]any
	assert.NilError(t, decMode.Unmarshal(data, &fields))
	_, found := fields[22]
	assert.Assert(t, !found, "no field is written without a loss")
	s.restart("w1")
	assert.Equal(t, mustRestore(t, s.m).Job(job).Suspicions[0], suspicion{Crashes: 1})
}

// A start that its worker did not confirm must not hide which task has crashed the worker.
func TestUnconfirmedStartDoesNotHideCauseOfCrash(t *testing.T) {
	rows := []struct {
		name string
		end  func(s *crashHarness, job model.JobID)
	}{
		{"it is stopped", func(s *crashHarness, job model.JobID) {
			s.apply(&Command{Stop: &Stop{Tasks: []TaskStop{{Task: model.TaskID{Job: job}, Cause: StopPreempted}}}})
		}},
		{"the next incarnation of the worker confirms it", func(s *crashHarness, job model.JobID) { s.report(job, 0, api.ReportStarted) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("deadly", newStep(model.PolicyBatch, 1))
			s.submit("next", newStep(model.PolicyBatch, 1))
			deadly, next := s.start("deadly", 0, "w1"), s.m.Workflow("next").Jobs[0]
			s.at = s.at.Add(model.StartSpan / 4)
			s.apply(&Command{Place: &Place{Placements: []Placement{placement(next, 0, "w1", 1000)}}})
			s.at = s.at.Add(2 * model.StartSpan)
			row.end(s, next)
			s.m = mustRestore(t, s.m)
			s.restart("w1")
			assert.Equal(t, s.suspicion(deadly, 0), suspicion{Crashes: 1})
			checkInvariants(t, s.m)
		})
	}
}

// A start that was confirmed late must not count as unconfirmed once it has run for long.
func TestLateConfirmedTaskIsNoSuspectOnceItHasRun(t *testing.T) {
	s := newCrashHarness(t)
	s.submit("slow", newStep(model.PolicyBatch, 1))
	s.submit("deadly", newStep(model.PolicyBatch, 1))
	slow := s.m.Workflow("slow").Jobs[0]
	s.apply(&Command{Place: &Place{Placements: []Placement{placement(slow, 0, "w1", 1000)}}})
	s.at = s.at.Add(2 * model.StartSpan)
	s.report(slow, 0, api.ReportStarted)
	s.at = s.at.Add(2 * SettledAfter)
	deadly := s.m.Workflow("deadly").Jobs[0]
	s.apply(&Command{Place: &Place{Placements: []Placement{placement(deadly, 0, "w1", 1000)}}})
	s.report(deadly, 0, api.ReportReceived)
	s.restart("w1")
	assert.Equal(t, s.suspicion(deadly, 0), suspicion{Crashes: 1})
	assert.Equal(t, s.suspicion(slow, 0), suspicion{})
}

// A task must not be started without end while its workers stay away, nor be given up once they were only cut off.
func TestTaskWhoseWorkersStayAwayIsGivenUp(t *testing.T) {
	rows := []struct {
		name   string
		beside bool // another job starts on each worker, too
		cutOff bool // the first worker is back before the last loss, and had not crashed
		want   int  // starts
	}{
		{"alone on each of them", false, false, maxDoubtful},
		{"not alone", true, false, maxDoubtful},
		{"one of them was cut off", false, true, maxDoubtful + 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newCrashHarness(t)
			s.submit("f", newStep(model.PolicyBatch, 1))
			s.submit("beside", newStep(model.PolicyBatch, 10))
			starts := 0
			for ; s.m.Workflow("f").Phase() != model.PhaseFailed && starts <= maxDoubtful+1; starts++ {
				worker := model.WorkerID("away" + string(rune('a'+starts)))
				s.apply(incarnationCommand(worker, 1))
				s.start("f", 0, worker)
				if row.beside {
					s.start("beside", int32(starts), worker)
				}
				if row.cutOff && starts == maxDoubtful-1 {
					s.apply(incarnationCommand("awaya", 1))
				}
				s.lose(worker, false)
				s.m = mustRestore(t, s.m)
				s.at = s.at.Add(crashHold)
			}
			assert.Equal(t, starts, row.want)
			checkInvariants(t, s.m)
		})
	}
}
