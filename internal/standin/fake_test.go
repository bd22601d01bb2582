package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

const testTimeout = 30 * time.Second

// fakeEntry implements the worker API of an entry process for one worker.
type fakeEntry struct {
	*httptest.Server
	leaseMS int64

	mu             sync.Mutex
	session        uint64
	commands       []api.Command // returned by each poll until removed
	reports        []api.Report
	leaving        bool
	heartbeats     int
	usage          []int // number of usage records in each heartbeat that was answered without an error
	heartbeatError error
	down           bool
	changed        chan struct{}
}

func newFakeEntry(t *testing.T, leaseMS int64) *fakeEntry {
	f := &fakeEntry{leaseMS: leaseMS, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/workers", f.announce)
	mux.HandleFunc("POST /v1/workers/{id}/heartbeat", f.heartbeat)
	mux.HandleFunc("GET /v1/workers/{id}/commands", f.poll)
	mux.HandleFunc("POST /v1/workers/{id}/reports", f.report)
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

// change runs fn while holding the lock and wakes all waiters.
func (f *fakeEntry) change(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeEntry) waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	limit := time.After(testTimeout)
	for {
		f.mu.Lock()
		ok, changed := cond(), f.changed
		f.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatal("timed out waiting for the condition")
		}
	}
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		w.WriteHeader(errkind.RowOf(errkind.Of(err)).Status)
		json.NewEncoder(w).Encode(errkind.BodyOf(err, ""))
		return
	}
	json.NewEncoder(w).Encode(v)
}

func (f *fakeEntry) announce(w http.ResponseWriter, _ *http.Request) {
	var a api.AnnounceAnswer
	var err error
	f.change(func() {
		if f.down {
			err = errkind.New(errkind.Draining, "down")
			return
		}
		f.session++
		a = api.AnnounceAnswer{Session: f.session, LeaseMS: f.leaseMS}
	})
	answer(w, &a, err)
}

func (f *fakeEntry) heartbeat(w http.ResponseWriter, r *http.Request) {
	var b api.Heartbeat
	json.NewDecoder(r.Body).Decode(&b)
	var err error
	f.change(func() {
		f.heartbeats++
		if f.heartbeatError == nil {
			f.usage = append(f.usage, len(b.Usage))
		}
		f.leaving = f.leaving || b.Leaving
		err = f.heartbeatError
	})
	answer(w, &api.HeartbeatAnswer{LeaseMS: f.leaseMS}, err)
}

func (f *fakeEntry) poll(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	commands, changed, down := f.commands, f.changed, f.down
	f.mu.Unlock()
	if down {
		answer(w, nil, errkind.New(errkind.Draining, "down"))
		return
	}
	if len(commands) == 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
		}
	}
	answer(w, &api.Commands{Commands: commands}, nil)
}

func (f *fakeEntry) report(w http.ResponseWriter, r *http.Request) {
	var b api.Reports
	json.NewDecoder(r.Body).Decode(&b)
	f.change(func() { f.reports = append(f.reports, b.Reports...) })
	answer(w, struct{}{}, nil)
}

// hasReport reports whether a report of task with state was received. The caller must
// hold the lock.
func (f *fakeEntry) hasReport(task model.TaskID, state api.ReportState) bool {
	for _, r := range f.reports {
		if r.Task == task && r.State == state {
			return true
		}
	}
	return false
}

// startWorker runs a worker until the test ends. It returns the history file and a
// function that makes the worker leave and waits until it has stopped.
func startWorker(t *testing.T, change func(*WorkerOptions), entries ...string) (string, func()) {
	path := filepath.Join(t.TempDir(), "history")
	o := WorkerOptions{
		Entries: entries, Key: "k", HistoryFile: path, Logger: log.New(io.Discard),
		Spec: model.WorkerSpec{ID: "w1", Capacity: model.Resources{CPU: 16000, Memory: 32768}},
	}
	if change != nil {
		change(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- RunWorker(ctx, o) }()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-done == nil)
	})
	t.Cleanup(stop)
	return path, stop
}

func events(t *testing.T, path string, kind EventKind) []Event {
	t.Helper()
	all, err := ReadHistory(path)
	assert.NilError(t, err)
	var out []Event
	for _, e := range all {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}
