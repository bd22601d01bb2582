package state

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// speedHarness runs steps whose tasks run on a slow worker, w1, and on a fast one, w2.
type speedHarness struct {
	*harness
	t *testing.T
}

func newSpeedHarness(t *testing.T) *speedHarness {
	s := &speedHarness{newConfiguredHarness(t), t}
	assert.NilError(t, s.apply(&Command{SetWorkerSpeed: &SetWorkerSpeed{Enabled: true}}).Err)
	return s
}

func (s *speedHarness) report(id model.TaskID, state api.ReportState, checkpoint string) {
	task := s.m.Job(id.Job).Tasks[id.Index]
	worker := s.m.TaskWorker(&task)
	s.apply(&Command{Report: &Report{Reports: []WorkerReport{{Worker: worker, Session: s.m.Worker(worker).Session,
		Reports: []api.Report{{Task: id, Fence: task.Fence, State: state, Checkpoint: checkpoint}}}}}})
}

// start places one task and confirms its start.
func (s *speedHarness) start(id model.TaskID, worker model.WorkerID) {
	assert.Equal(s.t, s.apply(&Command{Place: &Place{Placements: []Placement{placement(id.Job, id.Index, worker, 1000)}}}).Count, 1)
	s.report(id, api.ReportStarted, "")
}

// run runs one task for the given time to its success.
func (s *speedHarness) run(id model.TaskID, worker model.WorkerID, ran time.Duration) {
	s.start(id, worker)
	s.endAfter(id, ran)
}

func (s *speedHarness) endAfter(id model.TaskID, ran time.Duration) {
	s.at = s.m.Job(id.Job).Tasks[id.Index].Since.Add(ran - 10*time.Millisecond)
	s.report(id, api.ReportSucceeded, "")
}

// step runs a step of two tasks, which take twice as long on w1 as on w2.
func (s *speedHarness) step() {
	job := s.apply(submitCommand("guards", "chairs", model.PolicyBatch, 2, 1000)).Job
	s.run(model.TaskID{Job: job, Index: 0}, "w2", time.Second)
	s.run(model.TaskID{Job: job, Index: 1}, "w1", 2*time.Second)
}

// estimates returns the estimated speeds of w1 and w2.
func (s *speedHarness) estimates() (slow, fast int64) {
	return s.m.Worker("w1").Speed.Permille(), s.m.Worker("w2").Speed.Permille()
}

// checkSpeeds recomputes the sum of the estimates.
func checkSpeeds(t assert.TestingT, m *Machine) {
	speeds := workerSpeeds{enabled: m.speeds.enabled}
	for _, w := range m.Workers() {
		speeds.add(w.Speed)
	}
	assert.Equal(t, m.speeds, speeds, "sum of the estimated speeds")
}

func TestSpeedIsEstimatedFromTasksOfOneStep(t *testing.T) {
	s := newSpeedHarness(t)
	slow, fast := s.estimates()
	assert.Equal(t, slow, int64(speed.Normal))
	assert.Equal(t, fast, int64(speed.Normal))
	for range 30 {
		s.step()
	}
	slow, fast = s.estimates()
	assert.Assert(t, slow > 680 && slow < 740 && fast > 1350 && fast < 1470, "%d and %d", slow, fast)
	checkSums(t, s.m)
}

// TestEvidenceOfSpeed guards against run times that are no evidence: they would make the
// estimates of sound workers wrong for as long as they weigh.
func TestEvidenceOfSpeed(t *testing.T) {
	batch := func(tasks int32) *Command { return submitCommand("guards", "chairs", model.PolicyBatch, tasks, 1000) }
	last := func(job model.JobID) model.TaskID { return model.TaskID{Job: job, Index: 1} }
	rows := []struct {
		name   string
		submit *Command
		second func(s *speedHarness, job model.JobID) // runs the second task on w1
		counts bool
	}{
		{"a run from the beginning", batch(2), func(s *speedHarness, job model.JobID) { s.run(last(job), "w1", 2*time.Second) }, true},
		{"a run of the least length", batch(2), func(s *speedHarness, job model.JobID) { s.run(last(job), "w1", speed.MinRun) }, true},
		{"a shorter run", batch(2), func(s *speedHarness, job model.JobID) { s.run(last(job), "w1", speed.MinRun-time.Millisecond) }, false},
		{"a run on the same worker", batch(2), func(s *speedHarness, job model.JobID) { s.run(last(job), "w2", 2*time.Second) }, false},
		{"a run that began from a checkpoint", batch(2), func(s *speedHarness, job model.JobID) {
			s.start(last(job), "w1")
			s.apply(&Command{Stop: &Stop{Tasks: []TaskStop{{Task: last(job), Cause: StopPreempted}}}})
			s.report(last(job), api.ReportStopped, "half")
			s.run(last(job), "w1", 2*time.Second)
		}, false},
		{"a run after a stop without a checkpoint", batch(2), func(s *speedHarness, job model.JobID) {
			s.start(last(job), "w1")
			s.apply(&Command{Stop: &Stop{Tasks: []TaskStop{{Task: last(job), Cause: StopPreempted}}}})
			s.report(last(job), api.ReportStopped, "")
			s.run(last(job), "w1", 2*time.Second)
		}, true},
		{"a success while it is being stopped", batch(2), func(s *speedHarness, job model.JobID) {
			s.start(last(job), "w1")
			s.apply(&Command{Stop: &Stop{Tasks: []TaskStop{{Task: last(job), Cause: StopPreempted}}}})
			s.endAfter(last(job), 2*time.Second)
		}, false},
		{"a failure", batch(2), func(s *speedHarness, job model.JobID) {
			s.start(last(job), "w1")
			s.at = s.at.Add(2 * time.Second)
			s.report(last(job), api.ReportFailed, "")
		}, false},
		{"a success whose start was never confirmed", batch(2), func(s *speedHarness, job model.JobID) {
			s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 1, "w1", 1000)}}})
			s.at = s.at.Add(2 * time.Second)
			s.report(last(job), api.ReportSucceeded, "")
		}, false},
		{"a start that was confirmed late", batch(2), func(s *speedHarness, job model.JobID) {
			s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 1, "w1", 1000)}}})
			s.at = s.at.Add(2 * time.Second)
			s.report(last(job), api.ReportStarted, "")
			s.endAfter(last(job), 2*time.Second)
		}, false},
		{"a run after the other worker has started again", batch(2), func(s *speedHarness, job model.JobID) {
			s.apply(announceCommand("w2", 8000))
			s.run(last(job), "w1", 2*time.Second)
		}, false},
	}
	for _, tt := range rows {
		t.Run(tt.name, func(t *testing.T) {
			s := newSpeedHarness(t)
			job := s.apply(tt.submit).Job
			s.run(model.TaskID{Job: job, Index: 0}, "w2", time.Second)
			tt.second(s, job)
			weight := int32(0)
			if e := s.m.Worker("w1").Speed; e != nil {
				weight = e.Weight
			}
			assert.Equal(t, weight > 0, tt.counts)
			checkSums(t, s.m)
		})
	}
}

// TestMembersOfGangAreNoEvidence guards against the run times of gangs, whose members end
// together whatever their workers are.
func TestMembersOfGangAreNoEvidence(t *testing.T) {
	s := newSpeedHarness(t)
	job := s.apply(submitCommand("guards", "chairs", model.PolicyGang, 2, 1000)).Job
	s.apply(&Command{Place: &Place{Placements: []Placement{placement(job, 0, "w1", 1000), placement(job, 1, "w2", 1000)}}})
	for i := range int32(2) {
		s.report(model.TaskID{Job: job, Index: i}, api.ReportStarted, "")
	}
	s.endAfter(model.TaskID{Job: job}, 2*time.Second)
	assert.Equal(t, s.m.Job(job).Phase(), model.PhaseSucceeded)
	assert.Assert(t, s.m.Worker("w1").Speed == nil && s.m.Worker("w2").Speed == nil)
}

// TestSpeedEventsFollowPublishedSpeed guards against an event for each end, and against a
// scheduler of a new leader that has other speeds than that of the last one.
func TestSpeedEventsFollowPublishedSpeed(t *testing.T) {
	s := newSpeedHarness(t)
	live := map[model.WorkerID]int64{}
	events := 0
	for range 200 {
		job := s.apply(submitCommand("guards", "chairs", model.PolicyBatch, 2, 1000)).Job
		for i, w := range []model.WorkerID{"w2", "w1"} {
			id := model.TaskID{Job: job, Index: int32(i)}
			s.start(id, w)
			s.at = s.at.Add(time.Duration(i+1) * time.Second)
			task := s.m.Job(job).Tasks[i]
			_, emitted := s.applyEvents(&Command{Report: &Report{Reports: []WorkerReport{{Worker: w, Session: s.m.Worker(w).Session,
				Reports: []api.Report{{Task: id, Fence: task.Fence, State: api.ReportSucceeded}}}}}})
			for _, ev := range emitted {
				if e, ok := ev.(WorkerSpeedChanged); ok {
					live[e.Worker] = e.Permille
					events++
				}
			}
		}
	}
	assert.Assert(t, events >= 2 && events < 30, "%d events", events)
	replayed := map[model.WorkerID]int64{}
	s.m.Replay(func(ev Event) {
		if e, ok := ev.(WorkerSpeedChanged); ok {
			replayed[e.Worker] = e.Permille
		}
	})
	assert.DeepEqual(t, replayed, live)
}

// TestWorkerThatStartsAgainKeepsLessHistory guards against an estimate of another machine that
// weighs as much as one of this machine.
func TestWorkerThatStartsAgainKeepsLessHistory(t *testing.T) {
	s := newSpeedHarness(t)
	c := announceCommand("w1", 8000)
	c.Announce.Spec.Incarnation = 5
	s.apply(c)
	for range 30 {
		s.step()
	}
	before := *s.m.Worker("w1").Speed
	resent := announceCommand("w1", 8000)
	resent.Announce.Spec.Incarnation = 5
	s.apply(resent)
	assert.Equal(t, *s.m.Worker("w1").Speed, before, "a resent announcement")
	s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{{ID: "w1", Session: s.m.Worker("w1").Session}}}})
	s.apply(resent)
	assert.Equal(t, *s.m.Worker("w1").Speed, before, "the same incarnation after its loss")
	later := announceCommand("w1", 8000)
	later.Announce.Spec.Incarnation = 6
	s.apply(later)
	after := *s.m.Worker("w1").Speed
	assert.Equal(t, after.Log, before.Log)
	assert.Equal(t, after.Weight, before.Weight/4)
	checkSums(t, s.m)
}

// TestRemovedWorkerLeavesAverage guards against an average of all estimates that differs from
// the one of a replica that is restored from a snapshot.
func TestRemovedWorkerLeavesAverage(t *testing.T) {
	s := newSpeedHarness(t)
	for range 10 {
		s.step()
	}
	s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{{ID: "w1", Session: s.m.Worker("w1").Session}}}})
	s.at = s.at.Add(lostWorkerRetention)
	s.apply(&Command{Expire: &Expire{}})
	assert.Assert(t, s.m.Worker("w1") == nil)
	checkSpeeds(t, s.m)
}

// TestStateWithoutWorkerSpeedIsAsBefore guards against fields in the snapshot of a state in which
// the estimation was never enabled, or was ended: a replica of the older build would have
// another digest.
func TestStateWithoutWorkerSpeedIsAsBefore(t *testing.T) {
	digest := func(commands ...*Command) string {
		s := &speedHarness{newConfiguredHarness(t), t}
		s.apply(commands[0])
		open := s.apply(submitCommand("guards", "chairs", model.PolicyBatch, 3, 1000)).Job
		s.run(model.TaskID{Job: open}, "w1", time.Second)
		s.run(model.TaskID{Job: open, Index: 1}, "w2", 2*time.Second)
		s.step()
		s.apply(commands[1])
		var snapshot bytes.Buffer
		assert.NilError(t, s.m.WriteSnapshot(&snapshot))
		dec := cbor.NewDecoder(bytes.NewReader(snapshot.Bytes()))
		var header map[int]cbor.RawMessage
		assert.NilError(t, dec.Decode(&header))
		assert.Assert(t, header[19] == nil)
		var workers []map[int]cbor.RawMessage
		assert.NilError(t, cbor.Unmarshal(header[6], &workers))
		for _, w := range workers {
			assert.Assert(t, w[11] == nil)
		}
		for range s.m.JobIDs() {
			var job map[int]cbor.RawMessage
			assert.NilError(t, dec.Decode(&job))
			assert.Assert(t, job[24] == nil)
		}
		d, err := s.m.Digest()
		assert.NilError(t, err)
		return d
	}
	nothing := &Command{Expire: &Expire{}}
	never := digest(nothing, nothing)
	ended := digest(&Command{SetWorkerSpeed: &SetWorkerSpeed{Enabled: true}}, &Command{SetWorkerSpeed: &SetWorkerSpeed{}})
	assert.Equal(t, ended, never)
}

// TestEndOfEstimationRestoresNormalSpeeds guards against a scheduler that goes on preferring
// workers.
func TestEndOfEstimationRestoresNormalSpeeds(t *testing.T) {
	s := newSpeedHarness(t)
	for range 20 {
		s.step()
	}
	assert.Assert(t, s.apply(&Command{SetWorkerSpeed: &SetWorkerSpeed{Enabled: true}}).Existing)
	r, events := s.applyEvents(&Command{SetWorkerSpeed: &SetWorkerSpeed{}})
	assert.NilError(t, r.Err)
	assert.DeepEqual(t, events, []Event{
		WorkerSpeedChanged{Worker: "w1", Permille: speed.Normal}, WorkerSpeedChanged{Worker: "w2", Permille: speed.Normal},
	})
	assert.Assert(t, s.apply(&Command{SetWorkerSpeed: &SetWorkerSpeed{}}).Existing)
	checkSums(t, s.m)
}

// TestReplicasAgreeOnSpeedsForAnyLog applies the same log to two machines, one of which is
// restored from a snapshot now and then, while the estimation is enabled and ended and tasks
// run for long enough to be evidence.
func TestReplicasAgreeOnSpeedsForAnyLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newHarness(), newHarness()
		both := func(c *Command) {
			data, err := c.Encode()
			assert.NilError(t, err)
			decoded, err := Decode(data)
			assert.NilError(t, err)
			a.apply(c)
			b.apply(decoded)
		}
		both(&Command{Declare: &Declare{ApplyID: "first", Declarations: testDeclarations()}})
		for _, id := range []model.WorkerID{"w1", "w2", "w3"} {
			both(announceCommand(id, 8000))
		}
		both(&Command{SetWorkerSpeed: &SetWorkerSpeed{Enabled: true}})
		for range rapid.IntRange(20, 150).Draw(t, "length") {
			passed := rapid.SampledFrom([]time.Duration{400 * time.Millisecond, 0, 700 * time.Millisecond, 2 * time.Second}).Draw(t, "passed")
			a.at, b.at = a.at.Add(passed), b.at.Add(passed)
			switch rapid.IntRange(0, 50).Draw(t, "kind") {
			case 50:
				both(&Command{SetWorkerSpeed: &SetWorkerSpeed{Enabled: a.m.Index()%5 != 0}})
			default:
				both(drawSpeedCommand(t, a.m))
			}
			checkSpeeds(t, a.m)
			if rapid.IntRange(0, 4).Draw(t, "restored") == 0 {
				b.m = restoreFromSnapshot(t, a.m, b.m)
			}
		}
		restoreFromSnapshot(t, a.m, b.m)
	})
}

// drawSpeedCommand draws mostly commands that start tasks on several workers and end them.
func drawSpeedCommand(t *rapid.T, m *Machine) *Command {
	var held, starting []model.TaskID
	for _, w := range m.Workers() {
		held = append(held, w.Held...)
	}
	for _, id := range held {
		if m.Job(id.Job).Task(id.Index).Phase == model.TaskStarting {
			starting = append(starting, id)
		}
	}
	if len(starting) > 0 {
		held = starting // a start that is confirmed late is no evidence
	}
	switch {
	case rapid.IntRange(0, 30).Draw(t, "other") == 30:
		return drawCommand(t, m)
	case len(held) > 0 && rapid.Bool().Draw(t, "ends"):
		id := rapid.SampledFrom(held).Draw(t, "held")
		task := m.Job(id.Job).Task(id.Index)
		state := api.ReportSucceeded
		if task.Phase == model.TaskStarting {
			state = api.ReportStarted
		}
		worker := m.TaskWorker(task)
		return &Command{Report: &Report{Reports: []WorkerReport{{Worker: worker, Session: m.Worker(worker).Session,
			Reports: []api.Report{{Task: id, Fence: task.Fence, State: state}}}}}}
	}
	for _, id := range m.JobIDs() {
		j := m.Job(id)
		for i := range j.Tasks {
			if j.Tasks[i].Phase == model.TaskPending && j.Spec.Policy != model.PolicyGang {
				worker := m.Workers()[int(m.Index())%len(m.Workers())].Spec.ID
				return &Command{Place: &Place{Placements: []Placement{placement(id, int32(i), worker, j.Spec.Size.CPU)}}}
			}
		}
	}
	return submitCommand("stands", "rows", model.PolicyBatch, rapid.Int32Range(2, 6).Draw(t, "tasks"), 500)
}
