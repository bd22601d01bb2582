package route

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/model"
)

// run is one execution of a request by a stand-in executor.
type run struct {
	request  string
	executor string
	epoch    string
	start    time.Time
	end      time.Time
}

// history records what all stand-in executors ran.
type history struct {
	mu         sync.Mutex
	runs       []*run
	maxRunning map[string]int // highest number of concurrent runs, by executor
	running    map[string]int

	totalRunning, maxTotalRunning int // concurrent runs of all executors
}

func newHistory() *history {
	return &history{maxRunning: make(map[string]int), running: make(map[string]int)}
}

func (h *history) begin(executor, request, epoch string) *run {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &run{request: request, executor: executor, epoch: epoch, start: time.Now()}
	h.runs = append(h.runs, r)
	h.running[executor]++
	h.maxRunning[executor] = max(h.maxRunning[executor], h.running[executor])
	h.totalRunning++
	h.maxTotalRunning = max(h.maxTotalRunning, h.totalRunning)
	return r
}

func (h *history) finish(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.end = time.Now()
	h.running[r.executor]--
	h.totalRunning--
}

// count returns the number of runs of a request.
func (h *history) count(request string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.runs {
		if r.request == request {
			n++
		}
	}
	return n
}

// standIn is an executor for tests. By default it answers with "answer to " and
// the request ID.
type standIn struct {
	id      string
	history *history
	server  *httptest.Server
	handle  http.HandlerFunc // replaces the default
	noEcho  bool
	refuse  func() bool // if it returns true, the request gets a typed refusal and does not run
}

func newStandIn(t testing.TB, h *history, id string, handle http.HandlerFunc) *standIn {
	t.Helper()
	s := &standIn{id: id, history: h, handle: handle}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.server.Close)
	return s
}

func (s *standIn) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	if s.refuse != nil && s.refuse() {
		w.Header().Set(api.HeaderRequestID, id)
		w.Header().Set(api.HeaderRefused, "busy")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := s.history.begin(s.id, id, r.Header.Get(api.HeaderEpoch))
	finish := sync.OnceFunc(func() { s.history.finish(run) })
	defer finish()
	r = r.WithContext(context.WithValue(r.Context(), finishKey{}, finish))
	if !s.noEcho {
		w.Header().Set(api.HeaderRequestID, id)
	}
	if s.handle != nil {
		s.handle(w, r)
		return
	}
	fmt.Fprintf(w, "answer to %s", id)
}

func (s *standIn) spec(service string, slots, connections int32) model.ExecutorSpec {
	return model.ExecutorSpec{
		ID:          s.id,
		Service:     service,
		Address:     strings.TrimPrefix(s.server.URL, "http://"),
		Slots:       slots,
		Connections: connections,
	}
}

// finishKey is the context key of the function that records the end of a run.
type finishKey struct{}

// finishRun records the end of the run. A handler that writes to the connection
// itself must call it before it writes the answer.
func finishRun(r *http.Request) {
	if finish, ok := r.Context().Value(finishKey{}).(func()); ok {
		finish()
	}
}

// rawAnswer returns a handler that hijacks the connection, writes the bytes of
// an answer to it, and closes it.
func rawAnswer(answer func(id string) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(api.HeaderRequestID)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		finishRun(r)
		_, _ = buf.WriteString(answer(id))
		_ = buf.Flush()
		_ = conn.Close()
	}
}

// neverAnswer reads the request and returns only when the connection ends.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
