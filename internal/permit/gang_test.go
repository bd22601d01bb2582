package permit

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// permitCell joins a Tracker, a scheduler and a policy service that permits one worker
// in three, as a leader does. Time passes in steps of cellStep.
type permitCell struct {
	t       testing.TB
	now     model.Time
	tracker *Tracker
	sched   *schedule.Scheduler
	pending map[model.JobID]bool
	answers map[model.Time][]Query // by when the policy service responds
	running []runningTask          // oldest first
	valid   time.Duration          // of a permit
	cost    func(workers int) time.Duration
	specs   map[model.JobID]model.JobSpec // of the jobs that need permits

	withdrawn model.WorkerID // is not permitted any more

	inFlight    int // queries in flight
	maxInFlight int // no query is sent while as many are in flight
}

type runningTask struct {
	id    model.TaskID
	since model.Time
}

const (
	cellStep      = 20 // ms
	cellStart     = model.Time(1_000_000)
	permittedOf   = 3 // one worker of this many is permitted
	gangID        = model.JobID(2)
	fillerID      = model.JobID(1)
	workerCPU     = 16_000
	workerMemory  = 32_768
	workersInRack = 12
	lateShift     = 5 * time.Second
	// maxReservations is the number of reservations at once.
	maxReservations = 2
)

func newPermitCell(t testing.TB, workers int) *permitCell {
	c := &permitCell{
		t:       t,
		now:     cellStart,
		tracker: NewTracker(Options{Lateness: lateness.Options{Shift: lateShift}}),
		sched:   schedule.New(schedule.Options{Seed: 1, KeepRunning: true, MaxReservations: maxReservations, PressingSlack: 4 * time.Second}),
		pending: map[model.JobID]bool{},
		answers: map[model.Time][]Query{},
		valid:   2 * time.Second,
		specs:   map[model.JobID]model.JobSpec{},
		cost:    func(n int) time.Duration { return 440*time.Millisecond + time.Duration(n)*6200*time.Microsecond },

		maxInFlight: math.MaxInt,
	}
	c.sched.Apply(schedule.ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: 10_000}}})
	c.addWorkers(workers)
	return c
}

func (c *permitCell) addWorkers(n int) {
	for i := range n {
		domain := fmt.Sprintf("d%d", i/workersInRack%3)
		c.sched.Apply(schedule.WorkerUp{Spec: model.WorkerSpec{
			ID:            model.WorkerID(fmt.Sprintf("w%03d", i)),
			Capacity:      model.Resources{CPU: workerCPU, Memory: workerMemory},
			Region:        "r",
			FailureDomain: domain,
			Rack:          fmt.Sprintf("r%d", i/workersInRack),
		}})
	}
}

// Demand implements Scheduler.
func (c *permitCell) Demand(id model.JobID) Demand {
	if !c.pending[id] {
		return Demand{}
	}
	spec := c.specs[id]
	return Demand{Tasks: int64(spec.Tasks), AllAtOnce: spec.Policy == model.PolicyGang}
}

// Candidates implements Scheduler.
func (c *permitCell) Candidates(id model.JobID) []schedule.Candidate { return c.sched.Candidates(id) }

// Booked implements Scheduler.
func (c *permitCell) Booked() []schedule.Booked { return c.sched.Booked() }

// CanSend implements Scheduler.
func (c *permitCell) CanSend(model.JobID, int) bool { return true }

// submit adds a job. Jobs that need permits are tracked.
func (c *permitCell) submit(id model.JobID, spec model.JobSpec, needsPermit bool) {
	spec.Team = "a"
	startBy := c.now.Add(spec.Patience.Std())
	c.sched.Apply(schedule.JobSubmitted{ID: id, Spec: spec, Team: "a", At: c.now, StartBy: startBy, NeedsPermit: needsPermit})
	if needsPermit {
		c.pending[id] = true
		c.specs[id] = spec
		c.tracker.Add(id, workerclient.TaskName{Workflow: model.WorkflowID(spec.Name)}, lateness.Job{PromisedStart: startBy})
	}
}

// step lets cellStep pass: responses arrive, queries are sent and a plan is carried out.
func (c *permitCell) step() {
	c.now += cellStep
	for _, q := range c.answers[c.now] {
		c.inFlight--
		c.answer(&q)
	}
	c.tracker.EachDueQuery(c.now, c, func(q Query) bool {
		if c.inFlight >= c.maxInFlight {
			return false
		}
		c.inFlight++
		c.tracker.MarkSent(&q)
		at := c.now.Add(c.cost(len(q.Workers)))
		at += (cellStep - at%cellStep) % cellStep
		c.answers[at] = append(c.answers[at], q)
		return true
	})
	for _, p := range c.sched.Plan(c.now, 1000).Placements {
		c.sched.Apply(schedule.TaskPlaced{Task: p.Task, Worker: p.Worker, Size: p.Size, At: c.now})
		c.sched.Apply(schedule.TaskRunning{Task: p.Task, At: c.now})
		delete(c.pending, p.Task.Job)
		c.running = append(c.running, runningTask{p.Task, c.now})
	}
}

func (c *permitCell) answer(q *Query) { c.applyAdvice(q, c.permits) }

// applyAdvice answers a query with permits for the workers that permits approves.
func (c *permitCell) applyAdvice(q *Query, permits func(model.WorkerID) bool) {
	advice := &workerclient.Advice{Valid: model.Duration(c.valid)}
	for _, w := range q.Workers {
		if permits(w) {
			advice.Permits = append(advice.Permits, workerclient.Permit{Worker: w, Token: string(w)})
		}
	}
	c.tracker.ApplyAdvice(q, advice, c.now)
	ev := schedule.JobPermitsChanged{ID: q.Job}
	for _, g := range c.tracker.Permits(q.Job) {
		ev.Permits = append(ev.Permits, schedule.Permit(g))
	}
	c.sched.Apply(ev)
}

// permits reports whether the policy service permits a worker.
func (c *permitCell) permits(w model.WorkerID) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(string(w), "w"))
	assert.NilError(c.t, err)
	return number%permittedOf == 0 && w != c.withdrawn
}

// end ends the tasks that have run for d.
func (c *permitCell) end(d time.Duration) {
	for len(c.running) > 0 && c.now.Sub(c.running[0].since) >= d {
		c.sched.Apply(schedule.TaskEnded{Task: c.running[0].id, Outcome: schedule.Succeeded, RanFor: d, At: c.now, Final: true})
		c.running = c.running[1:]
	}
}

// runFor lets d pass, in which each task ends after taskTime. It returns early when the
// gang starts, with the time; else zero.
func (c *permitCell) runFor(d, taskTime time.Duration) model.Time {
	waits := c.pending[gangID]
	for end := c.now.Add(d); c.now < end; {
		c.end(taskTime)
		c.step()
		if waits && !c.pending[gangID] {
			return c.now
		}
	}
	return 0
}

// submitGang submits a gang.
func (c *permitCell) submitGang(tasks int32, size model.Resources, patience time.Duration) {
	c.submit(gangID, gangSpec(tasks, size, patience), true)
}

func gangSpec(tasks int32, size model.Resources, patience time.Duration) model.JobSpec {
	return model.JobSpec{Name: "gang", Tasks: tasks, Policy: model.PolicyGang, Size: size, Patience: model.Duration(patience)}
}

// half is the size of a task of which two fit on an idle worker, and whole that of one
// that fills it.
var (
	half  = model.Resources{CPU: 6750, Memory: 6320}
	whole = model.Resources{CPU: workerCPU, Memory: workerMemory}
)

// startLimit is how long a job may wait while the free capacity is twice what it needs.
const startLimit = 3 * time.Second

func TestGangWiderThanOneRenewalStartsOnceWorkersAreFree(t *testing.T) {
	const workers = 120
	c := newPermitCell(t, workers)
	c.submit(fillerID, model.JobSpec{Name: "filler", Tasks: workers, Size: whole, Patience: model.Duration(time.Hour)}, false)
	c.step()
	assert.Equal(t, len(c.running), workers, "the cell is full")
	c.submitGang(35, half, time.Second)
	assert.Equal(t, c.runFor(20*time.Second, time.Hour), model.Time(0), "no worker has room")
	c.end(0)
	free := c.now
	started := c.runFor(30*time.Second, time.Hour)
	assert.Assert(t, started != 0, "the gang never starts; 40 permitted workers hold 80 tasks")
	assert.Assert(t, started.Sub(free) <= startLimit, "the gang started %s after the workers were free", started.Sub(free))
}

func TestWideGangIsNotStarvedBySmallTasksInBusyCell(t *testing.T) {
	const (
		workers  = 120
		taskTime = 5 * time.Second
		patience = 30 * time.Second
		queries  = 2 // to learn the allowed workers, and to renew the permits of the reserved ones
	)
	c := newPermitCell(t, workers)
	c.submit(fillerID, model.JobSpec{Name: "small", Tasks: 100_000, Size: model.Resources{CPU: 2000, Memory: 4096}, Patience: model.Duration(time.Hour)}, false)
	c.runFor(2*taskTime, taskTime)
	c.submitGang(35, half, patience)
	submitted := c.now
	// The starvation bound of the scheduler for one team, and the time of the queries.
	limit := patience + (maxReservations+1)*taskTime + queries*c.cost(MaxQueryWorkers)
	started := c.runFor(2*limit, taskTime)
	assert.Assert(t, started != 0, "the gang never starts")
	assert.Assert(t, started.Sub(submitted) <= limit, "the gang started after %s, limit %s", started.Sub(submitted), limit)
}

func TestGangWiderThanOneQueryStartsInIdleCell(t *testing.T) {
	const workers, tasks = 1000, 150
	c := newPermitCell(t, workers)
	c.submitGang(tasks, whole, time.Second)
	submitted := c.now
	started := c.runFor(60*time.Second, time.Hour)
	assert.Assert(t, started != 0, "the gang never starts; 334 permitted workers hold 334 tasks")
	assert.Assert(t, started.Sub(submitted) <= startLimit, "the gang started after %s", started.Sub(submitted))
}

// Guards against a gang of which the same part is queried about again and again.
func TestGangWiderThanOneQueryStartsWithOneEntry(t *testing.T) {
	const workers, tasks = 1000, 150
	c := newPermitCell(t, workers)
	c.maxInFlight = 1
	c.submitGang(tasks, whole, time.Second)
	submitted := c.now
	started := c.runFor(60*time.Second, time.Hour)
	assert.Assert(t, started != 0, "the gang never starts; 334 permitted workers hold 334 tasks")
	queries := workers/MaxQueryWorkers + 2 // to learn the permitted workers, and to renew the permits
	limit := time.Duration(queries) * c.cost(MaxQueryWorkers)
	assert.Assert(t, started.Sub(submitted) <= limit, "the gang started after %s, limit %s", started.Sub(submitted), limit)
}

// Guards against a gang whose room others take while its permits are renewed.
func TestGangIsNotOvertakenWhileItsPermitsAreRenewed(t *testing.T) {
	const (
		workers  = 120
		taskTime = 5 * time.Second // in which the first permits end
		tasks    = 30              // on 15 workers
	)
	c := newPermitCell(t, workers)
	c.submit(fillerID, model.JobSpec{Name: "filler", Tasks: 100 * workers, Size: whole, Patience: model.Duration(time.Hour)}, false)
	c.submitGang(tasks, half, 10*time.Minute)
	submitted := c.now
	started := c.runFor(30*time.Second, taskTime)
	assert.Assert(t, started != 0, "the gang is overtaken each time that the workers are free")
	limit := taskTime + c.cost(tasks/2) + 4*cellStep*time.Millisecond
	assert.Assert(t, started.Sub(submitted) <= limit, "the gang started after %s, limit %s", started.Sub(submitted), limit)
}

// Guards against gangs that keep room from others in turn while the policy service is silent.
func TestGangsHoldNoRoomWhilePolicyServiceIsSilent(t *testing.T) {
	const (
		workers = 120
		gangs   = 12
		tasks   = 26 // on 13 workers: three gangs fit at once
		laterID = gangID + gangs
	)
	c := newPermitCell(t, workers)
	c.submit(fillerID, model.JobSpec{Name: "filler", Tasks: workers, Size: whole, Patience: model.Duration(time.Hour)}, false)
	c.step()
	for i := range model.JobID(gangs) {
		c.submit(gangID+i, gangSpec(tasks, half, time.Hour), true)
	}
	c.runFor(10*time.Second, time.Hour)
	c.cost = func(int) time.Duration { return time.Hour }
	c.end(0)
	c.step()
	c.submit(laterID, model.JobSpec{Name: "later", Tasks: workers, Size: whole, Patience: model.Duration(2 * time.Hour)}, false)
	submitted := c.now
	for len(c.running) < workers && c.now.Sub(submitted) < time.Minute {
		c.step()
	}
	limit := schedule.DefaultMaxIdleWait + 2*cellStep*time.Millisecond
	assert.Assert(t, c.now.Sub(submitted) <= limit, "%d of %d tasks run after %s", len(c.running), workers, c.now.Sub(submitted))
}

// Guards against a late task that no query is ever sent for, with most workers free.
func TestLateTaskIsNotStarvedByQueriesOfGangsWithoutRoom(t *testing.T) {
	const (
		workers = 120
		gangs   = 20
		lateID  = gangID + gangs
	)
	c := newPermitCell(t, workers)
	c.maxInFlight = 2
	for i := range model.JobID(gangs) {
		c.submit(gangID+i, gangSpec(workers, whole, time.Hour), true)
	}
	c.step()
	c.submit(lateID, model.JobSpec{Name: "late", Tasks: 1, Size: half}, true)
	late := c.now
	for c.pending[lateID] && c.now.Sub(late) < time.Minute {
		c.step()
	}
	assert.Assert(t, c.now.Sub(late) <= lateShift+startLimit, "the late task started after %s", c.now.Sub(late))
}

// Guards against a gang that stands still since another one waits for the workers that it may use, which are mostly free.
func TestGangStartsOnPermittedWorkersThatAnotherGangWaitsFor(t *testing.T) {
	const (
		workers   = 120
		permitted = workers / permittedOf
		secondID  = gangID + 1
		long      = 2000 // CPU of a task that runs on
	)
	c := newPermitCell(t, workers)
	c.submit(fillerID, model.JobSpec{Name: "long", Tasks: workers, Size: model.Resources{CPU: long, Memory: 4096}, Exclusive: true, Patience: model.Duration(time.Hour)}, false)
	c.step()
	c.submitGang(permitted, model.Resources{CPU: workerCPU - long/2, Memory: 4096}, time.Second)
	assert.Equal(t, c.runFor(20*time.Second, time.Hour), model.Time(0), "no worker has room")
	c.submit(secondID, gangSpec(permitted/2, half, time.Second), true)
	submitted := c.now
	for c.pending[secondID] && c.now.Sub(submitted) < time.Minute {
		c.step()
	}
	limit := schedule.DefaultMaxIdleWait + c.cost(permitted)
	assert.Assert(t, c.now.Sub(submitted) <= limit, "the gang started after %s, limit %s", c.now.Sub(submitted), limit)
}

// Guards against small tasks on idle workers while half-full ones have room for them.
func TestSmallTasksLeaveIdleWorkersToGang(t *testing.T) {
	const (
		workers = 120
		batchID = gangID + 1
		small   = 2000 // CPU
	)
	c := newPermitCell(t, workers)
	c.submit(fillerID, model.JobSpec{Name: "filler", Tasks: workers / 2, Size: model.Resources{CPU: workerCPU - 2*small, Memory: 4096}, Patience: model.Duration(time.Hour)}, false)
	c.step()
	idle := c.permittedIdle()
	c.submit(batchID, model.JobSpec{Name: "small", Tasks: 20, Size: model.Resources{CPU: small, Memory: 4096}, Patience: model.Duration(time.Hour)}, true)
	c.runFor(startLimit, time.Hour)
	assert.Assert(t, !c.pending[batchID], "the small tasks have started")
	c.submitGang(idle, whole, time.Second)
	assert.Assert(t, c.runFor(startLimit, time.Hour) != 0, "the gang finds fewer than %d idle workers; %d are idle", idle, c.permittedIdle())
}

// permittedIdle returns the number of workers that jobs may use and that run nothing.
func (c *permitCell) permittedIdle() (n int32) {
	for _, w := range c.sched.Candidates(fillerID) {
		if c.permits(w.Worker) && w.FreeCPU == workerCPU {
			n++
		}
	}
	return n
}
