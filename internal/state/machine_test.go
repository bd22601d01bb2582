package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the property tests, so that a run can be repeated.
func TestMain(m *testing.M) { testseed.Run(m) }

func testOptions() Options {
	return Options{
		KeepFinished: model.Duration(time.Minute),
		Journal:      journal.Options{Retention: time.Minute, MaxAnswerBytes: 1024, MaxRecords: 100},
	}
}

// harness applies commands to a Machine with increasing indexes and times.
type harness struct {
	m     *Machine
	index uint64
	at    model.Time
}

func newHarness() *harness { return &harness{m: New(testOptions()), at: 1000} }

func (s *harness) apply(c *Command) Result {
	r, _ := s.applyEvents(c)
	return r
}

func (s *harness) applyEvents(c *Command) (Result, []Event) {
	s.index++
	s.at += 10
	c.At = s.at
	return s.m.Apply(s.index, 1, c)
}

func testDeclarations() model.Declarations {
	return model.Declarations{
		Teams: []model.Team{
			{Name: "guards", Share: 1, MaxRunning: 4},
			{Name: "stands", Share: 2, MaxRunning: 100, MaxResources: model.Resources{CPU: 20_000}},
		},
		Queues: []model.Queue{
			{Name: "chairs", Workspace: "rota", Team: "guards"},
			{Name: "rows", Workspace: "plans", Team: "stands", Open: true},
		},
		Prices: []model.PricePoint{{Patience: 0, MicroUnits: 100}, {Patience: model.Duration(time.Hour), MicroUnits: 10}},
	}
}

func newConfiguredHarness(t *testing.T) *harness {
	t.Helper()
	s := newHarness()
	r := s.apply(&Command{Declare: &Declare{ApplyID: "first", Declarations: testDeclarations()}})
	assert.NilError(t, r.Err)
	s.apply(announceCommand("w1", 8000))
	s.apply(announceCommand("w2", 8000))
	return s
}

func announceCommand(id model.WorkerID, cpu int64) *Command {
	return &Command{Announce: &Announce{Spec: model.WorkerSpec{
		ID: id, Capacity: model.Resources{CPU: cpu, Memory: 1 << 14}, Region: "south", FailureDomain: "selfoss"}}}
}

func submitCommand(team, queue string, policy model.Policy, tasks int32, cpu int64) *Command {
	return &Command{Submit: &Submit{Spec: model.JobSpec{
		Name: "job", Team: team, Queue: queue, Policy: policy, Tasks: tasks, Size: model.Resources{CPU: cpu}}}}
}

func placement(job model.JobID, index int32, worker model.WorkerID, cpu int64) Placement {
	return Placement{Task: model.TaskID{Job: job, Index: index}, Worker: worker, Size: model.Resources{CPU: cpu}}
}

func TestPlaceChecksCurrentState(t *testing.T) {
	tests := []struct {
		name   string
		policy model.Policy
		team   string
		tasks  int32
		place  []Placement
		want   int
	}{
		{"placement with room is started", model.PolicyBatch, "guards", 1, []Placement{placement(0, 0, "w1", 8000)}, 1},
		{"second placement without room is refused", model.PolicyBatch, "guards", 2,
			[]Placement{placement(0, 0, "w1", 8000), placement(0, 1, "w1", 1000)}, 1},
		{"task is not placed twice", model.PolicyBatch, "guards", 1,
			[]Placement{placement(0, 0, "w1", 1000), placement(0, 0, "w2", 1000)}, 1},
		{"unknown worker is refused", model.PolicyBatch, "guards", 1, []Placement{placement(0, 0, "w9", 1000)}, 0},
		{"reservation below the declared size is refused", model.PolicyBatch, "guards", 1, []Placement{placement(0, 0, "w1", 999)}, 0},
		{"gang without room for all members is refused", model.PolicyGang, "guards", 2,
			[]Placement{placement(0, 0, "w1", 5000), placement(0, 1, "w1", 5000)}, 0},
		{"incomplete gang is refused", model.PolicyGang, "guards", 2, []Placement{placement(0, 0, "w1", 1000)}, 0},
		{"placement beyond the team limit is refused", model.PolicyBatch, "guards", 5, []Placement{
			placement(0, 0, "w1", 1000), placement(0, 1, "w1", 1000), placement(0, 2, "w1", 1000),
			placement(0, 3, "w1", 1000), placement(0, 4, "w1", 1000)}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newConfiguredHarness(t)
			queue := map[string]string{"guards": "chairs", "stands": "rows"}[tt.team]
			id := s.apply(submitCommand(tt.team, queue, tt.policy, tt.tasks, 1000)).Job
			for i := range tt.place {
				tt.place[i].Task.Job = id
			}
			r := s.apply(&Command{Place: &Place{Placements: tt.place}})
			assert.Equal(t, r.Count, tt.want)
			checkInvariants(t, s.m)
		})
	}
}

func TestDeclareChecksBaseVersionAndIsIdempotent(t *testing.T) {
	s := newConfiguredHarness(t)
	d := testDeclarations()
	d.Teams[0].MaxRunning = 7
	first := s.apply(&Command{Declare: &Declare{Base: 1, ApplyID: "a", Declarations: d}})
	assert.Equal(t, first.Version, uint64(2))
	resent := s.apply(&Command{Declare: &Declare{Base: 1, ApplyID: "a", Declarations: d}})
	assert.Assert(t, resent.Existing)
	assert.Equal(t, resent.Version, first.Version)
	concurrent := s.apply(&Command{Declare: &Declare{Base: 1, ApplyID: "b", Declarations: testDeclarations()}})
	assert.Equal(t, errkind.Of(concurrent.Err), errkind.VersionConflict)
	assert.ErrorContains(t, concurrent.Err, "version 2 is in force")
	other := s.apply(&Command{Declare: &Declare{Base: 2, ApplyID: "a", Declarations: testDeclarations()}})
	assert.Equal(t, errkind.Of(other.Err), errkind.IdempotencyConflict)
}

func TestWithdrawnKeyCannotBeGrantedAgain(t *testing.T) {
	s := newConfiguredHarness(t)
	key := model.Key{Digest: model.KeyDigest(fmt.Sprintf("%064x", 1)), Team: "guards"}
	assert.NilError(t, s.apply(&Command{GrantKey: &GrantKey{Key: key}}).Err)
	_, granted := s.m.Key(key.Digest)
	assert.Assert(t, granted)
	assert.NilError(t, s.apply(&Command{WithdrawKey: &WithdrawKey{Digest: key.Digest}}).Err)
	_, granted = s.m.Key(key.Digest)
	assert.Assert(t, !granted)
	assert.Equal(t, errkind.Of(s.apply(&Command{GrantKey: &GrantKey{Key: key}}).Err), errkind.KeyWithdrawn)
	d := testDeclarations()
	d.Keys = []model.Key{key}
	r := s.apply(&Command{Declare: &Declare{Base: 3, ApplyID: "old set", Declarations: d}})
	assert.Equal(t, errkind.Of(r.Err), errkind.KeyWithdrawn)
}

func TestResentSubmissionReturnsFirstJob(t *testing.T) {
	s := newConfiguredHarness(t)
	c := submitCommand("guards", "chairs", model.PolicyBatch, 1, 1000)
	c.Submit.IdempotencyKey = "k"
	first := s.apply(c)
	again := s.apply(c)
	assert.Equal(t, again.Job, first.Job)
	assert.Assert(t, again.Existing)
	other := submitCommand("guards", "chairs", model.PolicyBatch, 2, 1000)
	other.Submit.IdempotencyKey = "k"
	other.Submit.Digest[0] = 1
	assert.Equal(t, errkind.Of(s.apply(other).Err), errkind.IdempotencyConflict)
	assert.Equal(t, s.m.JobCount(), 1)
}

func TestReportCountsOnceAndOnlyUnderItsFence(t *testing.T) {
	s := newConfiguredHarness(t)
	id := s.apply(submitCommand("guards", "chairs", model.PolicyBatch, 1, 1000)).Job
	fence := s.apply(&Command{Place: &Place{Placements: []Placement{placement(id, 0, "w1", 1000)}}}).Fence
	session := s.m.Worker("w1").Session
	report := func(state api.ReportState, fence model.Fence, session uint64) int {
		return s.apply(&Command{Report: &Report{Reports: []WorkerReport{{Worker: "w1", Session: session,
			Reports: []api.Report{{Task: model.TaskID{Job: id}, Fence: fence, State: state}}}}}}).Count
	}
	assert.Equal(t, report(api.ReportSucceeded, model.Fence{Term: 1, Index: 1}, session), 0, "report with an older fence")
	assert.Equal(t, report(api.ReportSucceeded, fence, session+1), 0, "report of another session")
	assert.Equal(t, report(api.ReportStarted, fence, session), 1)
	assert.Equal(t, report(api.ReportStarted, fence, session), 0, "doubled")
	assert.Equal(t, report(api.ReportSucceeded, fence, session), 1)
	assert.Equal(t, report(api.ReportFailed, fence, session), 0, "late")
	assert.Equal(t, s.m.Job(id).Phase(), "succeeded")
}

func TestNonRepeatableTaskFailsAfterWorkerLoss(t *testing.T) {
	s := newConfiguredHarness(t)
	c := submitCommand("guards", "chairs", model.PolicyBatch, 1, 1000)
	c.Submit.Spec.NotRepeatable = true
	id := s.apply(c).Job
	s.apply(&Command{Place: &Place{Placements: []Placement{placement(id, 0, "w1", 1000)}}})
	s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{{ID: "w1", Session: s.m.Worker("w1").Session}}}})
	assert.Equal(t, s.m.Job(id).Phase(), "failed")
	assert.Assert(t, s.m.Worker("w1").Reserved.IsZero())
}

func TestLostWorkerIsRemovedAfterRetention(t *testing.T) {
	s := newConfiguredHarness(t)
	id := s.apply(submitCommand("guards", "chairs", model.PolicyBatch, 1, 1000)).Job
	s.apply(&Command{Place: &Place{Placements: []Placement{placement(id, 0, "w1", 1000)}}})
	s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{{ID: "w1", Session: s.m.Worker("w1").Session}}}})
	s.at = s.at.Add(lostWorkerRetention)
	assert.Assert(t, s.m.ExpireDue(s.at+1))
	s.apply(&Command{Expire: &Expire{}})
	assert.Assert(t, s.m.Worker("w1") == nil)
	assert.Equal(t, len(s.m.Workers()), 1)
	assert.Assert(t, !s.m.ExpireDue(s.at))
	var snapshot bytes.Buffer
	assert.NilError(t, s.m.WriteSnapshot(&snapshot))
	restored, err := ReadSnapshot(testOptions(), &snapshot)
	assert.NilError(t, err)
	s.m = restored
	s.apply(announceCommand("w1", 8000))
	s.apply(&Command{Place: &Place{Placements: []Placement{placement(id, 0, "w1", 1000)}}})
	checkInvariants(t, s.m)
	assert.Equal(t, s.m.TaskWorker(&s.m.Job(id).Tasks[0]), model.WorkerID("w1"))
}

// Guards against a leader that takes a restarted worker for one that has always held its ID.
func TestRestartUnderSameIDIsRecorded(t *testing.T) {
	s := newConfiguredHarness(t)
	s.apply(announceIncarnation("w1", 7, 1, 8000))
	assert.Equal(t, s.m.Worker("w2").RestartedAt, model.Time(0))
	s.apply(announceIncarnation("w9", 7, 1, 8000))
	assert.Equal(t, s.m.Worker("w9").RestartedAt, model.Time(0), "its first incarnation")
	s.at = s.at.Add(time.Second)
	s.apply(announceIncarnation("w9", 8, 1, 8000))
	at := s.at
	assert.Equal(t, s.m.Worker("w9").RestartedAt, at)
	s.apply(&Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{{ID: "w9", Session: s.m.Worker("w9").Session}}}})
	s.at = s.at.Add(time.Second)
	s.apply(announceIncarnation("w9", 8, 2, 8000))
	assert.Equal(t, s.m.Worker("w9").RestartedAt, at, "the same incarnation")
	assert.Equal(t, restored(t, s.m).Worker("w9").RestartedAt, at)
}

func TestCancelEndsPartlyFinishedJob(t *testing.T) {
	s := newConfiguredHarness(t)
	id := s.apply(submitCommand("guards", "chairs", model.PolicyBatch, 3, 1000)).Job
	fence := s.apply(&Command{Place: &Place{Placements: []Placement{placement(id, 2, "w1", 1000)}}}).Fence
	s.apply(&Command{Report: &Report{Reports: []WorkerReport{{Worker: "w1", Session: s.m.Worker("w1").Session,
		Reports: []api.Report{{Task: model.TaskID{Job: id, Index: 2}, Fence: fence, State: api.ReportSucceeded}}}}}})
	assert.Equal(t, s.apply(&Command{Cancel: &Cancel{Jobs: []model.JobID{id}}}).Count, 1)
	j := s.m.Job(id)
	assert.Equal(t, j.Phase(), "cancelled")
	assert.Equal(t, j.Ended[2].Phase, model.TaskSucceeded)
	assert.Equal(t, s.m.WorkerByNumber(j.Ended[2].Worker), model.WorkerID("w1"))
	checkInvariants(t, s.m)
}

// checkInvariants checks the sums and counts of a machine in which no capacity was
// changed, and that no worker is overcommitted.
func checkInvariants(t assert.TestingT, m *Machine) {
	checkSums(t, m)
	for _, w := range m.Workers() {
		assert.Assert(t, w.InUse().Fits(w.Spec.Capacity), "worker %s is overcommitted", w.Spec.ID)
	}
}

// checkSums recomputes the sums and counts of the machine and compares them with those
// stored.
func checkSums(t assert.TestingT, m *Machine) {
	checkSpeeds(t, m)
	checkAccepted(t, m)
	held := make(map[string]int64)
	reserved := make(map[string]model.Resources)
	charged := make(map[string]int64)
	for _, w := range m.Workers() {
		sum := model.Resources{}
		for _, id := range w.Held {
			task := &m.Job(id.Job).Tasks[id.Index]
			assert.Assert(t, task.Phase.HoldsResources(), "task %s is listed on worker %s but holds no resources", id, w.Spec.ID)
			assert.Equal(t, m.TaskWorker(task), w.Spec.ID)
			sum = sum.Add(task.Size)
		}
		assert.Equal(t, sum, w.Reserved, "worker %s", w.Spec.ID)
	}
	for _, id := range m.JobIDs() {
		j := m.Job(id)
		phases := [model.TaskCancelled + 1]int32{}
		for i := range j.Tasks {
			phases[j.Tasks[i].Phase]++
			if j.Tasks[i].Phase.HoldsResources() {
				held[j.Team]++
				reserved[j.Team] = reserved[j.Team].Add(j.Tasks[i].Size)
			}
		}
		for i := range j.Ended {
			phases[j.Ended[i].Phase]++
		}
		assert.Equal(t, j.Finished != 0, len(j.Tasks) == 0)
		assert.Equal(t, phases, j.counts)
		charged[j.Team] += j.Charged - j.Refunded
		if j.Spec.Policy == model.PolicyGang {
			checkGangStartedWhole(t, j)
		}
	}
	for _, team := range []string{"guards", "stands"} {
		n, sum := m.TeamUsage(team)
		assert.Equal(t, n, held[team])
		assert.Equal(t, sum, reserved[team])
		assert.Assert(t, n <= m.Team(team).MaxRunning, "team %s exceeds its limit", team)
		account := m.Account(team)
		assert.Equal(t, account.Charged-account.Refunded, charged[team], "team %s", team)
	}
}

// checkGangStartedWhole checks that either all tasks of a gang have been started
// or none. A task that is pending again after a failure, a loss or a stop counts
// as started.
func checkGangStartedWhole(t assert.TestingT, j *Job) {
	started := 0
	for i := range j.Tasks {
		if j.Tasks[i].Fence != (model.Fence{}) {
			started++
		}
	}
	assert.Assert(t, started == 0 || started == len(j.Tasks), "only a part of gang %s was started", j.ID)
}

// drawCommand draws a command that need not be valid in the state of m.
func drawCommand(t *rapid.T, m *Machine) *Command {
	worker := rapid.SampledFrom([]model.WorkerID{"w1", "w2", "w3"}).Draw(t, "worker")
	session := uint64(0)
	if w := m.Worker(worker); w != nil {
		session = w.Session
	}
	task := model.TaskID{}
	if ids := m.JobIDs(); len(ids) > 0 {
		task.Job = rapid.SampledFrom(ids).Draw(t, "job")
		task.Index = rapid.Int32Range(0, m.Job(task.Job).Spec.Tasks-1).Draw(t, "task")
	}
	switch rapid.IntRange(0, 11).Draw(t, "command") {
	case 0:
		team := rapid.SampledFrom([]string{"guards", "stands"}).Draw(t, "team")
		policy := rapid.SampledFrom([]model.Policy{model.PolicyBatch, model.PolicyGang, model.PolicyService}).Draw(t, "policy")
		c := submitCommand(team, "rows", policy, rapid.Int32Range(1, 4).Draw(t, "tasks"), rapid.Int64Range(1, 4000).Draw(t, "cpu"))
		c.Submit.Spec.NotRepeatable = rapid.Bool().Draw(t, "not repeatable")
		c.Submit.Spec.MaxRestarts = 1
		c.Submit.Limit = rapid.SampledFrom([]int64{0, 8 << 10}).Draw(t, "limit")
		return c
	case 1:
		c := announceCommand(worker, 8000)
		c.Announce.Spec.Incarnation = rapid.Uint64Range(0, 3).Draw(t, "incarnation")
		c.Announce.Spec.Address = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "address")
		return c
	case 2:
		return &Command{MarkWorkersLost: &MarkWorkersLost{Workers: []LostWorker{{ID: worker, Session: session, Replaced: rapid.Bool().Draw(t, "replaced")}}}}
	case 3:
		return &Command{Cancel: &Cancel{Jobs: []model.JobID{task.Job}}}
	case 4:
		cause := rapid.SampledFrom([]StopCause{StopPreempted, StopDrained, StopFailed}).Draw(t, "cause")
		return &Command{Stop: &Stop{Tasks: []TaskStop{{Task: task, Cause: cause}}}}
	case 5:
		return &Command{Refund: &Refund{Jobs: []model.JobID{task.Job}}}
	case 6, 7:
		return drawReport(t, m, task)
	case 9:
		return evacuation(rapid.SampledFrom([]string{"", "d1"}).Draw(t, "domain"), rapid.Bool().Draw(t, "evacuated"))
	case 8:
		lose := &LoseAttempts{Worker: worker, Session: session, Heard: rapid.Bool().Draw(t, "heard")}
		if j := m.Job(task.Job); j != nil && j.Task(task.Index) != nil {
			lose.Attempts = []HeldAttempt{{Task: task, Fence: j.Task(task.Index).Fence}}
		}
		return &Command{LoseAttempts: lose}
	case 10:
		return &Command{SetPastUse: &SetPastUse{HalfLife: rapid.SampledFrom([]model.Duration{0, model.Duration(time.Minute)}).Draw(t, "half-life")}}
	}
	j := m.Job(task.Job)
	if j == nil {
		return &Command{Expire: &Expire{}}
	}
	place := &Place{}
	for i := range j.Tasks {
		place.Placements = append(place.Placements, placement(j.ID, int32(i), worker, j.Spec.Size.CPU))
	}
	return &Command{Place: place}
}

func drawReport(t *rapid.T, m *Machine, task model.TaskID) *Command {
	if w := m.Worker("w1"); w != nil && len(w.Ending) > 0 {
		a := rapid.SampledFrom(w.Ending).Draw(t, "ending")
		r := api.Report{Task: a.Task, Fence: a.Fence, State: rapid.SampledFrom([]api.ReportState{api.ReportStarted, api.ReportSucceeded}).Draw(t, "end")}
		return &Command{Report: &Report{Reports: []WorkerReport{{Worker: "w1", Session: w.Session, Reports: []api.Report{r}}}}}
	}
	j := m.Job(task.Job)
	if j == nil || j.Finished != 0 || j.Tasks[task.Index].Worker == noWorker {
		return &Command{Expire: &Expire{}}
	}
	worker := m.TaskWorker(&j.Tasks[task.Index])
	state := rapid.SampledFrom([]api.ReportState{
		api.ReportStarted, api.ReportSucceeded, api.ReportFailed, api.ReportStopped}).Draw(t, "state")
	return &Command{Report: &Report{Reports: []WorkerReport{{Worker: worker, Session: m.Worker(worker).Session,
		Reports: []api.Report{{Task: task, Fence: j.Tasks[task.Index].Fence, State: state}}}}}}
}

// TestReplicasAgreeAndInvariantsHoldForAnyLog applies the same log to two
// machines, one of which is restored from a snapshot after every command.
func TestReplicasAgreeAndInvariantsHoldForAnyLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newHarness(), newHarness()
		first := &Command{Declare: &Declare{ApplyID: "first", Declarations: testDeclarations()}}
		a.apply(first)
		b.apply(first)
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			c := drawCommand(t, a.m)
			data, err := c.Encode()
			assert.NilError(t, err)
			decoded, err := Decode(data)
			assert.NilError(t, err)
			a.apply(c)
			b.apply(decoded)
			checkInvariants(t, a.m)
			b.m = restoreFromSnapshot(t, a.m, b.m)
		}
	})
}

// restoreFromSnapshot returns b restored from its snapshot, which must equal the
// snapshot of a.
func restoreFromSnapshot(t *rapid.T, a, b *Machine) *Machine {
	var want, got bytes.Buffer
	assert.NilError(t, a.WriteSnapshot(&want))
	assert.NilError(t, b.WriteSnapshot(&got))
	assert.Assert(t, bytes.Equal(want.Bytes(), got.Bytes()), "snapshots differ at index %d", a.Index())
	restored, err := ReadSnapshot(testOptions(), &got)
	assert.NilError(t, err)
	assert.Equal(t, restored.AcceptedBytes(), a.AcceptedBytes())
	return restored
}

func FuzzDecodeNeverPanics(f *testing.F) {
	data, err := announceCommand("w1", 1).Encode()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if c, err := Decode(data); err == nil {
			New(testOptions()).Apply(1, 1, c)
		}
	})
}
