package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/testseed"
)

// TestMain fixes the seed of the random tests, so that runs are repeatable.
func TestMain(m *testing.M) { testseed.Run(m) }

// diffTest drives a Scheduler and its naive reference through the same events, and
// keeps its own record of which task is assigned to which worker.
type diffTest struct {
	t            *rapid.T
	now          model.Time
	fast         *Scheduler
	reference    *Scheduler
	teams        []model.Team
	queue        model.Queue // the only one
	permits      map[string]int64
	workers      map[model.WorkerID]model.WorkerSpec
	modes        map[model.WorkerID]model.WorkerMode
	unresponsive map[model.WorkerID]bool
	evacuated    map[string]bool // failure domains
	jobs         map[model.JobID]model.JobSpec
	pending      map[model.TaskID]bool
	assigned     map[model.TaskID]Placement
	preempted    map[model.TaskID]bool
	held         map[model.TaskID]model.Time                   // suspects that are not to be placed before
	grants       map[model.JobID]map[model.WorkerID]model.Time // ends of the permits of the jobs that need them
	gatedGangs   bool                                          // most jobs are small gangs that need permits
	nextJob      model.JobID
}

func newDiffTest(t *rapid.T) *diffTest {
	o := Options{Seed: 7, ProbationJobs: 2, MaxReservations: 3, MaxPreemptors: 2, BadJobWorkers: 3, AgeingSpan: time.Minute, MaxClasses: 4}
	h := &diffTest{
		t: t, now: 1_000_000, fast: New(o), reference: New(o),
		permits: map[string]int64{},
		workers: map[model.WorkerID]model.WorkerSpec{}, modes: map[model.WorkerID]model.WorkerMode{},
		unresponsive: map[model.WorkerID]bool{},
		evacuated:    map[string]bool{},
		jobs:         map[model.JobID]model.JobSpec{}, pending: map[model.TaskID]bool{},
		assigned: map[model.TaskID]Placement{}, preempted: map[model.TaskID]bool{}, held: map[model.TaskID]model.Time{},
		grants: map[model.JobID]map[model.WorkerID]model.Time{},
	}
	h.fast.bins.shared = int32(pick(h, "separate", maxSeparateClasses, 1, 0))
	h.configure()
	for range rapid.IntRange(1, 10).Draw(t, "workers") {
		h.workerUp()
	}
	return h
}

func (h *diffTest) apply(ev Event) {
	h.fast.Apply(ev)
	h.reference.Apply(ev)
}

func (h *diffTest) draw(what string, n int) int { return rapid.IntRange(0, n-1).Draw(h.t, what) }

func pick[T any](h *diffTest, what string, from ...T) T { return from[h.draw(what, len(from))] }

func sortedKeys[K comparable, V any](m map[K]V, less func(a, b K) int) []K {
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, less)
	return keys
}

func compareTasks(a, b model.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

func (h *diffTest) assignedTask() (model.TaskID, bool) {
	keys := sortedKeys(h.assigned, compareTasks)
	if len(keys) == 0 {
		return model.TaskID{}, false
	}
	return pick(h, "held", keys...), true
}

func (h *diffTest) configure() {
	h.teams = nil
	for _, name := range []string{"a", "b", "c"} {
		h.teams = append(h.teams, model.Team{
			Name: name, Share: int64(pick(h, "share", 1, 2, 5)), MaxRunning: int64(pick(h, "limit", 3, 10, 100)),
			MaxResources: pick(h, "bound", model.Resources{}, model.Resources{}, cores(9)),
		})
	}
	h.queue = model.Queue{Name: "fast", Selector: pick(h, "fast", "disk=ssd", "disk=ssd", "disk=hdd", "", "own")}
	h.apply(ConfigChanged{Teams: h.teams, Queues: []model.Queue{h.queue}})
}

func (h *diffTest) workerUp() {
	id := model.WorkerID(fmt.Sprintf("w%d", h.draw("worker", 12)))
	if mode, known := h.modes[id]; known && mode != model.WorkerLost {
		return
	}
	d := h.draw("domain", 3)
	spec := model.WorkerSpec{
		ID: id, Capacity: pick(h, "capacity", cores(2), cores(4), cores(8), model.Resources{CPU: 4000, Memory: 2048, Accelerators: 2}),
		Region: fmt.Sprint("g", d/2), FailureDomain: fmt.Sprint("d", d), Rack: fmt.Sprint("r", h.draw("rack", 2)),
		Labels: pick(h, "labels", nil, model.Labels{"disk": "ssd"}, model.Labels{"disk": "hdd", "own": string(id)}),
	}
	h.workers[id], h.modes[id] = spec, model.WorkerOpen
	h.apply(WorkerUp{Spec: spec})
}

func (h *diffTest) workerMode() {
	keys := sortedKeys(h.modes, cmp.Compare[model.WorkerID])
	if len(keys) == 0 {
		return
	}
	id := pick(h, "which", keys...)
	mode := pick(h, "mode", model.WorkerOpen, model.WorkerOpen, model.WorkerCordoned, model.WorkerDraining, model.WorkerLost)
	if h.modes[id] == model.WorkerLost {
		return
	}
	h.modes[id] = mode
	if mode == model.WorkerLost {
		delete(h.unresponsive, id)
	}
	h.apply(WorkerModeChanged{Worker: id, Mode: mode, At: h.now})
	if mode != model.WorkerLost {
		return
	}
	for _, task := range sortedKeys(h.assigned, compareTasks) {
		if h.assigned[task].Worker == id {
			h.end(task, Lost)
		}
	}
}

func (h *diffTest) workerResponsive() {
	keys := sortedKeys(h.modes, cmp.Compare[model.WorkerID])
	if len(keys) == 0 {
		return
	}
	id := pick(h, "which", keys...)
	h.unresponsive[id] = pick(h, "silent", true, false, false)
	h.apply(WorkerResponsivenessChanged{Worker: id, Responsive: !h.unresponsive[id]})
}

// workerEnding changes what has ended on a worker and is not free yet.
func (h *diffTest) workerEnding() {
	if keys := sortedKeys(h.modes, cmp.Compare[model.WorkerID]); len(keys) > 0 {
		h.apply(EndingChanged{Worker: pick(h, "which", keys...), Size: pick(h, "ending", model.Resources{}, cores(1), cores(4))})
	}
}

// workerSpeed changes the speed of a worker, also by amounts that do not change its class.
func (h *diffTest) workerSpeed() {
	if keys := sortedKeys(h.modes, cmp.Compare[model.WorkerID]); len(keys) > 0 {
		h.apply(WorkerSpeedChanged{Worker: pick(h, "which", keys...), Permille: pick(h, "speed", int64(125), 550, 880, 990, 1000, 1060, 1200, 3000)})
	}
}

// evacuate begins or ends the evacuation of a failure domain.
func (h *diffTest) evacuate() {
	domain := fmt.Sprint("d", h.draw("domain", 3))
	h.evacuated[domain] = pick(h, "evacuated", true, false, false)
	h.apply(EvacuationChanged{Domain: domain, Evacuated: h.evacuated[domain]})
}

func (h *diffTest) submit() {
	h.nextJob++
	gangs := h.gatedGangs && h.draw("mixed", 5) > 0
	spec := model.JobSpec{
		Name: pick(h, "name", "x", "x", "y"), Team: pick(h, "team", "a", "b", "c"),
		Queue:  pick(h, "queue", "", "", "", "fast"),
		Policy: pick(h, "policy", model.PolicyBatch, model.PolicyBatch, model.PolicyGang, model.PolicyService),
		Tasks:  int32(1 + h.draw("tasks", 6)),
		Size:   pick(h, "size", cores(1), cores(1), cores(2), cores(4), model.Resources{CPU: 500, Memory: 2048}, model.Resources{CPU: 1, Accelerators: 1}),

		RunTime:     model.Duration(pick(h, "declared", 0, 0, 30*time.Second, 2*time.Minute)),
		Patience:    model.Duration(pick(h, "patience", 0, time.Second, time.Minute, time.Hour)),
		Selector:    pick(h, "selector", "", "", "", "disk!=hdd", "disk in (ssd,hdd)", "!own"),
		Exclusive:   pick(h, "exclusive", false, false, true),
		MaxRestarts: int32(h.draw("restarts", 3)), Checkpointable: pick(h, "checkpoint", false, true),
		NotRepeatable: pick(h, "once", false, false, false, true),
	}
	if !spec.Exclusive {
		spec.MaxPerWorker = pick(h, "per worker", 0, 0, 0, int32(2), 3)
	}
	spec.Lasting = spec.Policy == model.PolicyGang && pick(h, "lasting", false, false, true)
	if gangs {
		spec.Policy, spec.Queue, spec.Selector, spec.Size = model.PolicyGang, "", "", cores(int64(1+h.draw("cores", 2)))
	}
	h.jobs[h.nextJob] = spec
	gated := gangs || pick(h, "gated", false, false, true)
	if gated {
		h.grants[h.nextJob] = map[model.WorkerID]model.Time{}
	}
	for i := range spec.Tasks {
		h.pending[model.TaskID{Job: h.nextJob, Index: i}] = true
	}
	h.apply(JobSubmitted{ID: h.nextJob, Spec: spec, Team: spec.Team, At: h.now, StartBy: h.now.Add(spec.Patience.Std()), NeedsPermit: gated})
}

// grant replaces the permits of a job that needs them.
func (h *diffTest) grant() {
	keys := sortedKeys(h.grants, cmp.Compare[model.JobID])
	if len(keys) == 0 {
		return
	}
	h.grantTo(pick(h, "gated", keys...))
}

func (h *diffTest) grantAll() {
	for _, id := range sortedKeys(h.grants, cmp.Compare[model.JobID]) {
		h.grantTo(id)
	}
}

func (h *diffTest) grantTo(id model.JobID) {
	ev := JobPermitsChanged{ID: id}
	h.grants[id] = map[model.WorkerID]model.Time{}
	share := pick(h, "share", 1, 2, 4)
	for _, w := range sortedKeys(h.modes, cmp.Compare[model.WorkerID]) {
		if h.draw("granted", share) > 0 {
			continue
		}
		until := h.now.Add(pick(h, "valid", 0, 0, time.Second, time.Second, time.Minute))
		h.grants[id][w] = until
		ev.Permits = append(ev.Permits, Permit{Worker: w, Until: until, Refused: pick(h, "refused", false, false, false, true)})
	}
	h.apply(ev)
}

// permitNeed changes whether a job needs permits.
func (h *diffTest) permitNeed() {
	if h.nextJob == 0 {
		return
	}
	id := model.JobID(1 + h.draw("job", int(h.nextJob)))
	_, gated := h.grants[id]
	if gated {
		delete(h.grants, id)
	} else {
		h.grants[id] = map[model.WorkerID]model.Time{}
	}
	h.apply(JobPermitNeedChanged{ID: id, NeedsPermit: !gated})
}

func (h *diffTest) cancel() {
	var ids []model.JobID
	for range 1 + h.draw("wave", 5) {
		ids = append(ids, model.JobID(1+h.draw("job", int(h.nextJob)+1)))
	}
	for task := range h.pending {
		if slices.Contains(ids, task.Job) {
			delete(h.pending, task)
		}
	}
	h.apply(JobsCancelled{IDs: ids})
}

func (h *diffTest) end(task model.TaskID, o Outcome) {
	p := h.assigned[task]
	spec := h.jobs[task.Job]
	ran := pick(h, "ran", time.Second, time.Second, time.Minute)
	final := o == Succeeded || o == Stopped || spec.NotRepeatable
	used := p.Size
	used.CPU *= int64(pick(h, "used", 1, 1, 4))
	delete(h.assigned, task)
	delete(h.preempted, task)
	if !final {
		h.pending[task] = true
	}
	h.apply(TaskEnded{Task: task, Outcome: o, RanFor: ran, Used: used, At: h.now, Final: final})
}

func (h *diffTest) endSome() {
	if task, ok := h.assignedTask(); ok {
		h.end(task, pick(h, "outcome", Succeeded, Succeeded, Succeeded, Failed, Failed, NotStarted, Lost))
	}
}

func (h *diffTest) endMany() {
	outcome := pick(h, "outcome", Succeeded, Succeeded, Succeeded, Failed)
	for i, task := range sortedKeys(h.assigned, compareTasks) {
		if i%3 != 0 {
			h.end(task, outcome)
		}
	}
}

func (h *diffTest) removeWorkers() {
	var ids []model.WorkerID
	for _, id := range sortedKeys(h.modes, cmp.Compare[model.WorkerID]) {
		if h.modes[id] == model.WorkerLost {
			ids = append(ids, id)
			delete(h.modes, id)
			delete(h.unresponsive, id)
		}
	}
	h.apply(WorkersRemoved{Workers: ids})
}

func (h *diffTest) endPreempted() {
	for _, task := range sortedKeys(h.preempted, compareTasks) {
		h.end(task, Preempted)
	}
}

func (h *diffTest) reportUsage() {
	if task, ok := h.assignedTask(); ok {
		h.apply(TaskUsageReported{Task: task, Used: h.assigned[task].Size.Mul(2), At: h.now})
	}
}

func (h *diffTest) permit() {
	team := pick(h, "team", "a", "b", "c")
	h.permits[team] = int64(h.draw("permits", 4))
	h.apply(RequestPermitsChanged{Team: team, Permits: h.permits[team]})
}

// pastUse sets or disables the past use of the teams, some of which are left out.
func (h *diffTest) pastUse() {
	e := PastUseChanged{HalfLife: pick(h, "half-life", 0, time.Hour, time.Hour, time.Hour)}
	for _, team := range []string{"a", "b", "c", "unknown"} {
		if used := pick(h, "past", -1, 0, 1, 500, 5000, 1<<50); used >= 0 {
			e.Teams = append(e.Teams, TeamPastUse{Team: team, Average: model.Resources{CPU: int64(used), Memory: int64(used) * 3, Accelerators: int64(used) / 50}})
		}
	}
	h.apply(e)
}

func (h *diffTest) suspect() {
	if h.nextJob == 0 {
		return
	}
	job := model.JobID(1 + h.draw("job", int(h.nextJob)))
	task := model.TaskID{Job: job, Index: int32(h.draw("index", int(h.jobs[job].Tasks)))}
	h.held[task] = pick(h, "held", 0, 0, h.now.Add(time.Second), h.now.Add(time.Minute))
	if _, assigned := h.assigned[task]; assigned {
		h.held[task] = 0 // only pending tasks are held
	}
	h.apply(TaskSuspected{Task: task, Suspicion: pick(h, "suspicion", NotSuspected, KeepApart, KeepIsolated, KeepAlone), HeldUntil: h.held[task], At: h.now})
}

// plan compares the two plans, checks them and applies them as a whole.
func (h *diffTest) plan() {
	max := pick(h, "max", 1, 3, 100)
	got, want := h.fast.Plan(h.now, max), naivePlan(h.reference, h.now, max)
	assert.Equal(h.t, fmt.Sprintf("%v", got), fmt.Sprintf("%v", want))
	for _, e := range got.Preemptions {
		h.checkPreemption(e)
		h.preempted[e.Task] = true
		h.apply(TaskStopping{Task: e.Task})
	}
	before := h.running()
	for _, e := range got.Placements {
		h.checkPlacement(e)
		h.assigned[e.Task] = e
		delete(h.pending, e.Task)
		h.apply(TaskPlaced{Task: e.Task, Worker: e.Worker, Size: e.Size, At: h.now})
		if h.draw("starts", 4) > 0 {
			h.apply(TaskRunning{Task: e.Task, At: h.now})
		}
	}
	h.checkLimits(before)
	h.checkBookings()
	h.checkGangs(got.Placements)
	for _, f := range got.Failures {
		h.fail(f)
	}
	assert.Equal(h.t, len(audit(h.fast)), 0, "%v", audit(h.fast))
}

func (h *diffTest) fail(f Failure) {
	for _, task := range sortedKeys(h.pending, compareTasks) {
		if task.Job == f.Job && (f.Task == WholeJob || f.Task == task.Index) {
			delete(h.pending, task)
			h.apply(TaskEnded{Task: task, Outcome: Failed, At: h.now, Final: true})
		}
	}
}

func (h *diffTest) checkPlacement(e Placement) {
	assert.Assert(h.t, h.pending[e.Task], "%s is not pending", e.Task)
	assert.Assert(h.t, h.held[e.Task] <= h.now, "%s is held", e.Task)
	if grants, gated := h.grants[e.Task.Job]; gated {
		assert.Assert(h.t, h.now < grants[e.Worker], "%s has no valid permit for %s", e.Task, e.Worker)
	}
	assert.Equal(h.t, h.modes[e.Worker], model.WorkerOpen)
	assert.Assert(h.t, !h.evacuated[h.workers[e.Worker].FailureDomain], "the domain of %s is evacuated", e.Worker)
	assert.Assert(h.t, !h.unresponsive[e.Worker], "%s is unresponsive", e.Worker)
	spec := h.jobs[e.Task.Job]
	assert.Assert(h.t, spec.Size.Fits(e.Size))
	sel, err := model.ParseSelector(spec.Selector)
	assert.NilError(h.t, err)
	assert.Assert(h.t, sel.Matches(h.workers[e.Worker].Labels))
	if spec.Queue == h.queue.Name {
		queue, err := model.ParseSelector(h.queue.Selector)
		assert.NilError(h.t, err)
		assert.Assert(h.t, queue.Matches(h.workers[e.Worker].Labels), "%s does not serve the queue of %s", e.Worker, e.Task)
	}
	sum, together := e.Size, int32(1)
	for task, o := range h.assigned {
		if o.Worker == e.Worker {
			sum = sum.Add(o.Size)
			if task.Job == e.Task.Job {
				together++
			}
		}
	}
	assert.Assert(h.t, spec.PerWorker() == 0 || together <= spec.PerWorker(), "%d tasks of %s on %s", together, e.Task.Job, e.Worker)
	assert.Assert(h.t, sum.Fits(h.workers[e.Worker].Capacity), "%s is overcommitted", e.Worker)
}

func (h *diffTest) checkPreemption(e Preemption) {
	assert.Equal(h.t, h.assigned[e.Task].Worker, e.Worker)
	assert.Assert(h.t, !h.jobs[e.Task.Job].NotRepeatable, "%s is not repeatable", e.Task)
	assert.Assert(h.t, !h.preempted[e.Task], "%s is stopping already", e.Task)
	if e.Reason == ReasonEvacuation {
		spec := h.jobs[e.Task.Job]
		assert.Assert(h.t, spec.Lasting || spec.Policy == model.PolicyService, "%s does not last and is moved", e.Task)
		assert.Assert(h.t, spec.Policy == model.PolicyGang || h.evacuated[h.workers[e.Worker].FailureDomain], "%s is moved from an open domain", e.Task)
	} else if e.Reason != ReasonDrain {
		assert.Assert(h.t, h.stopMakesRoom(e.Task.Job, e.Worker), "%s makes room in an evacuated domain", e.Task)
	}
}

// stopMakesRoom reports whether the stop of a task on a worker makes room outside of evacuated
// domains: all members of a gang are stopped, wherever they run.
func (h *diffTest) stopMakesRoom(id model.JobID, worker model.WorkerID) bool {
	if h.jobs[id].Policy != model.PolicyGang {
		return !h.evacuated[h.workers[worker].FailureDomain]
	}
	for task, at := range h.assigned {
		if task.Job == id && !h.evacuated[h.workers[at.Worker].FailureDomain] {
			return true
		}
	}
	return false
}

func (h *diffTest) running() map[string]int64 {
	n := map[string]int64{}
	for task := range h.assigned {
		n[h.jobs[task.Job].Team]++
	}
	return n
}

// checkLimits checks the limits of the teams whose number of assigned tasks has
// changed since before.
func (h *diffTest) checkLimits(before map[string]int64) {
	after := h.running()
	for _, t := range h.teams {
		if after[t.Name] == before[t.Name] {
			continue
		}
		assert.Assert(h.t, after[t.Name]+h.permits[t.Name] <= t.MaxRunning, "team %s exceeds its limit of running tasks", t.Name)
		var use model.Resources
		for task, p := range h.assigned {
			if h.jobs[task.Job].Team == t.Name {
				use = use.Add(p.Size)
			}
		}
		assert.Assert(h.t, within(use, t.MaxResources), "team %s exceeds its resource limit", t.Name)
	}
}

// checkBookings checks that what is booked fits beside what is assigned, and within the
// limits of the teams.
func (h *diffTest) checkBookings() {
	use := map[model.WorkerID]model.Resources{}
	for _, p := range h.assigned {
		use[p.Worker] = use[p.Worker].Add(p.Size)
	}
	tasks := h.running()
	for i := range h.fast.workers {
		w := &h.fast.workers[i]
		held := w.reservation != nil || !w.booked.IsZero()
		assert.Assert(h.t, !w.known || !held || !h.evacuated[h.workers[w.id].FailureDomain], "%s is held in an evacuated domain", w.id)
	}
	for _, b := range h.fast.bookings {
		grants, gated := h.grants[b.job.id]
		valid := true // then only the size of the plan keeps the gang waiting
		spec := h.jobs[b.job.id]
		on := map[model.WorkerID]bool{}
		n := int64(0)
		for _, c := range b.claims {
			id := h.fast.workers[c.slot].id
			assert.Assert(h.t, !on[id] && (spec.PerWorker() == 0 || c.tasks <= int64(spec.PerWorker())), "%d tasks of a job on %s", c.tasks, id)
			on[id] = true
			valid = valid && (!gated || h.now < grants[id])
			use[id] = use[id].Add(b.size.Mul(c.tasks))
			assert.Assert(h.t, use[id].Fits(h.workers[id].Capacity), "%s is overcommitted by a booking", id)
			n += c.tasks
			tasks[spec.Team] += c.tasks
		}
		assert.Assert(h.t, valid || h.now < b.until, "the booking of %s has lapsed", b.job.id)
		for task := range h.pending {
			if task.Job == b.job.id {
				n--
			}
		}
		assert.Equal(h.t, n, int64(0), "the gang is booked in part")
	}
	for _, t := range h.teams {
		if n := tasks[t.Name]; n > h.running()[t.Name] {
			assert.Assert(h.t, n+h.permits[t.Name] <= t.MaxRunning, "bookings of team %s exceed its limit", t.Name)
		}
	}
}

// checkGangs checks that no task of a placed gang is left pending.
func (h *diffTest) checkGangs(placed []Placement) {
	for _, p := range placed {
		spec := h.jobs[p.Task.Job]
		if spec.Policy != model.PolicyGang {
			continue
		}
		j := h.fast.jobs[p.Task.Job]
		assert.Equal(h.t, j.ready+j.waiting, int32(0), "gang %s was placed in part", p.Task.Job)
	}
}

// step takes a random step.
func (h *diffTest) step() {
	step := pick(h, "step",
		h.submit, h.submit, h.submit, h.endSome, h.endSome, h.endMany, h.endPreempted, h.removeWorkers, h.workerUp,
		h.workerMode, h.workerResponsive, h.workerEnding, h.workerSpeed, h.workerSpeed, h.evacuate, h.cancel, h.reportUsage, h.permit, h.pastUse, h.suspect, h.configure, h.grant, h.grant, h.grant, h.permitNeed, func() {})
	step()
}

// TestPlanOfGatedGangsEqualsNaivePlan is the same with mostly gangs that need permits, so
// that many are booked.
func TestPlanOfGatedGangsEqualsNaivePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newDiffTest(t)
		h.gatedGangs = true
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			step := pick(h, "of gangs", h.submit, h.submit, h.submit, h.grantAll, h.grantAll, h.grant, h.endMany, h.step)
			step()
			h.now = h.now.Add(pick(h, "passes", 0, 100*time.Millisecond, 100*time.Millisecond, time.Second, 3*time.Second))
			h.plan()
		}
	})
}

func TestPlanEqualsNaivePlanAndKeepsEveryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newDiffTest(t)
		for range rapid.IntRange(5, 150).Draw(t, "steps") {
			h.step()
			h.now = h.now.Add(pick(h, "passes", 0, 100*time.Millisecond, time.Second, time.Minute))
			h.plan()
		}
	})
}
