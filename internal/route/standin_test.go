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

// run is one execution that a stand-in executor has on record.
type run struct {
	request  string
	executor string
	epoch    string
	start    time.Time
	end      time.Time
}

// history is what all stand-in executors really ran.
type history struct {
	mu         sync.Mutex
	runs       []*run
	maxRunning map[string]int // most runs at once by executor
	running    map[string]int

	totalRunning, maxTotalRunning int // runs at once of all executors
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

// count returns how often a request ran.
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

// standIn is an executor for tests. By default it answers with the request's
// ID and the number of bytes that it got.
type standIn struct {
	id      string
	history *history
	server  *httptest.Server
	handle  http.HandlerFunc // in place of the default
	noEcho  bool
	refuse  func() bool // answers with a typed refusal and runs nothing
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

// finishKey is the key of the function that writes down the end of a run.
type finishKey struct{}

// finishRun writes down that the run is over. A handler that answers on the
// connection itself calls it before the answer leaves.
func finishRun(r *http.Request) {
	if finish, ok := r.Context().Value(finishKey{}).(func()); ok {
		finish()
	}
}

// raw takes the connection over and writes an answer byte by byte; the
// connection is closed afterwards.
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

// never reads the request and holds it until its connection ends.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}
