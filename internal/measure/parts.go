package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	loadWorkers    = 2_000
	tasksPerWorker = 20 // as in the planned deployment: 430,000 tasks on 22,000 workers
	urgentEvery    = 10 // one job in 10 has no patience
	settleTime     = time.Second
)

var (
	startRates    = []float64{100, 300, 650, 1300} // task starts a second
	renewRates    = []float64{500, 1000, 2000, 4000}
	usageCounts   = []int{0, 5, 10, 20}
	submitRates   = []float64{50, 100, 200, 400}
	reportRates   = []float64{250, 500, 1000, 2000}
	burstSizes    = []int{2_500, 5_000, 10_000, 20_000} // tasks
	registerRates = []float64{25, 50, 100, 200}
)

// Part is one measurement against a running deployment.
type Part func(context.Context, *loadClient, *Report) error

// Parts holds the measurements by name.
var Parts = map[string]Part{
	"renew":    renewPart,
	"tasks":    tasksPart,
	"commands": commandsPart,
	"register": registerPart,
	"config":   configPart,
	"entry":    entryPart,
	"requests": requestsPart,
	"burst":    burstPart,
}

// Load runs the named part against the deployment in dir, whose processes must
// be running.
func Load(ctx context.Context, dir, part string) (*Report, error) {
	fn, ok := Parts[part]
	if !ok {
		return nil, fmt.Errorf("unknown part %q", part)
	}
	d, err := Open(dir)
	if err != nil {
		return nil, err
	}
	l, err := connect(ctx, d)
	if err != nil {
		return nil, err
	}
	defer l.close()
	r := newReport(fmt.Sprintf("%s, %d control processes", part, len(d.Control)))
	if _, err := l.declare(ctx, l.declarations(int(time.Now().UnixNano()%stateTeams))); err != nil {
		return nil, err
	}
	before, err := usageOf(ctx, l.leader)
	if err != nil {
		return nil, err
	}
	if err := fn(ctx, l, r); err != nil {
		return nil, err
	}
	if err := l.addPackets(ctx, r, before); err != nil {
		return nil, err
	}
	l.addFailures(r)
	r.fitSeries()
	return r, nil
}

// submit submits a batch job of a team and returns its ID.
func (l *loadClient) submit(ctx context.Context, team int, name string, tasks int, patience time.Duration) (model.JobID, error) {
	req := &proto.Submit{
		Caller: teamCaller(team),
		Spec: model.JobSpec{
			Name: name, Team: teamName(team), Queue: queueName(team), Policy: model.PolicyBatch, Tasks: int32(tasks),
			Size: taskSize, RunTime: model.Duration(taskTime), Patience: model.Duration(patience),
		},
		IdempotencyKey: fmt.Sprintf("%s-%d", name, time.Now().UnixNano()),
	}
	s, err := call[proto.Submit, proto.Submitted](ctx, l, wire.KindSubmit, req)
	if err != nil {
		return 0, err
	}
	return s.Job.ID, nil
}

// renewPart measures lease renewals by workers that run tasks, without and with
// usage reports of the tasks.
func renewPart(ctx context.Context, l *loadClient, r *Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newSimulatedWorkers(l, loadWorkers, false)
	w.announce(ctx)
	const tasks = loadWorkers * tasksPerWorker
	l.runAtRate(ctx, 20, tasks/tasksPerServed/20*time.Second, func(int) {
		_, _ = l.submit(ctx, 0, "steady", tasksPerServed, time.Hour)
	})
	r.addCount("tasks that did not start", tasks, float64(w.await(ctx, tasks)))
	w.running.Wait()
	for _, rate := range renewRates {
		time.Sleep(settleTime)
		u, length, err := l.runMetered(ctx, func() {
			l.runAtRate(ctx, rate/renewBatch, runTime, func(i int) { w.renew(ctx, i*renewBatch, renewBatch, nil) })
		})
		if err != nil {
			return err
		}
		r.addUsage("renewal a second", rate, u, length)
	}
	return usagePart(ctx, l, w, r)
}

// usagePart measures a thousand renewals per second with an increasing number of
// task usages in each.
func usagePart(ctx context.Context, l *loadClient, w *simulatedWorkers, r *Report) error {
	const rate = 1000
	for _, n := range usageCounts {
		used := make([]api.TaskUsage, n)
		for i := range used {
			used[i] = api.TaskUsage{Task: model.TaskID{Job: 1_234_567, Index: int32(i)},
				Fence: model.Fence{Term: 12, Index: 12_345_678}, Used: taskSize}
		}
		u, length, err := l.runMetered(ctx, func() {
			l.runAtRate(ctx, rate/renewBatch, runTime, func(i int) { w.renew(ctx, i*renewBatch, renewBatch, used) })
		})
		if err != nil {
			return err
		}
		r.addUsage("used task a second", float64(n*rate), u, length)
	}
	return nil
}

// startLatencies records the time from sending the submission of a task to
// receiving its start command.
type startLatencies struct {
	mu        sync.Mutex
	sent      map[model.JobID]time.Time
	urgent    map[model.JobID]bool
	early     map[model.JobID][]time.Time // receipt of start commands that arrived before the response to their submission
	latencies map[bool][]time.Duration    // by whether the job is urgent
}

func newStartLatencies() *startLatencies {
	return &startLatencies{sent: make(map[model.JobID]time.Time), urgent: make(map[model.JobID]bool),
		early: make(map[model.JobID][]time.Time), latencies: make(map[bool][]time.Duration)}
}

func (s *startLatencies) recordSubmission(id model.JobID, at time.Time, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id], s.urgent[id] = at, urgent
	for _, started := range s.early[id] {
		s.latencies[urgent] = append(s.latencies[urgent], started.Sub(at))
	}
	delete(s.early, id)
}

func (s *startLatencies) recordStart(id model.TaskID, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.sent[id.Job]
	if !ok {
		s.early[id.Job] = append(s.early[id.Job], at)
		return
	}
	urgent := s.urgent[id.Job]
	s.latencies[urgent] = append(s.latencies[urgent], at.Sub(sent))
}

func (s *startLatencies) report(r *Report, rate float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for urgent, name := range map[bool]string{false: "start of patient tasks", true: "start of urgent tasks"} {
		h := newHistogram()
		for _, d := range s.latencies[urgent] {
			if err := h.RecordValue(d.Microseconds()); err != nil {
				return err
			}
		}
		r.addLatency(name, rate, h)
	}
	return nil
}

// tasksPart measures the cost and the start latency of tasks, from submission to
// their end, at several rates.
func tasksPart(ctx context.Context, l *loadClient, r *Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newSimulatedWorkers(l, loadWorkers, true)
	w.announce(ctx)
	total := 0
	for _, rate := range startRates {
		time.Sleep(settleTime)
		s := newStartLatencies()
		w.onStart = s.recordStart
		var missing int
		u, length, err := l.runMetered(ctx, func() {
			jobs := l.runAtRate(ctx, rate/tasksPerBatch, runTime, func(i int) {
				urgent, patience := i%urgentEvery == 0, time.Hour
				if urgent {
					patience = 0
				}
				at := time.Now()
				if id, err := l.submit(ctx, 0, "batch", tasksPerBatch, patience); err == nil {
					s.recordSubmission(id, at, urgent)
				}
			})
			total += jobs * tasksPerBatch
			missing = w.await(ctx, total)
		})
		if err != nil {
			return err
		}
		ran := float64(int(rate*runTime.Seconds())) / length
		r.addUsage("task a second", ran, u, length)
		r.addCount("tasks lost", rate, float64(missing))
		if err := s.report(r, rate); err != nil {
			return err
		}
	}
	w.running.Wait()
	return nil
}

// commandsPart measures submissions of jobs that wait, and reports that change
// no state but are committed to the log.
func commandsPart(ctx context.Context, l *loadClient, r *Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newSimulatedWorkers(l, loadWorkers, false)
	w.announce(ctx)
	for _, rate := range reportRates {
		u, length, err := l.runMetered(ctx, func() {
			l.runAtRate(ctx, rate, runTime, func(i int) {
				id := workerName(i % loadWorkers)
				w.mu.Lock()
				session := w.sessions[id]
				w.mu.Unlock()
				w.report(id, session, api.Report{Task: model.TaskID{Job: 1}, State: api.ReportStarted})
			})
		})
		if err != nil {
			return err
		}
		r.addUsage("report a second", rate, u, length)
	}
	for _, rate := range submitRates {
		u, length, err := l.runMetered(ctx, func() {
			l.runAtRate(ctx, rate, runTime, func(int) {
				_, _ = l.submit(ctx, limitedTeam, "waits", 1, time.Hour)
			})
		})
		if err != nil {
			return err
		}
		r.addUsage("submission a second", rate, u, length)
	}
	return nil
}

// burstPart measures the time until tasks that are all submitted at once have
// started, as after the loss of a failure domain.
func burstPart(ctx context.Context, l *loadClient, r *Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newSimulatedWorkers(l, loadWorkers, false)
	w.announce(ctx)
	total := 0
	for _, n := range burstSizes {
		time.Sleep(settleTime)
		total += n
		missing := 0
		u, length, err := l.runMetered(ctx, func() {
			var jobs sync.WaitGroup
			for range n / tasksPerServed {
				jobs.Add(1)
				go func() {
					defer jobs.Done()
					_, _ = l.submit(ctx, 0, "burst", tasksPerServed, time.Hour)
				}()
			}
			jobs.Wait()
			missing = w.await(ctx, total)
			w.running.Wait()
		})
		if err != nil {
			return err
		}
		r.add("time until all run", "ms", "task", float64(n), 1e3*length)
		r.add("leader CPU of the burst", "ms", "task", float64(n), 1e3*u.cpu)
		r.addCount("tasks that did not start", float64(n), float64(missing))
	}
	return nil
}
