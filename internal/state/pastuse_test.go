package state

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/usage"
)

const halfHour = model.Duration(30 * time.Minute)

func setPastUse(halfLife model.Duration) *Command {
	return &Command{SetPastUse: &SetPastUse{HalfLife: halfLife}}
}

// newPastUseHarness returns a configured machine that records past use with a half-life of
// 30 minutes.
func newPastUseHarness(t *testing.T) *harness {
	t.Helper()
	s := newConfiguredHarness(t)
	assert.NilError(t, s.apply(setPastUse(halfHour)).Err)
	return s
}

// wait lets time pass without a command.
func (s *harness) wait(d time.Duration) { s.at = s.at.Add(d) }

// end reports the success of the task of a job with one task.
func (s *harness) end(t *testing.T, id model.JobID) {
	t.Helper()
	task := &s.m.Job(id).Tasks[0]
	worker := s.m.TaskWorker(task)
	r := s.apply(&Command{Report: &Report{Reports: []WorkerReport{{Worker: worker, Session: s.m.Worker(worker).Session,
		Reports: []api.Report{{Task: model.TaskID{Job: id}, Fence: task.Fence, State: api.ReportSucceeded}}}}}})
	assert.Equal(t, r.Count, 1)
}

// pastCPU returns the past processor use of team stands.
func (s *harness) pastCPU() int64 { return s.m.PastUse("stands", s.at).CPU }

// assertNear checks a value against one that is computed without the milliseconds between
// two commands.
func assertNear(t *testing.T, got, want int64) {
	t.Helper()
	assert.Assert(t, got >= want-1 && got <= want+1, "%d, want %d", got, want)
}

// Guards against an average that misses a start or an end of a task, also across snapshots.
func TestPastUseFollowsReservations(t *testing.T) {
	s := newPastUseHarness(t)
	first, _ := s.place("w1", 4000)
	s.wait(30 * time.Minute)
	assertNear(t, s.pastCPU(), 2000)
	second, _ := s.place("w2", 8000)
	s.restore(t)
	s.wait(30 * time.Minute)
	assertNear(t, s.pastCPU(), 1000+6000)
	s.end(t, first)
	s.end(t, second)
	s.restore(t)
	assertNear(t, s.pastCPU(), 7000)
	s.wait(time.Hour)
	assertNear(t, s.pastCPU(), 1750)
	assert.Assert(t, s.m.PastUse("guards", s.at).IsZero())
}

// Guards against a placement that is taken back and counts as use, such as that of a gang
// whose last member has no room.
func TestRefusedGangLeavesPastUseUnchanged(t *testing.T) {
	s := newPastUseHarness(t)
	id := s.apply(submitCommand("stands", "rows", model.PolicyGang, 2, 5000)).Job
	r := s.apply(&Command{Place: &Place{Placements: []Placement{placement(id, 0, "w1", 5000), placement(id, 1, "w1", 5000)}}})
	assert.Equal(t, r.Count, 0)
	s.wait(time.Hour)
	assert.Assert(t, s.m.PastUse("stands", s.at).IsZero())
}

// Guards against history that is lost when the half-life changes, as it does while replicas
// are restarted one at a time with a new setting.
func TestChangedHalfLifePreservesHistory(t *testing.T) {
	s := newPastUseHarness(t)
	id, _ := s.place("w1", 8000)
	s.wait(30 * time.Minute)
	s.end(t, id)
	r, events := s.applyEvents(setPastUse(model.Duration(10 * time.Minute)))
	assert.NilError(t, r.Err)
	assert.DeepEqual(t, events, []Event{PastUseChanged{HalfLife: model.Duration(10 * time.Minute)}})
	assertNear(t, s.pastCPU(), 4000)
	s.wait(10 * time.Minute)
	assertNear(t, s.pastCPU(), 2000)
	r, events = s.applyEvents(setPastUse(model.Duration(10 * time.Minute)))
	assert.Assert(t, r.Existing && len(events) == 0, "the value in force was proposed")
}

func TestHalfLifeOutOfRangeIsRefused(t *testing.T) {
	s := newPastUseHarness(t)
	for _, d := range []model.Duration{-1, 1, usage.MinHalfLife - 1, usage.MaxHalfLife + 1} {
		assert.Equal(t, errkind.Of(s.apply(setPastUse(d)).Err), errkind.BadRequest)
	}
	assert.Equal(t, s.m.PastUseHalfLife(), halfHour)
}

// Guards against recording that begins with a task that was placed before and counts only
// tasks placed since, or the time before.
func TestRecordingBeginsWithTasksThatRun(t *testing.T) {
	s := newConfiguredHarness(t)
	s.place("w1", 4000)
	s.wait(time.Hour)
	s.restore(t) // from a snapshot without past use, as an earlier build writes it
	s.apply(setPastUse(halfHour))
	assert.Equal(t, s.pastCPU(), int64(0))
	s.wait(30 * time.Minute)
	assertNear(t, s.pastCPU(), 2000)
}

// snapshotBytes returns the snapshot of a machine.
func snapshotBytes(t assert.TestingT, m *Machine) []byte {
	var buf bytes.Buffer
	assert.NilError(t, m.WriteSnapshot(&buf))
	return buf.Bytes()
}

// Guards against snapshots that an earlier build writes differently while past use is off:
// before it was ever enabled, and after it was disabled again.
func TestDisabledPastUseLeavesSnapshotUnchanged(t *testing.T) {
	never, disabled := newConfiguredHarness(t), newPastUseHarness(t)
	never.apply(&Command{Expire: &Expire{}}) // takes the place of the setting
	for _, s := range []*harness{never, disabled} {
		id, _ := s.place("w1", 4000)
		s.wait(time.Hour)
		s.end(t, id)
	}
	var fields map[int]cbor.RawMessage
	assert.NilError(t, cbor.NewDecoder(bytes.NewReader(snapshotBytes(t, never.m))).Decode(&fields))
	assert.Assert(t, fields[18] == nil && len(fields) > 0)
	assert.Assert(t, !bytes.Equal(snapshotBytes(t, never.m), snapshotBytes(t, disabled.m)))
	never.apply(&Command{Expire: &Expire{}})
	disabled.apply(setPastUse(0))
	assert.Assert(t, bytes.Equal(snapshotBytes(t, never.m), snapshotBytes(t, disabled.m)))
}

// Guards against a team that sheds its past by being removed and declared again, and against
// records that stay for ever.
func TestPastUseOfRemovedTeamIsKeptUntilNegligible(t *testing.T) {
	s := newPastUseHarness(t)
	id, _ := s.place("w1", 8000)
	s.wait(30 * time.Minute)
	s.end(t, id)
	d := testDeclarations()
	removed := d
	removed.Teams, removed.Queues = d.Teams[:1], d.Queues[:1]
	declare := func(d model.Declarations, applyID string) {
		t.Helper()
		version, _, _ := s.m.Config()
		assert.NilError(t, s.apply(&Command{Declare: &Declare{Base: version, ApplyID: applyID, Declarations: d}}).Err)
	}
	declare(removed, "removed")
	s.wait(30 * time.Minute)
	s.restore(t)
	declare(d, "again")
	assertNear(t, s.pastCPU(), 2000)
	declare(removed, "removed again")
	s.wait(20 * time.Hour)
	declare(d, "late")
	assert.Equal(t, len(s.m.pastUse.teams), 0)
}

// Guards against an overflow of the averages, or of the sums that they follow, at the largest
// sizes that a worker and a task may have.
func TestPastUseAtLargestSizes(t *testing.T) {
	for _, halfLife := range []model.Duration{usage.MinHalfLife, usage.MaxHalfLife} {
		s := newHarness()
		size := model.Resources{CPU: model.MaxResource, Memory: model.MaxResource, Accelerators: model.MaxResource}
		d := testDeclarations()
		d.Teams[1].MaxResources = model.Resources{}
		d.Teams[1].MaxRunning = 1000
		s.apply(&Command{Declare: &Declare{ApplyID: "first", Declarations: d}})
		s.apply(setPastUse(halfLife))
		const tasks = 100
		c := submitCommand("stands", "rows", model.PolicyBatch, tasks, 1)
		c.Submit.Spec.Size = size
		id := s.apply(c).Job
		for i := range int32(tasks) {
			worker := announceCommand(model.WorkerID(rune('A'+i)), 1)
			worker.Announce.Spec.Capacity = size
			s.apply(worker)
			p := Placement{Task: model.TaskID{Job: id, Index: i}, Worker: worker.Announce.Spec.ID, Size: size}
			assert.Equal(t, s.apply(&Command{Place: &Place{Placements: []Placement{p}}}).Count, 1)
		}
		begun := s.m.PastUse("stands", s.at)
		s.wait(time.Duration(halfLife))
		got := s.m.PastUse("stands", s.at)
		want := tasks*model.MaxResource - (tasks*model.MaxResource-begun.CPU)/2
		assert.Assert(t, got.CPU >= want-tasks && got.CPU <= want+tasks, "%d, want %d", got.CPU, want)
		assert.Equal(t, got, model.Resources{CPU: got.CPU, Memory: got.CPU, Accelerators: got.CPU})
	}
}

// Guards against replicas that differ: one applies the encoded commands of the other and is
// restored from a snapshot now and then, with generated changes of the half-life.
func TestReplicasAgreeOnPastUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newHarness(), newHarness()
		first := &Command{Declare: &Declare{ApplyID: "first", Declarations: testDeclarations()}}
		a.apply(first)
		b.apply(first)
		restored := rapid.IntRange(0, 60).Draw(t, "restored after")
		for i := range rapid.IntRange(1, 60).Draw(t, "length") {
			c := drawCommand(t, a.m)
			if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				c = setPastUse(rapid.SampledFrom([]model.Duration{0, usage.MinHalfLife, halfHour, usage.MaxHalfLife}).Draw(t, "half-life"))
			}
			data, err := c.Encode()
			assert.NilError(t, err)
			decoded, err := Decode(data)
			assert.NilError(t, err)
			passed := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "passed") >> rapid.IntRange(0, 40).Draw(t, "shift"))
			a.wait(passed)
			b.wait(passed)
			a.apply(c)
			b.apply(decoded)
			checkPastUse(t, a.m)
			if i == restored {
				b.m = restoreFromSnapshot(t, a.m, b.m)
			}
		}
		want, err := a.m.Digest()
		assert.NilError(t, err)
		got, err := b.m.Digest()
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

// checkPastUse checks that past use is recorded for each team that holds resources exactly
// while it is enabled, and within what the workers hold.
func checkPastUse(t assert.TestingT, m *Machine) {
	for _, team := range []string{"guards", "stands"} {
		held, _ := m.TeamUsage(team)
		_, recorded := m.pastUse.teams[team]
		assert.Assert(t, recorded || held == 0 || m.pastUse.halfLife == 0, "team %s is not recorded", team)
		assert.Assert(t, !recorded || m.pastUse.halfLife != 0)
		past := m.PastUse(team, m.now)
		assert.Assert(t, past.CPU >= 0 && past.CPU <= 3*8000, "team %s: %s", team, past)
	}
}
