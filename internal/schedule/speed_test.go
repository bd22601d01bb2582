package schedule

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/speed"
)

// newPacedCell returns a cell with two workers of two cores of each class of speed, named by
// the class. The slow ones are the fullest, so that they are the first choice without speeds.
func newPacedCell() *fakeLeader {
	c := newCell()
	for _, w := range []struct {
		id     string
		cores  int64
		permil int64
	}{{"slow", 2, 550}, {"normal", 3, 1000}, {"fast", 4, 1200}} {
		for _, n := range []string{"-1", "-2"} {
			c.worker(w.id+n, "d1", "r1", cores(w.cores), nil)
			c.speed(w.id+n, w.permil)
		}
	}
	return c
}

func (c *fakeLeader) speed(worker string, permille int64) {
	c.s.Apply(WorkerSpeedChanged{Worker: model.WorkerID(worker), Permille: permille})
}

// classesOf returns the number of placements on the workers of each class.
func (c *fakeLeader) classesOf(p Plan) map[string]int {
	out := map[string]int{}
	for _, e := range p.Placements {
		out[c.s.SpeedClass(e.Worker).String()]++
	}
	return out
}

// TestJobsPreferWorkersBySpeed guards against work with a short target on slow workers, and
// against patient work that takes the fast ones from it.
func TestJobsPreferWorkersBySpeed(t *testing.T) {
	ms := func(n int) model.Duration { return model.Duration(time.Duration(n) * time.Millisecond) }
	rows := []struct {
		name string
		spec model.JobSpec
		want map[string]int
	}{
		{"patience of less than a few seconds", model.JobSpec{Tasks: 2, Patience: ms(2900), RunTime: ms(500)}, map[string]int{"fast": 2}},
		{"patience of less than the run time", model.JobSpec{Tasks: 2, Patience: ms(50_000), RunTime: ms(60_000)}, map[string]int{"fast": 2}},
		{"no patience", model.JobSpec{Tasks: 2}, map[string]int{"fast": 2}},
		{"more patience than the run time", model.JobSpec{Tasks: 2, Patience: ms(60_000), RunTime: ms(50_000)}, map[string]int{"slow": 2}},
		{"patience without a declared run time", model.JobSpec{Tasks: 2, Patience: ms(3000)}, map[string]int{"slow": 2}},
		{"short work beyond the fast workers", model.JobSpec{Tasks: 12}, map[string]int{"fast": 8, "normal": 4}},
		{"short work on all workers", model.JobSpec{Tasks: 18}, map[string]int{"fast": 8, "normal": 6, "slow": 4}},
		{"patient work beyond the slow workers", model.JobSpec{Tasks: 8, Patience: hour}, map[string]int{"slow": 4, "normal": 4}},
		{"patient work on all workers", model.JobSpec{Tasks: 18, Patience: hour}, map[string]int{"fast": 8, "normal": 6, "slow": 4}},
		{"a patient gang", model.JobSpec{Tasks: 8, Patience: hour, Policy: model.PolicyGang}, map[string]int{"fast": 8}},
		{"a gang that only fast and normal workers hold", model.JobSpec{Tasks: 10, Policy: model.PolicyGang}, map[string]int{"fast": 8, "normal": 2}},
		{"a gang that needs slow workers", model.JobSpec{Tasks: 16, Policy: model.PolicyGang}, map[string]int{"fast": 8, "normal": 6, "slow": 2}},
		{"a gang with one task on each worker", model.JobSpec{Tasks: 5, Policy: model.PolicyGang, Exclusive: true}, map[string]int{"fast": 2, "normal": 2, "slow": 1}},
		{"a service, which is spread by other rules", model.JobSpec{Tasks: 2, Policy: model.PolicyService}, map[string]int{"slow": 2}},
	}
	for _, tt := range rows {
		t.Run(tt.name, func(t *testing.T) {
			c := newPacedCell()
			tt.spec.Size = cores(1)
			c.job(tt.spec)
			assert.DeepEqual(t, c.classesOf(c.plan()), tt.want)
		})
	}
}

// TestGangIsNotSpreadOverRegionsForSpeed guards against a gang whose members talk over the link
// between regions because each region has too few fast workers.
func TestGangIsNotSpreadOverRegionsForSpeed(t *testing.T) {
	c := newCell()
	for _, domain := range []string{"a1", "b1"} { // the first letter is the region
		for i, permille := range []int64{550, 550, 1200, 1200} {
			id := domain + string(rune('0'+i))
			c.worker(id, domain, "r", cores(1), nil)
			c.speed(id, permille)
		}
	}
	c.job(model.JobSpec{Tasks: 4, Policy: model.PolicyGang, Size: cores(1)})
	p := c.plan()
	assert.DeepEqual(t, c.classesOf(p), map[string]int{"slow": 2, "fast": 2})
	for _, e := range p.Placements {
		assert.Equal(t, e.Worker[0], p.Placements[0].Worker[0], "one region holds the gang")
	}

	c.job(model.JobSpec{Tasks: 4, Policy: model.PolicyGang, Size: cores(1)})
	assert.Equal(t, len(c.plan().Placements), 4, "the rest of the cell holds another one")
}

// TestGangTakesFastRacksBeforeOneSlowRack guards against a gang that is placed in one rack of slow
// workers since that is the fewest racks.
func TestGangTakesFastRacksBeforeOneSlowRack(t *testing.T) {
	c := newCell()
	for _, w := range []struct {
		id, domain, rack string
		cores            int64
		permille         int64
	}{{"slow", "d1", "r1", 6, 550}, {"fast-1", "d2", "r1", 2, 1200}, {"fast-2", "d2", "r2", 2, 1200}, {"fast-3", "d3", "r1", 2, 1200}} {
		c.worker(w.id, w.domain, w.rack, cores(w.cores), nil)
		c.speed(w.id, w.permille)
	}
	for _, want := range []string{"fast", "slow"} { // the fast workers hold no second gang
		c.job(model.JobSpec{Tasks: 4, Policy: model.PolicyGang, Size: cores(1), Patience: hour})
		assert.DeepEqual(t, c.classesOf(c.plan()), map[string]int{want: 4})
	}
}

// TestNoTaskWaitsForFastWorker guards against an idle slow worker while short work waits, in a
// cell whose fast workers are full.
func TestNoTaskWaitsForFastWorker(t *testing.T) {
	for _, spec := range []model.JobSpec{{Tasks: 4}, {Tasks: 4, Policy: model.PolicyGang}} {
		c := newPacedCell()
		c.job(model.JobSpec{Name: "filler", Tasks: 14, Size: cores(1)})
		assert.Equal(t, c.classesOf(c.plan())["slow"], 0)
		spec.Size = cores(1)
		c.job(spec)
		assert.DeepEqual(t, c.classesOf(c.plan()), map[string]int{"slow": 4})
	}
}

// TestPlansWithoutSpeedsAreAsBefore guards against a preference among workers whose speeds are
// all in the normal class: they may differ by noise alone.
func TestPlansWithoutSpeedsAreAsBefore(t *testing.T) {
	for _, policy := range []model.Policy{model.PolicyBatch, model.PolicyGang, model.PolicyService} {
		plans := func(permille ...int64) Plan {
			c := newCell()
			c.workers(16, cores(4))
			for i, v := range permille {
				c.speed(string(c.s.workers[i].id), v)
			}
			c.job(model.JobSpec{Tasks: 20, Policy: policy, Size: cores(1), Patience: hour})
			c.job(model.JobSpec{Tasks: 20, Policy: policy, Size: cores(2)})
			return c.s.Plan(c.now, 1000)
		}
		assert.DeepEqual(t, plans(1120, 870, 1000, 930, 1060), plans())
	}
}

// TestRunTimesAreLearnedAtNormalSpeed guards against a learned run time that mixes slow and fast
// workers.
func TestRunTimesAreLearnedAtNormalSpeed(t *testing.T) {
	c := newPacedCell()
	id := c.job(model.JobSpec{Tasks: 18, Size: cores(1), Patience: hour})
	p := c.plan()
	assert.Equal(t, len(p.Placements), 18)
	for _, e := range p.Placements {
		ran := map[string]time.Duration{"slow": 20 * time.Second, "normal": 11 * time.Second, "fast": 9167 * time.Millisecond}[c.s.SpeedClass(e.Worker).String()]
		c.end(e.Task, Succeeded, ran, true)
	}
	assert.Assert(t, c.s.jobs[id] == nil)
	c.job(model.JobSpec{Tasks: 1, Size: cores(1)})
	run, ok := c.s.learned.Class(c.s.classOf("a", &model.JobSpec{Name: "job"})).RunTime()
	assert.Assert(t, ok)
	assert.Assert(t, run >= 10_900*time.Millisecond && run <= 11_500*time.Millisecond, "%s", run)
}

// TestExpectedEndsFollowSpeed guards against a reservation that expects slow workers to be as
// early as fast ones.
func TestExpectedEndsFollowSpeed(t *testing.T) {
	c := newPacedCell()
	c.learnRunTime(t, 11*time.Second)
	id := c.job(model.JobSpec{Tasks: 18, Size: cores(1), Patience: hour})
	c.plan()
	ends := map[speed.Class]time.Duration{}
	j := c.s.jobs[id]
	for i := range j.tasks {
		w := &c.s.workers[j.tasks[i].worker]
		ends[w.pace] = c.s.expectedEndOf(j, &j.tasks[i], c.now).Sub(c.now)
	}
	normal := ends[speed.Average]
	assert.Equal(t, ends[speed.Slow], (normal * 1000 / 550).Truncate(time.Millisecond))
	assert.Equal(t, ends[speed.Fast], (normal * 1000 / 1200).Truncate(time.Millisecond))
}

// learnRunTime runs tasks of the usual class for the given time on workers of normal speed.
func (c *fakeLeader) learnRunTime(t *testing.T, ran time.Duration) {
	t.Helper()
	for range 10 {
		c.job(model.JobSpec{Tasks: 1, Size: cores(1), Patience: hour})
		for _, e := range c.plan().Placements {
			permille := c.s.workers[c.s.workerByID[e.Worker]].speed
			c.end(e.Task, Succeeded, speed.Scale(ran, permille), true)
		}
	}
}

// TestBackfillExpectsLongerRunOnSlowWorker guards against backfill that delays a reservation,
// since its task takes longer on a slow worker than it does on average, and against a reserved
// fast worker that idles although a task would end in time there.
func TestBackfillExpectsLongerRunOnSlowWorker(t *testing.T) {
	for _, tt := range []struct {
		permille int64
		run      time.Duration // at normal speed
		placed   int
	}{{1000, 10 * time.Second, 1}, {1000, 17 * time.Second, 0}, {1200, 17 * time.Second, 1}, {550, 10 * time.Second, 0}} {
		c := newCell()
		c.worker("w", "d", "r", cores(4), nil)
		c.speed("w", tt.permille)
		c.learnRunTime(t, tt.run)
		long := c.s.classOf("a", &model.JobSpec{Name: "long"})
		for range 10 {
			c.s.learned.ObserveRunTime(long, 15*time.Second)
		}
		c.job(model.JobSpec{Name: "long", Tasks: 1, Size: cores(2), Patience: hour})
		assert.Equal(t, len(c.plan().Placements), 1)
		// The long task ends 15 s at normal speed after its start, whatever the speed is, for the
		// same reservation in all rows.
		c.s.workers[0].tasks[0].task().since = c.now.Add(15*time.Second - speed.Scale(15*time.Second, tt.permille))
		c.job(model.JobSpec{Name: "wide", Tasks: 1, Size: cores(4)})
		assert.Equal(t, len(c.plan().Placements), 0)
		assert.Equal(t, len(c.s.reservations), 1)
		c.job(model.JobSpec{Tasks: 1, Size: cores(1), Patience: hour})
		assert.Equal(t, len(c.plan().Placements), tt.placed, "%s at a speed of %d", tt.run, tt.permille)
	}
}

// TestBackfillChoosesWorkerThatIsFastEnough is the same with a fast worker beside the slow one,
// both of which are reserved.
func TestBackfillChoosesWorkerThatIsFastEnough(t *testing.T) {
	c := newCell()
	for id, permille := range map[string]int64{"slow": 550, "fast": 1200} {
		c.worker(id, "d", "r", cores(4), nil)
		c.speed(id, permille)
	}
	c.learnRunTime(t, 10*time.Second)
	long := c.s.classOf("a", &model.JobSpec{Name: "long"})
	for range 10 {
		c.s.learned.ObserveRunTime(long, 15*time.Second)
	}
	c.job(model.JobSpec{Name: "long", Tasks: 2, Size: cores(3), Patience: hour})
	assert.Equal(t, len(c.plan().Placements), 2)
	for i := range c.s.workers {
		w := &c.s.workers[i]
		w.tasks[0].task().since = c.now.Add(15*time.Second - speed.Scale(15*time.Second, w.speed))
	}
	c.job(model.JobSpec{Name: "wide", Tasks: 2, Size: cores(4)})
	assert.Equal(t, len(c.plan().Placements), 0)
	c.job(model.JobSpec{Tasks: 2, Size: cores(1), Patience: hour})
	assert.DeepEqual(t, c.classesOf(c.plan()), map[string]int{"fast": 1})
}

// TestSmallChangesOfSpeedMoveNoWorker guards against an index that is rebuilt with each estimate.
func TestSmallChangesOfSpeedMoveNoWorker(t *testing.T) {
	c := newPacedCell()
	bins := len(c.s.bins.keys)
	for _, permille := range []int64{560, 700, 840, 900, 929, 860} {
		c.speed("slow-1", permille)
		assert.Equal(t, c.s.SpeedClass("slow-1"), speed.Slow)
	}
	assert.Equal(t, len(c.s.bins.keys), bins)
	c.speed("slow-1", 935)
	assert.Equal(t, c.s.SpeedClass("slow-1"), speed.Average)
	assert.DeepEqual(t, c.s.SpeedClasses(), map[speed.Class]int{speed.Slow: 1, speed.Average: 3, speed.Fast: 2})
	c.s.Apply(WorkerModeChanged{Worker: "fast-1", Mode: model.WorkerLost, At: c.now})
	assert.DeepEqual(t, c.s.SpeedClasses(), map[speed.Class]int{speed.Slow: 1, speed.Average: 3, speed.Fast: 1})
	assert.Equal(t, len(audit(c.s)), 0, "%v", audit(c.s))
	c.s.Apply(WorkersRemoved{Workers: []model.WorkerID{"fast-1"}})
	c.worker("other", "d1", "r1", cores(4), nil)
	assert.Equal(t, c.s.SpeedClass("other"), speed.Average, "a slot is used again")
	c.speed("unknown", 100)
}

// TestCandidatesAreRankedBySpeed guards against queries to the policy service about other workers
// than those that the job is placed on.
func TestCandidatesAreRankedBySpeed(t *testing.T) {
	c := newPacedCell()
	rank := func(spec model.JobSpec) []string {
		spec.Size = cores(1)
		candidates := slices.Clone(c.s.Candidates(c.jobNeedingPermit(spec)))
		slices.SortStableFunc(candidates, func(a, b Candidate) int { return a.Rank - b.Rank })
		var out []string
		for _, o := range candidates {
			out = append(out, c.s.SpeedClass(o.Worker).String())
		}
		return slices.Compact(out)
	}
	assert.DeepEqual(t, rank(model.JobSpec{Tasks: 1}), []string{"fast", "normal", "slow"})
	assert.DeepEqual(t, rank(model.JobSpec{Tasks: 1, Patience: hour}), []string{"slow", "normal", "fast"})
	assert.DeepEqual(t, rank(model.JobSpec{Tasks: 2, Policy: model.PolicyGang, Patience: hour}), []string{"fast", "normal", "slow"})
	for _, o := range c.s.Candidates(c.jobNeedingPermit(model.JobSpec{Tasks: 2, Policy: model.PolicyService, Size: cores(1)})) {
		assert.Equal(t, o.Rank, 0)
	}
}
