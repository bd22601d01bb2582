package permit

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
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

// loadClass is one kind of job. Numbers are means unless they are called most.
type loadClass struct {
	perSecond       float64
	tasks           float64
	mostTasks       int32
	cpu, memory     float64 // thousandths of a core and MiB of one task
	mostCPU         int64
	run             time.Duration // of one task
	stretch         float64       // objective in run times
	allowance       time.Duration // added to the objective
	gangs           float64       // share of the jobs
	permitted       float64       // share of the workers that a job may use
	query           time.Duration // service time of a query
	queryWorker     time.Duration // added for each worker in it
	runTimeMisjudge float64       // largest relative error of the declared run time
}

// loadJob is one job and what its caller gets.
type loadJob struct {
	class     *loadClass
	spec      model.JobSpec
	run       time.Duration
	submitted model.Time
	ended     model.Time
	objective time.Duration
	pending   int64 // tasks to place
	left      int64 // tasks that have not ended
}

// A job that misses its objective is of lateShare of its value to its caller until
// lateFactor objectives have passed, and then of none.
const (
	lateFactor = 3
	lateShare  = 0.2
)

// useful returns the part of its value that the job has for its caller.
func (j *loadJob) useful() float64 {
	took := j.ended.Sub(j.submitted)
	switch {
	case j.ended == 0 || took > lateFactor*j.objective:
		return 0
	case took > j.objective:
		return lateShare
	}
	return 1
}

func (j *loadJob) work() float64 {
	return float64(j.spec.Tasks) * float64(j.spec.Size.CPU) * j.run.Seconds()
}

// heavyLoad is a cell under more jobs than it can serve in time, with a policy service
// that entries query.
type heavyLoad struct {
	*permitCell
	rand     *rand.Rand
	jobs     []*loadJob // by ID, from 1 on
	balancer *Balancer
	entries  []Entry
	busy     map[string]model.Time // when the last query of an entry is answered
	replies  map[model.Time][]reply
	ends     taskEnds
}

type reply struct {
	query Query
	entry string
	cost  time.Duration
}

type taskEnd struct {
	at model.Time
	id model.TaskID
}

// taskEnds is a heap, the earliest end first.
type taskEnds []taskEnd

func (e taskEnds) Len() int           { return len(e) }
func (e taskEnds) Less(i, k int) bool { return e[i].at < e[k].at }
func (e taskEnds) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *taskEnds) Push(x any)        { *e = append(*e, x.(taskEnd)) }
func (e *taskEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	loadWorkers = 350
	loadEntries = 44
	loadTeams   = 20
	loadTime    = 40 * time.Second
	loadDrain   = 60 * time.Second // in which all accepted jobs must end
	startDelay  = 60 * time.Millisecond
	replyDelay  = 40 * time.Millisecond
)

func newHeavyLoad(t testing.TB, seed uint64, lateShift time.Duration) *heavyLoad {
	c := newPermitCell(t, 0)
	const lateGrace = 500 * time.Millisecond
	c.tracker = NewTracker(Options{Lateness: lateness.Options{Shift: lateShift, Grace: lateGrace}})
	c.sched = schedule.New(schedule.Options{
		Seed: seed, KeepRunning: true, MaxReservations: maxReservations, PressingSlack: 4 * time.Second,
		AgeingSpan: time.Second, Lateness: lateness.Options{Shift: lateShift, Grace: lateGrace},
	})
	c.addWorkers(loadWorkers)
	l := &heavyLoad{
		permitCell: c, rand: rand.New(rand.NewPCG(seed, 1)), jobs: []*loadJob{nil},
		balancer: NewBalancer(c.now.Add(-time.Minute)), busy: map[string]model.Time{}, replies: map[model.Time][]reply{},
	}
	var teams []model.Team
	for i := range loadTeams {
		teams = append(teams, model.Team{Name: teamName(i), Share: int64(1 + i%4), MaxRunning: math.MaxInt32})
	}
	c.sched.Apply(schedule.ConfigChanged{Teams: teams})
	for i := range loadEntries {
		l.entries = append(l.entries, Entry{Address: strconv.Itoa(i)})
	}
	return l
}

func teamName(i int) string { return "t" + strconv.Itoa(i) }

// around returns a positive random number with the given mean and relative deviation.
func (l *heavyLoad) around(mean, deviation float64) float64 {
	s := math.Sqrt(math.Log(1 + deviation*deviation))
	return mean * math.Exp(s*l.rand.NormFloat64()-s*s/2)
}

// arrive submits the jobs of a class that arrive in one step.
func (l *heavyLoad) arrive(c *loadClass) {
	for p := c.perSecond * cellStep / 1000; p > 0; p-- {
		if l.rand.Float64() < p {
			l.submitJob(c)
		}
	}
}

func (l *heavyLoad) submitJob(c *loadClass) {
	run := min(time.Duration(l.around(float64(c.run), 0.5)), 5*c.run/2)
	declared := time.Duration(float64(run) * (1 + c.runTimeMisjudge*(2*l.rand.Float64()-1)))
	due := time.Duration(c.stretch*float64(declared)) + c.allowance
	j := &loadJob{class: c, run: run, submitted: l.now, spec: model.JobSpec{
		Name:     fmt.Sprint(c.perSecond),
		Team:     teamName(l.rand.IntN(loadTeams)),
		Tasks:    min(max(int32(l.around(c.tasks, 0.8)+0.5), 1), c.mostTasks),
		Patience: model.Duration(max(due-declared, 0)),
		Size: model.Resources{
			CPU:    min(max(int64(l.around(c.cpu, 0.4)), 100), c.mostCPU),
			Memory: min(max(int64(l.around(c.memory, 0.5)), 100), workerMemory/2),
		},
	}}
	if l.rand.Float64() < c.gangs {
		j.spec.Policy = model.PolicyGang
	}
	const workersInQuery = 30 // of the one query that the objective allows for
	j.objective = time.Duration(c.stretch*float64(run+c.query+workersInQuery*c.queryWorker)) + c.allowance
	j.pending, j.left = int64(j.spec.Tasks), int64(j.spec.Tasks)
	id := model.JobID(len(l.jobs))
	l.jobs = append(l.jobs, j)
	startBy := l.now.Add(j.spec.Patience.Std())
	l.sched.Apply(schedule.JobSubmitted{ID: id, Spec: j.spec, Team: j.spec.Team, At: l.now, StartBy: startBy, NeedsPermit: true})
	l.tracker.Add(id, workerclient.TaskName{Workflow: "f"}, lateness.Job{PromisedStart: startBy})
}

// Demand implements Scheduler.
func (l *heavyLoad) Demand(id model.JobID) Demand {
	j := l.jobs[id]
	return Demand{Tasks: j.pending, AllAtOnce: j.spec.Policy == model.PolicyGang}
}

// CanSend implements Scheduler.
func (l *heavyLoad) CanSend(id model.JobID, workers int) bool {
	short, long := l.balancer.Available(l.entries, l.now)
	if c := l.jobs[id].class; IsLong(c.query + time.Duration(workers)*c.queryWorker) {
		return long
	}
	return short
}

// step lets cellStep pass.
func (l *heavyLoad) step() {
	l.now += cellStep
	for len(l.ends) > 0 && l.ends[0].at <= l.now {
		l.endTask(heap.Pop(&l.ends).(taskEnd).id)
	}
	for _, r := range l.replies[l.now] {
		l.balancer.End(r.entry, r.cost, true, l.now)
		l.applyAdvice(&r.query, func(w model.WorkerID) bool { return l.permitsJob(r.query.Job, w) })
	}
	delete(l.replies, l.now)
	l.tracker.EachDueQuery(l.now, l, func(q Query) bool {
		c := l.jobs[q.Job].class
		cost := c.query + time.Duration(len(q.Workers))*c.queryWorker
		if entry, ok := l.balancer.Choose(l.entries, cost, l.now); ok {
			l.send(&q, entry, cost)
		}
		short, _ := l.balancer.Available(l.entries, l.now)
		return short
	})
	for _, p := range l.sched.Plan(l.now, 1024).Placements {
		l.place(&p)
	}
}

func (l *heavyLoad) send(q *Query, entry string, cost time.Duration) {
	l.balancer.Begin(entry, cost)
	l.tracker.MarkSent(q)
	l.busy[entry] = max(l.busy[entry], l.now).Add(cost)
	at := l.busy[entry].Add(replyDelay)
	at += (cellStep - at%cellStep) % cellStep
	l.replies[at] = append(l.replies[at], reply{*q, entry, cost})
}

func (l *heavyLoad) place(p *schedule.Placement) {
	j := l.jobs[p.Task.Job]
	l.sched.Apply(schedule.TaskPlaced{Task: p.Task, Worker: p.Worker, Size: p.Size, At: l.now})
	l.sched.Apply(schedule.TaskRunning{Task: p.Task, At: l.now})
	j.pending--
	heap.Push(&l.ends, taskEnd{l.now.Add(j.run + startDelay), p.Task})
}

func (l *heavyLoad) endTask(id model.TaskID) {
	j := l.jobs[id.Job]
	l.sched.Apply(schedule.TaskEnded{Task: id, Outcome: schedule.Succeeded, RanFor: j.run, At: l.now, Final: true})
	if j.left--; j.left == 0 {
		j.ended = l.now
		l.tracker.Remove(id.Job)
	}
}

// permitsJob reports whether the policy service permits a worker for a job.
func (l *heavyLoad) permitsJob(id model.JobID, w model.WorkerID) bool {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", id, w)
	return float64(h.Sum64()*0x9e3779b97f4a7c15>>40)/(1<<24) < l.jobs[id].class.permitted
}

// The value of a job has a part that is the same for all of a class and one by its work,
// so that neither the many small nor the few large ones decide alone.
const (
	equalValue = 0.3
	workValue  = 0.7
	mostValue  = 4
)

// value returns the share of the value of some jobs that their callers got.
func value(js []*loadJob, meanWork float64) float64 {
	useful, asked := 0.0, 0.0
	for _, j := range js {
		w := min(equalValue+workValue*j.work()/meanWork, mostValue)
		useful += w * j.useful()
		asked += w
	}
	return useful / asked
}

// valueOf returns what callers got of the value of a class, and of its largest tenth.
func (l *heavyLoad) valueOf(c *loadClass) (all, largest float64) {
	var js []*loadJob
	mean := 0.0
	for _, j := range l.jobs[1:] {
		if j.class == c {
			js = append(js, j)
			mean += j.work()
		}
	}
	mean /= float64(len(js))
	slices.SortStableFunc(js, func(a, b *loadJob) int { return cmp.Compare(b.work(), a.work()) })
	return value(js, mean), value(js[:len(js)/10+1], mean)
}

// runHeavyLoad plays loadTime with large gangs, wide steps and small urgent jobs, and
// loadDrain without arrivals. It returns the load, and the large, wide and small class.
func runHeavyLoad(t testing.TB, seed uint64, lateShift time.Duration) (*heavyLoad, []*loadClass) {
	classes := []*loadClass{
		{perSecond: 5.6, tasks: 20, mostTasks: 120, cpu: 4500, mostCPU: 7600, memory: 6300, run: 5 * time.Second, stretch: 2.2, allowance: 1200 * time.Millisecond,
			gangs: 1, permitted: 0.3, query: 440 * time.Millisecond, queryWorker: 6200 * time.Microsecond, runTimeMisjudge: 0.5},
		{perSecond: 14.8, tasks: 25, mostTasks: 150, cpu: 1700, mostCPU: 5200, memory: 1800, run: 2700 * time.Millisecond, stretch: 4, allowance: 3 * time.Second,
			permitted: 0.45, query: 100 * time.Millisecond, queryWorker: 1400 * time.Microsecond, runTimeMisjudge: 0.2},
		{perSecond: 88, tasks: 3.2, mostTasks: 19, cpu: 2500, mostCPU: 7400, memory: 2500, run: time.Second, stretch: 1.5, allowance: 500 * time.Millisecond,
			gangs: 0.3, permitted: 0.7, query: 11 * time.Millisecond, queryWorker: 160 * time.Microsecond, runTimeMisjudge: 0.9},
	}
	l := newHeavyLoad(t, seed, lateShift)
	for end := l.now.Add(loadTime); l.now < end; {
		for _, c := range classes {
			l.arrive(c)
		}
		l.step()
	}
	for end := l.now.Add(loadDrain); l.now < end; {
		l.step()
	}
	return l, classes
}

func TestLargeJobsGetTheirPartUnderHeavyLoad(t *testing.T) {
	l, classes := runHeavyLoad(t, 1, 30*time.Second)
	for i, c := range classes {
		all, largest := l.valueOf(c)
		assert.Assert(t, largest >= all/2, "class %d gets %.3f, the largest tenth of it %.3f", i, all, largest)
	}
	for id, j := range l.jobs[1:] {
		assert.Assert(t, j.ended != 0, "job %d has not ended", id+1)
	}
}

// BenchmarkHeavyLoad measures what callers get, as a mean over the seeds from 1 to N.
func BenchmarkHeavyLoad(b *testing.B) {
	for _, lateShift := range []time.Duration{15 * time.Second, 30 * time.Second, 60 * time.Second} {
		b.Run("late_shift="+lateShift.String(), func(b *testing.B) {
			sums := map[string]float64{}
			for i := range b.N {
				l, classes := runHeavyLoad(b, uint64(i+1), lateShift)
				for k, name := range []string{"large", "wide", "small"} {
					all, largest := l.valueOf(classes[k])
					sums[name+"-value"] += all
					sums[name+"-tenth-value"] += largest
				}
			}
			for name, sum := range sums {
				b.ReportMetric(sum/float64(b.N), name)
			}
		})
	}
}
