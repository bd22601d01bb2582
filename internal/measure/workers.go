package measure

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/session"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	announceRate       = 400 // announcements per second, below the rate limit of the leader
	renewInterval      = 5 * time.Second
	renewBatch         = 500 // renewals in one call, as an entry sends them
	awaitTasksTimeout  = 60 * time.Second
	pollInterval       = 20 * time.Millisecond
	taskTime           = 500 * time.Millisecond
	tasksPerLoadWorker = 64 // tasks that one worker has room for
)

// simulatedWorkers simulates workers and their entry: it reacts to start commands
// with reports.
type simulatedWorkers struct {
	l        *loadClient
	count    int
	tasksEnd bool // whether tasks end after taskTime
	onStart  func(model.TaskID, time.Time)
	reports  *session.ReportBatcher

	mu       sync.Mutex
	sessions map[model.WorkerID]uint64
	started  map[model.TaskID]bool
	ended    int
	running  sync.WaitGroup
}

func newSimulatedWorkers(l *loadClient, count int, ends bool) *simulatedWorkers {
	w := &simulatedWorkers{l: l, count: count, tasksEnd: ends,
		onStart:  func(model.TaskID, time.Time) {},
		sessions: make(map[model.WorkerID]uint64), started: make(map[model.TaskID]bool)}
	w.reports = session.NewReportBatcher(w.sendReports, 0, 0)
	wire.HandlePost(l.endpoint, wire.KindCommands, func(_ wire.Peer, m *proto.Commands) { w.handleCommands(m) })
	return w
}

// announce registers all workers and renews their leases until ctx ends.
func (w *simulatedWorkers) announce(ctx context.Context) {
	room := model.Resources{CPU: taskSize.CPU * tasksPerLoadWorker, Memory: taskSize.Memory * tasksPerLoadWorker}
	length := time.Duration(float64(w.count) / announceRate * float64(time.Second))
	w.l.runAtRate(ctx, announceRate, length, func(i int) {
		spec := workerSpec(i, room)
		a, err := call[proto.Announce, proto.Announced](ctx, w.l, wire.KindAnnounce, &proto.Announce{Spec: spec})
		if err != nil {
			return
		}
		w.mu.Lock()
		w.sessions[spec.ID] = a.Session
		w.mu.Unlock()
	})
	go w.renewLeases(ctx)
}

// renewLeases renews every lease at intervals of renewInterval until ctx ends.
func (w *simulatedWorkers) renewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		for from := 0; from < w.count; from += renewBatch {
			w.renew(ctx, from, min(renewBatch, w.count-from), nil)
		}
		select {
		case <-time.After(renewInterval):
		case <-ctx.Done():
		}
	}
}

// renew sends one batch of renewals for n workers beginning with the given one,
// each with the given task usages.
func (w *simulatedWorkers) renew(ctx context.Context, from, n int, used []api.TaskUsage) {
	req := &proto.Renewals{}
	w.mu.Lock()
	for i := range n {
		id := workerName((from + i) % w.count)
		req.Renewals = append(req.Renewals, proto.Renewal{Worker: id, Session: w.sessions[id], Usage: used})
	}
	w.mu.Unlock()
	// loadClient counts a failed call; the next round renews the leases as well.
	_, _ = call[proto.Renewals, proto.RenewalResponse](ctx, w.l, wire.KindRenew, req)
}

func (w *simulatedWorkers) handleCommands(m *proto.Commands) {
	at := time.Now()
	for _, c := range m.Commands {
		if c.Op == api.CommandStart && w.markStarted(c.Task) {
			w.onStart(c.Task, at)
			w.running.Add(1)
			go w.run(m.Worker, m.Session, c)
		}
	}
}

func (w *simulatedWorkers) markStarted(id model.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started[id] {
		return false
	}
	w.started[id] = true
	return true
}

func (w *simulatedWorkers) run(worker model.WorkerID, session uint64, c api.Command) {
	defer w.running.Done()
	w.report(worker, session, api.Report{Task: c.Task, Fence: c.Fence, State: api.ReportStarted})
	if !w.tasksEnd {
		return
	}
	time.Sleep(taskTime)
	w.report(worker, session, api.Report{Task: c.Task, Fence: c.Fence, State: api.ReportSucceeded, RanMS: taskTime.Milliseconds()})
	w.mu.Lock()
	w.ended++
	w.mu.Unlock()
}

// report sends one report, batched into one call with the reports of other
// workers as at an entry.
func (w *simulatedWorkers) report(worker model.WorkerID, session uint64, r api.Report) {
	// loadClient counts a failed call.
	_ = w.reports.Report(context.Background(), worker, session, []api.Report{r})
}

// sendReports sends a batch of reports to the leader.
func (w *simulatedWorkers) sendReports(ctx context.Context, batch []session.WorkerReports) ([]error, error) {
	req := &proto.Reports{}
	for _, r := range batch {
		req.Reports = append(req.Reports, state.WorkerReport(r))
	}
	resp, err := call[proto.Reports, proto.Reported](ctx, w.l, wire.KindReports, req)
	if err != nil {
		return nil, err
	}
	return make([]error, len(resp.Errors)), nil
}

func (w *simulatedWorkers) counts() (started, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.started), w.ended
}

// await waits until n tasks have started and, if tasks end, have ended. It
// returns zero, or the number of tasks that have not started after
// awaitTasksTimeout.
func (w *simulatedWorkers) await(ctx context.Context, n int) (missing int) {
	deadline := time.Now().Add(awaitTasksTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		started, ended := w.counts()
		if started >= n && (!w.tasksEnd || ended >= n) {
			return 0
		}
		time.Sleep(pollInterval)
	}
	started, _ := w.counts()
	return n - started
}
