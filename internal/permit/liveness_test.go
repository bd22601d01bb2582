package permit

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/schedule"
	"github.com/filbertmast/filbertmast/internal/schedule/lateness"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// livenessFaults are probabilities of faults: of a response of the policy service, or of a
// step where it says so.
type livenessFaults struct {
	empty, short, failed, lost, late float64
	unknown                          float64 // of a restarted worker: the policy service learns of it later
	restart, outage                  float64 // of a step: a worker restarts under its ID, or is lost for a while
	election                         float64 // of a step
	slowCommit                       float64 // of a commit
}

// livenessClass is one kind of job.
type livenessClass struct {
	gangs, permitted float64
	fewest, most     int32
	query, perWorker time.Duration
	size             model.Resources
}

func (c *livenessClass) cost(workers int) time.Duration {
	return c.query + time.Duration(workers)*c.perWorker
}

// startBound is how long a job may wait once faults have stopped and there is room for it
// twice over: for the timeout of a query that a fault has held up, or for the check of its
// refused workers, then for one query about as many workers as possible, and for the start.
func (c *livenessClass) startBound() time.Duration {
	held := max(c.cost(MaxQueryWorkers)*3/2+querySlack, maxUrgentRefusalCheck)
	return held + c.cost(MaxQueryWorkers) + livenessStart
}

const (
	livenessWorkers = 120
	livenessEntries = 12
	livenessFaulty  = 20 * time.Second // in which faults occur
	livenessQuiet   = 25 * time.Second // after them
	livenessValid   = 1500 * time.Millisecond
	livenessRun     = 2 * time.Second
	// livenessStart bounds the time of a start after the response: checks, the commit and calls.
	livenessStart = 300 * time.Millisecond
)

var livenessClasses = []livenessClass{
	{gangs: 1, permitted: 0.3, fewest: 7, most: 35, query: 540 * time.Millisecond, perWorker: 7700 * time.Microsecond, size: model.Resources{CPU: 5000, Memory: 5184}},
	{permitted: 0.45, fewest: 1, most: 35, query: 120 * time.Millisecond, perWorker: 1800 * time.Microsecond, size: model.Resources{CPU: 3500, Memory: 3600}},
	{gangs: 0.3, permitted: 0.7, fewest: 1, most: 7, query: 7200 * time.Microsecond, perWorker: 100 * time.Microsecond, size: model.Resources{CPU: 5000, Memory: 5100}},
}

type livenessWorker struct {
	id      model.WorkerID
	boot    int        // incarnation
	up      bool       // as the leader knows
	knownAt model.Time // when the policy service learns of the incarnation
}

type livenessPhase uint8

const (
	waiting livenessPhase = iota // also while its placement is not committed
	placed
	running
	done
)

type livenessTask struct {
	phase   livenessPhase
	worker  *livenessWorker
	attempt int
}

type livenessJob struct {
	id      model.JobID
	class   *livenessClass
	spec    model.JobSpec
	startBy model.Time
	tasks   []livenessTask
	since   model.Time // from when on it could have started
}

func (j *livenessJob) gang() bool { return j.spec.Policy == model.PolicyGang }

func (j *livenessJob) count(p livenessPhase) (n int64) {
	for i := range j.tasks {
		if j.tasks[i].phase == p {
			n++
		}
	}
	return n
}

// livenessToken is a permit as a worker checks it.
type livenessToken struct {
	job    model.JobID
	worker model.WorkerID
	boot   int
	until  model.Time
}

// livenessCell joins a leader's tracker and scheduler with workers and a policy service
// that fail. Every choice follows from the seed.
type livenessCell struct {
	rng      *rand.Rand
	faults   livenessFaults
	now      model.Time
	quietAt  model.Time
	events   map[model.Time][]func()
	term     int
	tracker  *Tracker
	sched    *schedule.Scheduler
	balancer *Balancer
	entries  []Entry
	busy     map[string]model.Time // when the last query of an entry is answered
	workers  []*livenessWorker
	byID     map[model.WorkerID]*livenessWorker
	jobs     []*livenessJob // by ID less one
	tokens   map[string]livenessToken
	problems []string
	starts   int
}

func newLivenessCell(seed uint64, faults livenessFaults) *livenessCell {
	c := &livenessCell{rng: rand.New(rand.NewPCG(seed, 1)), faults: faults, now: cellStart, quietAt: cellStart.Add(livenessFaulty),
		events: map[model.Time][]func(){}, byID: map[model.WorkerID]*livenessWorker{}, tokens: map[string]livenessToken{}}
	for i := range livenessWorkers {
		w := &livenessWorker{id: model.WorkerID(fmt.Sprintf("w%03d", i)), up: true}
		c.workers, c.byID[w.id] = append(c.workers, w), w
	}
	for i := range livenessEntries {
		c.entries = append(c.entries, Entry{Address: strconv.Itoa(i)})
	}
	c.elect()
	return c
}

func (c *livenessCell) chance(p float64) bool {
	return p > 0 && c.now < c.quietAt && c.rng.Float64() < p
}

func (c *livenessCell) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)+1))
}

func (c *livenessCell) after(d time.Duration, fn func()) {
	at := c.now.Add(max(d, cellStep*time.Millisecond))
	at += (cellStep - at%cellStep) % cellStep
	c.events[at] = append(c.events[at], fn)
}

// inTerm runs fn after d unless the leader has changed.
func (c *livenessCell) inTerm(d time.Duration, fn func()) {
	term := c.term
	c.after(d, func() {
		if c.term == term {
			fn()
		}
	})
}

// elect makes a new leader, which knows the jobs and workers. Starts that the earlier one
// has not sent are taken back.
func (c *livenessCell) elect() {
	c.term++
	c.tracker = NewTracker(Options{Lateness: lateness.Options{Shift: lateShift, Grace: 500 * time.Millisecond}})
	c.sched = schedule.New(schedule.Options{Seed: uint64(c.term), KeepRunning: true, MaxReservations: maxReservations, PressingSlack: 4 * time.Second,
		BackoffBase: 20 * time.Millisecond, Lateness: lateness.Options{Shift: lateShift, Grace: 500 * time.Millisecond}})
	c.balancer, c.busy = NewBalancer(c.now), map[string]model.Time{}
	c.sched.Apply(schedule.ConfigChanged{Teams: []model.Team{{Name: "a", Share: 1, MaxRunning: math.MaxInt32}}})
	for i, w := range c.workers {
		c.announce(i, w)
	}
	for _, j := range c.jobs {
		c.replay(j)
	}
}

func (c *livenessCell) announce(i int, w *livenessWorker) {
	if !w.up {
		return
	}
	c.sched.Apply(schedule.WorkerUp{Spec: model.WorkerSpec{ID: w.id, Capacity: whole, Region: "r",
		FailureDomain: fmt.Sprintf("d%d", i/workersInRack%3), Rack: fmt.Sprintf("r%d", i/workersInRack)}})
}

func (c *livenessCell) replay(j *livenessJob) {
	if j.count(done) == int64(len(j.tasks)) {
		return
	}
	c.track(j)
	for i := range j.tasks {
		t, id := &j.tasks[i], model.TaskID{Job: j.id, Index: int32(i)}
		switch t.phase {
		case done:
			c.sched.Apply(schedule.TaskEnded{Task: id, Outcome: schedule.Succeeded, At: c.now, Final: true})
		case placed, running:
			c.sched.Apply(schedule.TaskPlaced{Task: id, Worker: t.worker.id, Size: j.spec.Size, At: c.now})
			c.sched.Apply(schedule.TaskRunning{Task: id, At: c.now})
		}
	}
	for i := range j.tasks {
		if j.tasks[i].phase == placed {
			c.takeBack(j, i, schedule.NotStarted)
		}
	}
}

func (c *livenessCell) track(j *livenessJob) {
	c.sched.Apply(schedule.JobSubmitted{ID: j.id, Spec: j.spec, Team: "a", At: c.now, StartBy: j.startBy, NeedsPermit: true})
	c.tracker.Add(j.id, workerclient.TaskName{Workflow: "f"}, lateness.Job{PromisedStart: j.startBy})
}

// submit adds a job of a random class.
func (c *livenessCell) submit() {
	class := &livenessClasses[c.rng.IntN(len(livenessClasses))]
	j := &livenessJob{id: model.JobID(len(c.jobs) + 1), class: class, startBy: c.now.Add(3 * time.Second), since: c.now}
	// Sizes differ, as those of real jobs do.
	size := model.Resources{CPU: class.size.CPU + c.rng.Int64N(500), Memory: class.size.Memory}
	j.spec = model.JobSpec{Name: "job", Team: "a", Tasks: class.fewest + c.rng.Int32N(class.most-class.fewest+1), Size: size, Patience: model.Duration(3 * time.Second), MaxRestarts: math.MaxInt16}
	if c.rng.Float64() < class.gangs {
		j.spec.Policy = model.PolicyGang
	}
	j.tasks = make([]livenessTask, j.spec.Tasks)
	c.jobs = append(c.jobs, j)
	c.track(j)
}

func (c *livenessCell) job(id model.JobID) *livenessJob { return c.jobs[id-1] }

// Demand implements Scheduler.
func (c *livenessCell) Demand(id model.JobID) Demand {
	j := c.job(id)
	return Demand{Tasks: j.count(waiting), AllAtOnce: j.gang()}
}

// Candidates implements Scheduler.
func (c *livenessCell) Candidates(id model.JobID) []schedule.Candidate {
	return c.sched.Candidates(id)
}

// Booked implements Scheduler.
func (c *livenessCell) Booked() []schedule.Booked { return c.sched.Booked() }

// CanSend implements Scheduler.
func (c *livenessCell) CanSend(id model.JobID, workers int) bool {
	short, long := c.balancer.Available(c.entries, c.now)
	if IsLong(c.job(id).class.cost(workers)) {
		return long
	}
	return short
}

// permits reports whether the policy service permits a worker for a job.
func (c *livenessCell) permits(j *livenessJob, w model.WorkerID) bool {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", j.id, w)
	return float64(h.Sum64()*0x9e3779b97f4a7c15>>40)/(1<<24) < j.class.permitted
}

func (c *livenessCell) sendQueries() {
	c.tracker.EachDueQuery(c.now, c, func(q Query) bool {
		cost := c.job(q.Job).class.cost(len(q.Workers))
		if entry, ok := c.balancer.Choose(c.entries, cost, c.now); ok {
			c.send(&q, entry, cost)
		}
		short, _ := c.balancer.Available(c.entries, c.now)
		return short
	})
}

// send sends a query. The first of its response and its timeout ends it.
func (c *livenessCell) send(q *Query, entry string, cost time.Duration) {
	c.tracker.MarkSent(q)
	timeout := c.balancer.Begin(entry, cost)
	ended := false
	end := func(advice *workerclient.Advice) {
		if ended {
			return
		}
		ended = true
		c.balancer.End(entry, cost, advice != nil, c.now)
		if advice == nil {
			c.tracker.MarkFailed(q, c.now)
			return
		}
		c.tracker.ApplyAdvice(q, advice, c.now)
		c.updateScheduler(q.Job)
	}
	c.inTerm(timeout, func() { end(nil) })
	c.busy[entry] = max(c.busy[entry], c.now).Add(cost)
	term := c.term
	c.after(c.busy[entry].Sub(c.now), func() {
		if c.term == term {
			c.respond(q, end)
		}
	})
}

// respond lets the policy service respond to a query.
func (c *livenessCell) respond(q *Query, end func(*workerclient.Advice)) {
	advice := &workerclient.Advice{Valid: model.Duration(livenessValid)}
	for _, id := range q.Workers {
		w := c.byID[id]
		if c.now < w.knownAt || !c.permits(c.job(q.Job), id) {
			continue
		}
		token := fmt.Sprint(len(c.tokens))
		c.tokens[token] = livenessToken{q.Job, id, w.boot, c.now.Add(livenessValid)}
		advice.Permits = append(advice.Permits, workerclient.Permit{Worker: id, Token: token})
	}
	delay := c.between(0, 40*time.Millisecond)
	switch {
	case c.chance(c.faults.lost):
		return
	case c.chance(c.faults.failed):
		advice = nil
	case c.chance(c.faults.empty):
		advice.Permits = nil
	case c.chance(c.faults.short):
		advice.Permits = advice.Permits[:c.rng.IntN(len(advice.Permits)+1)]
	}
	if c.chance(c.faults.late) {
		delay = c.between(100*time.Millisecond, 3*time.Second)
	}
	c.inTerm(delay, func() { end(advice) })
}

func (c *livenessCell) updateScheduler(id model.JobID) {
	ev := schedule.JobPermitsChanged{ID: id}
	for _, g := range c.tracker.Permits(id) {
		ev.Permits = append(ev.Permits, schedule.Permit(g))
	}
	c.sched.Apply(ev)
}

// plan proposes the placements of one plan and commits them later.
func (c *livenessCell) plan() {
	placements := c.sched.Plan(c.now, 1024).Placements
	if len(placements) == 0 {
		return
	}
	for _, p := range placements {
		c.sched.Apply(schedule.TaskPlaced{Task: p.Task, Worker: p.Worker, Size: p.Size, At: c.now})
	}
	delay := c.between(5*time.Millisecond, 25*time.Millisecond)
	if c.chance(c.faults.slowCommit) {
		delay = c.between(50*time.Millisecond, time.Second)
	}
	c.inTerm(delay, func() {
		for _, p := range placements {
			c.commit(&p)
		}
		for _, p := range placements {
			c.start(&p)
		}
	})
}

func (c *livenessCell) commit(p *schedule.Placement) {
	j, w := c.job(p.Task.Job), c.byID[p.Worker]
	t := &j.tasks[p.Task.Index]
	t.phase, t.worker = placed, w
	t.attempt++
}

// start sends the start of a placed task to its worker.
func (c *livenessCell) start(p *schedule.Placement) {
	j := c.job(p.Task.Job)
	t := &j.tasks[p.Task.Index]
	if t.phase != placed {
		return // another member of its gang did not start
	}
	token, sent := c.tokens[c.tracker.Token(j.id, p.Worker, c.now)]
	if !sent || !t.worker.up {
		c.takeBack(j, int(p.Task.Index), schedule.NotStarted)
		return
	}
	if token != (livenessToken{j.id, p.Worker, t.worker.boot, token.until}) || c.now >= token.until {
		c.tracker.Invalidate(j.id, p.Worker)
		c.updateScheduler(j.id)
		c.takeBack(j, int(p.Task.Index), schedule.NotStarted)
		return
	}
	t.phase = running
	c.starts++
	c.sched.Apply(schedule.TaskRunning{Task: p.Task, At: c.now})
	attempt := t.attempt
	c.after(c.between(livenessRun/2, livenessRun), func() {
		if t.attempt == attempt && t.phase == running {
			c.finish(j, int(p.Task.Index))
		}
	})
}

// finish ends a task as done, with its whole gang if it is of one.
func (c *livenessCell) finish(j *livenessJob, i int) {
	for k := range j.tasks {
		if t := &j.tasks[k]; (k == i || j.gang()) && t.phase == running {
			t.phase = done
			c.sched.Apply(schedule.TaskEnded{Task: model.TaskID{Job: j.id, Index: int32(k)}, Outcome: schedule.Succeeded, RanFor: livenessRun, At: c.now, Final: true})
		}
	}
	j.since = c.now
	if j.count(done) == int64(len(j.tasks)) {
		c.tracker.Remove(j.id)
	}
}

// takeBack makes a task wait again, and all members of its gang.
func (c *livenessCell) takeBack(j *livenessJob, i int, outcome schedule.Outcome) {
	for k := range j.tasks {
		t := &j.tasks[k]
		if k != i && !j.gang() || t.phase != placed && t.phase != running {
			continue
		}
		t.phase = waiting
		how := outcome
		if k != i {
			how = schedule.Preempted
		}
		c.sched.Apply(schedule.TaskEnded{Task: model.TaskID{Job: j.id, Index: int32(k)}, Outcome: how, At: c.now})
	}
	c.tracker.Wake(j.id)
}

// loseTasks takes back the tasks of a worker that was lost or has restarted.
func (c *livenessCell) loseTasks(w *livenessWorker) {
	for _, j := range c.jobs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.worker == w && (t.phase == placed || t.phase == running) {
				c.takeBack(j, i, schedule.Lost)
			}
		}
	}
}

// restart lets a worker restart under its ID. The leader learns of it later.
func (c *livenessCell) restart(i int) {
	w := c.workers[i]
	w.boot++
	if c.chance(c.faults.unknown) {
		w.knownAt = c.now.Add(c.between(0, 2*time.Second))
	}
	c.after(c.between(20*time.Millisecond, 600*time.Millisecond), func() {
		c.loseTasks(w)
		c.tracker.ForgetWorker(w.id)
		for _, j := range c.jobs {
			c.updateScheduler(j.id)
		}
		c.announce(i, w)
	})
}

// outage lets the leader lose a worker that returns as a new incarnation.
func (c *livenessCell) outage(i int) {
	w := c.workers[i]
	if !w.up {
		return
	}
	w.up = false
	c.loseTasks(w)
	c.sched.Apply(schedule.WorkerModeChanged{Worker: w.id, Mode: model.WorkerLost, At: c.now})
	c.after(c.between(time.Second, 4*time.Second), func() {
		w.up = true
		c.restart(i)
	})
}

func (c *livenessCell) step() {
	c.now += cellStep
	due := c.events[c.now]
	delete(c.events, c.now)
	for _, fn := range due {
		fn()
	}
	if c.chance(c.faults.restart) {
		c.restart(c.rng.IntN(livenessWorkers))
	}
	if c.chance(c.faults.outage) {
		c.outage(c.rng.IntN(livenessWorkers))
	}
	if c.chance(c.faults.election) {
		c.elect()
	}
	c.sendQueries()
	c.plan()
	for _, j := range c.jobs {
		c.check(j)
	}
}

// check records a job that has waited too long in the quiet period although there was room
// for it twice over on permitted workers.
func (c *livenessCell) check(j *livenessJob) {
	pending := j.count(waiting)
	if c.now < c.quietAt || pending == 0 || j.count(running)+j.count(placed) > 0 || !c.roomTwice(j, pending) {
		j.since = c.now
		return
	}
	if waited := c.now.Sub(j.since); waited > j.class.startBound() && waited <= j.class.startBound()+cellStep*time.Millisecond {
		c.problems = append(c.problems, fmt.Sprintf("job %d (%d tasks, gang %t) waits for %s at %s of the quiet period; %+v; %v",
			j.id, len(j.tasks), j.gang(), waited, c.now.Sub(c.quietAt), c.tracker.Status(j.id, c.now), c.sched.WaitReasons(j.id, c.now)))
	}
}

func (c *livenessCell) roomTwice(j *livenessJob, pending int64) bool {
	room := int64(0)
	for _, w := range c.sched.Candidates(j.id) {
		if used, _, probation, _ := c.sched.Worker(w.Worker); c.permits(j, w.Worker) && !probation {
			free := whole.Sub(used)
			room += max(min(free.CPU/j.spec.Size.CPU, free.Memory/j.spec.Size.Memory), 0)
		}
	}
	return room >= 2*pending
}

func (c *livenessCell) run() {
	end := c.quietAt.Add(livenessQuiet)
	for next := c.now; c.now < end; c.step() {
		if c.now >= next && c.now < end.Add(-livenessQuiet/2) {
			next = c.now.Add(c.between(100*time.Millisecond, 700*time.Millisecond))
			c.submit()
		}
	}
	for _, j := range c.jobs {
		if n := j.count(done); n != int64(len(j.tasks)) {
			c.problems = append(c.problems, fmt.Sprintf("job %d has not ended: %d of %d tasks are done; %+v", j.id, n, len(j.tasks), c.tracker.Status(j.id, c.now)))
		}
	}
}

var livenessProfiles = []struct {
	name   string
	faults livenessFaults
}{
	{"no faults", livenessFaults{}},
	{"empty and short responses", livenessFaults{empty: 0.2, short: 0.3}},
	{"failed, lost and late responses", livenessFaults{failed: 0.1, lost: 0.05, late: 0.2}},
	{"workers restart and are not known at once", livenessFaults{restart: 0.2, outage: 0.02, unknown: 0.7}},
	{"slow commits", livenessFaults{slowCommit: 0.5}},
	{"the leader changes", livenessFaults{election: 0.02, slowCommit: 0.2}},
	{"all", livenessFaults{empty: 0.1, short: 0.2, failed: 0.05, lost: 0.03, late: 0.1, restart: 0.1, outage: 0.01, unknown: 0.5, slowCommit: 0.2, election: 0.005}},
}

// Runs one seed of each profile. FILBERTMAST_SIM_SEEDS sets how many, and
// FILBERTMAST_SIM_FIRST the first one.
func TestEachJobStartsWithinBoundOnceFaultsHaveStopped(t *testing.T) {
	first, count := seedsOf(t)
	for _, p := range livenessProfiles {
		t.Run(p.name, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				c := newLivenessCell(seed, p.faults)
				c.run()
				slices.Sort(c.problems)
				for _, problem := range c.problems {
					t.Errorf("seed %d: %s", seed, problem)
				}
				t.Logf("seed %d: %d jobs, %d starts, %d terms", seed, len(c.jobs), c.starts, c.term)
			}
		})
	}
}

func seedsOf(t *testing.T) (first, count uint64) {
	first, count = 1, 1
	for name, v := range map[string]*uint64{"FILBERTMAST_SIM_FIRST": &first, "FILBERTMAST_SIM_SEEDS": &count} {
		if s := os.Getenv(name); s != "" {
			n, err := strconv.ParseUint(s, 10, 64)
			assert.NilError(t, err)
			*v = n
		}
	}
	return first, count
}
