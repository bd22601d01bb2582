package session_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/lease"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/session"
	"github.com/filbertmast/filbertmast/internal/standin"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// These tests run the whole chain of a worker's lease: stand-in workers, HTTP,
// two entries, the inner protocol, and a small leader that places tasks again
// when a lease has ended. The history of the workers is checked at the end.

const (
	chainLease  = 3 * time.Second
	chainDrift  = 500 * time.Millisecond
	chainTick   = 50 * time.Millisecond
	chainLimit  = time.Minute
	chainTasks  = 6
	chainWorker = 3 // workers
)

// chainLeader places each task on one worker at a time.
type chainLeader struct {
	t        *testing.T
	endpoint *wire.Endpoint
	start    time.Time

	mu       sync.Mutex
	table    *lease.Table
	session  uint64
	fence    uint64
	sessions map[model.WorkerID]chainSession
	tasks    map[model.TaskID]*chainTask
	changed  chan struct{}
}

type chainSession struct {
	number uint64
	entry  string
}

type chainTask struct {
	worker  model.WorkerID // empty: to be placed
	fence   model.Fence
	running bool
}

// commands is what the leader posts to an entry.
type commands struct {
	Worker   model.WorkerID
	Session  uint64
	Commands []api.Command
}

type chainReports struct {
	Worker  model.WorkerID
	Session uint64
	Reports []api.Report
}

type renewed struct {
	Lease time.Duration
	Err   *errkind.Body
}

type empty struct{}

func newChainLeader(t *testing.T) *chainLeader {
	l := &chainLeader{
		t:        t,
		endpoint: chainEndpoint(t, "leader", nil),
		start:    time.Now(),
		table:    lease.New(lease.Options{Length: chainLease, Drift: chainDrift}),
		sessions: make(map[model.WorkerID]chainSession),
		tasks:    make(map[model.TaskID]*chainTask),
		changed:  make(chan struct{}),
	}
	l.table.Begin(l.now(), nil)
	for i := range chainTasks {
		l.tasks[model.TaskID{Job: 1, Index: int32(i)}] = &chainTask{}
	}
	wire.Handle(l.endpoint, wire.KindAnnounce, l.announce)
	wire.Handle(l.endpoint, wire.KindRenew, l.renew)
	wire.Handle(l.endpoint, wire.KindReports, l.reports)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.run(ctx)
	return l
}

func chainEndpoint(t *testing.T, name string, faults *wire.Faults) *wire.Endpoint {
	e, err := wire.Listen(wire.Options{
		Address: "127.0.0.1:0", Name: name, Region: "south", Faults: faults,
		Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

func (l *chainLeader) now() model.Time { return model.TimeOf(l.start.Add(time.Since(l.start))) }

// change runs fn under the lock, places what waits, and wakes the test.
func (l *chainLeader) change(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
	l.place()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *chainLeader) run(ctx context.Context) {
	tick := time.NewTicker(chainTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.change(func() {
				for _, c := range l.table.Expired(l.now()) {
					delete(l.sessions, c.Worker)
					l.release(c.Worker)
				}
			})
		}
	}
}

// release puts back the tasks of a worker that runs nothing any more.
func (l *chainLeader) release(id model.WorkerID) {
	for _, task := range l.tasks {
		if task.worker == id {
			*task = chainTask{fence: task.fence}
		}
	}
}

// place spreads waiting tasks over the workers, and sends every start that is
// not confirmed.
func (l *chainLeader) place() {
	held := make(map[model.WorkerID]int)
	for _, task := range l.tasks {
		held[task.worker]++
	}
	for id, task := range l.tasks {
		if task.worker == "" {
			best := l.leastLoaded(held)
			if best == "" {
				return
			}
			l.fence++
			*task = chainTask{worker: best, fence: model.Fence{Term: 1, Index: l.fence}}
			held[best]++
			l.send(id, task)
		}
	}
}

func (l *chainLeader) leastLoaded(held map[model.WorkerID]int) (best model.WorkerID) {
	for id := range l.sessions {
		if best == "" || held[id] < held[best] {
			best = id
		}
	}
	return best
}

func (l *chainLeader) send(id model.TaskID, task *chainTask) {
	s := l.sessions[task.worker]
	c := api.Command{Op: api.CommandStart, Task: id, Fence: task.fence, Payload: "run=1h"}
	wire.Post(l.endpoint, s.entry, wire.KindCommands, &commands{task.worker, s.number, []api.Command{c}})
}

func (l *chainLeader) announce(_ context.Context, from wire.Peer, spec *model.WorkerSpec) (*api.AnnounceAnswer, error) {
	a := &api.AnnounceAnswer{LeaseMS: chainLease.Milliseconds()}
	var err error
	l.change(func() {
		l.session++
		a.Session = l.session
		err = l.table.Grant(lease.Claim{Worker: spec.ID, Session: l.session}, l.now())
		l.sessions[spec.ID] = chainSession{l.session, from.Address}
		l.release(spec.ID) // a worker that announces itself runs nothing
	})
	return a, err
}

func (l *chainLeader) renew(_ context.Context, from wire.Peer, batch *[]session.Renewal) (*[]renewed, error) {
	out := make([]renewed, len(*batch))
	l.change(func() {
		for i, r := range *batch {
			if err := l.table.Renew(lease.Claim{Worker: r.Worker, Session: r.Session}, l.now()); err != nil {
				body := errkind.BodyOf(err, "")
				out[i].Err = &body
				continue
			}
			out[i].Lease = chainLease
			l.sessions[r.Worker] = chainSession{r.Session, from.Address}
			for id, task := range l.tasks {
				if task.worker == r.Worker && !task.running {
					l.send(id, task)
				}
			}
		}
	})
	return &out, nil
}

func (l *chainLeader) reports(_ context.Context, _ wire.Peer, m *chainReports) (*empty, error) {
	l.change(func() {
		for _, r := range m.Reports {
			task := l.tasks[r.Task]
			if task.worker != m.Worker || task.fence != r.Fence {
				continue
			}
			if r.State == api.ReportStarted {
				task.running = true
				continue
			}
			*task = chainTask{fence: task.fence}
		}
	})
	return &empty{}, nil
}

// waitRunning waits until cond holds and every task runs.
func (l *chainLeader) waitRunning(cond func() bool) {
	l.t.Helper()
	limit := time.After(chainLimit)
	for {
		l.mu.Lock()
		ok, changed := cond(), l.changed
		for _, task := range l.tasks {
			ok = ok && task.running
		}
		l.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-limit:
			l.t.Fatal("tasks do not run again")
		}
	}
}

// chainEntry is one entry process: HTTP for workers in front of a Manager.
type chainEntry struct {
	*httptest.Server
	endpoint *wire.Endpoint
	faults   *wire.Faults
	manager  *session.Manager
	leader   string

	mu     sync.Mutex
	frozen chan struct{} // when set, every call waits until it is closed
}

func newChainEntry(t *testing.T, name string, leader *chainLeader) *chainEntry {
	e := &chainEntry{faults: new(wire.Faults), leader: leader.endpoint.Address()}
	e.endpoint = chainEndpoint(t, name, e.faults)
	e.manager = session.New(session.Options{
		Upstream: e, Lease: chainLease, RenewEvery: chainTick,
		Logger: log.New(io.Discard), Registerer: prometheus.NewRegistry(),
	})
	wire.HandlePost(e.endpoint, wire.KindCommands, func(_ wire.Peer, m *commands) {
		e.thaw()
		e.manager.Deliver(m.Worker, m.Session, m.Commands)
	})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/workers", func(w http.ResponseWriter, r *http.Request) {
		var spec model.WorkerSpec
		json.NewDecoder(r.Body).Decode(&spec)
		a, err := e.manager.Announce(r.Context(), &spec)
		answer(w, a, err)
	})
	mux.HandleFunc("POST /v1/workers/{id}/heartbeat", func(w http.ResponseWriter, r *http.Request) {
		var h api.Heartbeat
		json.NewDecoder(r.Body).Decode(&h)
		a, err := e.manager.Heartbeat(r.Context(), model.WorkerID(r.PathValue("id")), &h)
		answer(w, a, err)
	})
	mux.HandleFunc("GET /v1/workers/{id}/commands", func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.ParseUint(r.URL.Query().Get("session"), 10, 64)
		a, err := e.manager.Commands(r.Context(), model.WorkerID(r.PathValue("id")), number, chainLease)
		answer(w, a, err)
	})
	mux.HandleFunc("POST /v1/workers/{id}/reports", func(w http.ResponseWriter, r *http.Request) {
		var m api.Reports
		json.NewDecoder(r.Body).Decode(&m)
		answer(w, empty{}, e.manager.Report(r.Context(), model.WorkerID(r.PathValue("id")), &m))
	})
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.thaw()
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		w.WriteHeader(errkind.RowOf(errkind.Of(err)).Status)
		json.NewEncoder(w).Encode(errkind.BodyOf(err, ""))
		return
	}
	json.NewEncoder(w).Encode(v)
}

func (e *chainEntry) freeze() (wake func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	frozen := make(chan struct{})
	e.frozen = frozen
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.frozen = nil
		close(frozen)
	})
}

func (e *chainEntry) thaw() {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (e *chainEntry) Announce(ctx context.Context, spec *model.WorkerSpec) (api.AnnounceAnswer, error) {
	a, err := wire.Call[model.WorkerSpec, api.AnnounceAnswer](ctx, e.endpoint, e.leader, wire.KindAnnounce, spec)
	if err != nil {
		return api.AnnounceAnswer{}, err
	}
	return *a, nil
}

func (e *chainEntry) Renew(ctx context.Context, batch []session.Renewal) ([]session.RenewalResult, error) {
	a, err := wire.Call[[]session.Renewal, []renewed](ctx, e.endpoint, e.leader, wire.KindRenew, &batch)
	if err != nil {
		return nil, err
	}
	out := make([]session.RenewalResult, len(*a))
	for i, r := range *a {
		out[i].Lease = r.Lease
		if r.Err != nil {
			out[i].Err = r.Err.Err()
		}
	}
	return out, nil
}

func (e *chainEntry) Report(ctx context.Context, worker model.WorkerID, number uint64, reports []api.Report) error {
	_, err := wire.Call[chainReports, empty](ctx, e.endpoint, e.leader, wire.KindReports, &chainReports{worker, number, reports})
	return err
}

// startWorkers runs workers that know both entries, and returns their history
// file. The last worker begins at b, so that tasks have a place to go to.
func startWorkers(t *testing.T, a, b string) string {
	path := filepath.Join(t.TempDir(), "history")
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range chainWorker {
		entries := []string{a, b}
		if i == chainWorker-1 {
			entries = []string{b, a}
		}
		o := standin.WorkerOptions{
			Entries: entries, Key: "k", HistoryFile: path, LeaveTimeout: time.Millisecond,
			Spec: model.WorkerSpec{ID: model.WorkerID("w" + strconv.Itoa(i))}, Logger: log.New(io.Discard),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			assert.Check(t, standin.RunWorker(ctx, o) == nil)
		}()
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return path
}

func starts(t *testing.T, path string) (n int) {
	events, err := standin.ReadHistory(path)
	assert.NilError(t, err)
	for _, e := range events {
		if e.Kind == standin.EventStart {
			n++
		}
	}
	return n
}

// allMoved reports whether every worker has been heard at another entry, or,
// unless sameSession is set, has announced itself again. Callers hold the lock.
func (l *chainLeader) allMoved(to *chainEntry, sameSession bool) bool {
	for _, s := range l.sessions {
		renewed := s.number > chainWorker
		if renewed && sameSession || !renewed && s.entry != to.endpoint.Address() {
			return false
		}
	}
	return len(l.sessions) == chainWorker
}

// beginTerm does what a new leader does: it knows the workers and no renewals.
func (l *chainLeader) beginTerm() {
	l.change(func() {
		var held []lease.Claim
		for id, s := range l.sessions {
			held = append(held, lease.Claim{Worker: id, Session: s.number})
		}
		l.table.Begin(l.now(), held)
	})
}

func TestNoTaskRunsInTwoPlacesWhileTheChainOfALeaseBreaks(t *testing.T) {
	type failure func(l *chainLeader, a, b *chainEntry) (heal func(), over func() bool)
	for name, row := range map[string]struct {
		fail failure
		goOn bool // every task goes on where it is
	}{
		"an entry dies and its workers go to another": {func(l *chainLeader, a, b *chainEntry) (func(), func() bool) {
			a.CloseClientConnections()
			a.Listener.Close()
			a.endpoint.Close()
			return func() {}, func() bool { return l.allMoved(b, true) }
		}, true},
		"a new leader knows no renewals": {func(l *chainLeader, _, _ *chainEntry) (func(), func() bool) {
			l.beginTerm()
			end := l.now().Add(chainLease + chainDrift + 2*chainTick)
			return func() {}, func() bool { return l.now() > end }
		}, true},
		"an entry is cut off from the leader both ways": {func(l *chainLeader, a, b *chainEntry) (func(), func() bool) {
			a.faults.Cut(l.endpoint.Address())
			return a.faults.Heal, func() bool { return l.allMoved(b, false) }
		}, false},
		"an entry no longer hears the leader, which hears it": {func(l *chainLeader, a, b *chainEntry) (func(), func() bool) {
			a.faults.CutFrom(l.endpoint.Address())
			return a.faults.Heal, func() bool { return l.allMoved(b, false) }
		}, false},
		"an entry freezes and wakes after the leases": {func(l *chainLeader, a, b *chainEntry) (func(), func() bool) {
			return a.freeze(), func() bool { return l.allMoved(b, false) }
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newChainLeader(t)
			a, b := newChainEntry(t, "a", l), newChainEntry(t, "b", l)
			path := startWorkers(t, a.URL, b.URL)
			l.waitRunning(func() bool { return len(l.sessions) == chainWorker })
			before := starts(t, path)
			heal, over := row.fail(l, a, b)
			t.Cleanup(heal)
			l.waitRunning(over)
			heal()
			l.waitRunning(func() bool { return len(l.sessions) == chainWorker })
			if row.goOn {
				assert.Equal(t, starts(t, path), before)
			}
			events, err := standin.ReadHistory(path)
			assert.NilError(t, err)
			for _, v := range standin.CheckHistory(events) {
				t.Error(v)
			}
		})
	}
}
