package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatEvery = 1500 * time.Millisecond
	holdMax        = 6 * time.Second
	stopTime       = 100 * time.Millisecond
	maxListedEnds  = 500
)

// run is a task that an executor runs.
type run struct {
	task    string
	number  int
	spec    string
	started time.Time
	gone    bool
}

// end is a row of finished_runs.
type end struct {
	n      int64
	task   string
	number int
	how    string
}

// executor is a stand-in of one executor. It keeps no more than one boot at a time; crash ends the
// boot and boot begins the next one at the same address.
type executor struct {
	c       *cell
	name    string // for the record
	address string // IP:port, kept over crashes
	labels  []string
	cpu     int64

	mu      sync.Mutex
	up      bool
	id      string
	born    int64
	began   time.Time
	seq     int64
	fence   uint64
	until   int64 // end of the lease, on the executor's clock
	active  map[string]*run
	ends    []end
	endN    int64
	acked   int64
	barred  map[string]int // highest run that was stopped or has ended here, by task
	changed chan struct{}
	server  *http.Server
	cancel  context.CancelFunc
	conns   connTable

	// onStart, if set, is called without the lock after a start was executed.
	onStart func(e *executor, r *run)
	// beatDelay is the time from a boot to the first liveness report.
	beatDelay time.Duration
	// intercept, if set, may take over a call before it is executed. It returns true if the call
	// is to get no answer.
	intercept func(e *executor, path string, body []byte) bool
}

func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1 }

// boot starts a life of the executor under the given id.
func (e *executor) boot(id string) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.up, e.id, e.born, e.began = true, id, time.Now().UnixMilli(), time.Now()
	e.seq, e.fence, e.until, e.endN, e.acked = 0, 0, 0, 0, 0
	e.active, e.ends, e.barred = map[string]*run{}, nil, map[string]int{}
	e.changed = make(chan struct{})
	e.cancel = cancel
	mux := http.NewServeMux()
	for _, path := range []string{"/api/run-start", "/api/run-stop", "/api/hold", "/health"} {
		mux.HandleFunc(path, e.serve)
	}
	e.server = &http.Server{Handler: mux}
	server, born := e.server, e.born
	e.conns.reset()
	e.mu.Unlock()
	e.c.rec.add("%s boots as %s, born %d", e.name, id, born)
	go func() { _ = server.Serve(&cappedListener{Listener: l, e: e}) }()
	go e.beat(ctx)
	go e.watchLease(ctx, born)
	return nil
}

// crash ends the life of the executor: it sends nothing, and all that it runs is gone.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	server := e.server
	e.cancel()
	running := ""
	for _, r := range e.active {
		r.gone = true
		e.c.noteEnd(e, r, "crashed")
		running += fmt.Sprintf(" %s run %d", r.task, r.number)
	}
	e.active = map[string]*run{}
	e.wake()
	e.mu.Unlock()
	_ = server.Close()
	e.c.rec.add("%s crashes; it ran:%s", e.name, running)
}

// wake ends the waits for an end. The caller holds mu.
func (e *executor) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// beat sends the liveness reports of one life.
func (e *executor) beat(ctx context.Context) {
	if e.beatDelay > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.beatDelay):
		}
	}
	for n := 0; ; n++ {
		e.mu.Lock()
		e.seq++
		body := map[string]any{"service": serviceName, "address": e.address, "zone": zoneName, "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": e.cpu, "mem_mb": 32768, "gpu": 0},
			"labels": e.labels, "clock_ms": e.clock(), "sequence": e.seq, "born": e.born}
		id := e.id
		e.mu.Unlock()
		for try := range 6 {
			node := e.c.control((n + try) % len(e.c.controls))
			status, _ := e.c.post(ctx, "http://"+node+"/api/instances/"+id+"/heartbeat", nil, body, time.Second)
			if status >= 200 && status < 300 {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// watchLease kills all that runs once the lease has ended.
func (e *executor) watchLease(ctx context.Context, born int64) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		if e.born == born && len(e.active) > 0 && e.clock() > e.until {
			for _, r := range e.active {
				e.finish(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// finish ends a run. The caller holds mu.
func (e *executor) finish(r *run, how string) {
	if r.gone {
		return
	}
	r.gone = true
	delete(e.active, r.task)
	e.endN++
	e.ends = append(e.ends, end{e.endN, r.task, r.number, how})
	e.barred[r.task] = max(e.barred[r.task], r.number)
	e.c.rec.add("%s: %s run %d ends %s", e.name, r.task, r.number, how)
	e.c.noteEnd(e, r, how)
	e.wake()
}

type callBody struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until_ms"`
	Fence  uint64 `json:"fence"`
	Cursor int64  `json:"ack_cursor"`
	Wait   int64  `json:"wait_ms"`
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	buf := new(bytes.Buffer)
	_, _ = buf.ReadFrom(r.Body)
	if e.intercept != nil && e.intercept(e, r.URL.Path, buf.Bytes()) {
		panic(http.ErrAbortHandler)
	}
	status, body := e.execute(r.Context(), r.URL.Path, r.Header.Get("Filbertmast-Expect-Instance"), buf.Bytes())
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// execute carries out a call and returns its response.
func (e *executor) execute(ctx context.Context, path, expected string, data []byte) (int, map[string]any) {
	var b callBody
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return http.StatusServiceUnavailable, nil
	}
	reply := func(status int, reason string) (int, map[string]any) {
		out := map[string]any{"clock_ms": e.clock(), "born": e.born}
		if reason != "" {
			out["reason"] = reason
		}
		return status, out
	}
	if expected != "" && expected != e.id {
		return reply(http.StatusMisdirectedRequest, "")
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return reply(http.StatusBadRequest, "")
	}
	if b.Fence < e.fence {
		return reply(http.StatusConflict, "fence")
	}
	e.fence = b.Fence
	switch path {
	case "/api/run-start":
		status, reason := e.start(&b)
		return reply(status, reason)
	case "/api/run-stop":
		if b.Run > e.barred[b.Task] {
			e.barred[b.Task] = b.Run
		}
		e.c.rec.add("%s is told to stop %s run %d, fence %d", e.name, b.Task, b.Run, b.Fence)
		if a := e.active[b.Task]; a != nil && a.number <= b.Run {
			time.AfterFunc(stopTime, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.finish(a, "stopped")
			})
		}
		return reply(http.StatusOK, "")
	}
	return e.hold(ctx, &b)
}

// extend takes a lease. The caller holds mu.
func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+holdMax.Milliseconds()))
}

// start carries out a start. The caller holds mu.
func (e *executor) start(b *callBody) (int, string) {
	if b.Until <= e.clock() {
		return http.StatusConflict, "late"
	}
	e.extend(b.Until)
	if a := e.active[b.Task]; a != nil {
		if a.number == b.Run {
			return http.StatusOK, ""
		}
		return http.StatusConflict, "room"
	}
	if b.Run <= e.barred[b.Task] {
		return http.StatusConflict, "old"
	}
	r := &run{task: b.Task, number: b.Run, spec: b.Spec, started: time.Now()}
	e.active[b.Task] = r
	e.c.rec.add("%s starts %s run %d, fence %d, until %d at %d", e.name, b.Task, b.Run, b.Fence, b.Until, e.clock())
	e.c.noteStart(e, r)
	how, after := outcomeOf(b.Spec)
	if after > 0 {
		time.AfterFunc(after, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.finish(r, how)
		})
	}
	if e.onStart != nil {
		go e.onStart(e, r)
	}
	return http.StatusOK, ""
}

// outcomeOf returns how and after what time a run ends that nothing stops. A specification is
// "work_ms=N", or "fail" before it for a task that fails.
func outcomeOf(spec string) (string, time.Duration) {
	how := "done"
	if rest, ok := strings.CutPrefix(spec, "fail "); ok {
		how, spec = "failed", rest
	}
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "work_ms="))
	if err != nil {
		return how, 0
	}
	return how, time.Duration(ms) * time.Millisecond
}

// hold renews the lease, takes note of acknowledgements and lists. The caller holds mu, which is
// given up during the wait.
func (e *executor) hold(ctx context.Context, b *callBody) (int, map[string]any) {
	born := e.born
	if b.Until > 0 {
		e.extend(b.Until)
	}
	if b.Cursor > e.acked {
		e.acked = b.Cursor
		for len(e.ends) > 0 && e.ends[0].n <= b.Cursor {
			e.c.noteAck(e, &e.ends[0])
			e.ends = e.ends[1:]
		}
	}
	deadline := time.NewTimer(time.Duration(b.Wait) * time.Millisecond)
	defer deadline.Stop()
	for waiting := b.Wait > 0; waiting && len(e.ends) == 0 && e.up && e.born == born; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		e.mu.Lock()
	}
	active := [][]any{}
	for _, r := range e.active {
		active = append(active, []any{r.task, r.number, "", 100, 500})
	}
	ends := [][]any{}
	for i := 0; i < len(e.ends) && i < maxListedEnds; i++ {
		x := &e.ends[i]
		ends = append(ends, []any{x.n, x.task, x.number, x.how, ""})
	}
	return http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born, "active": active, "finished_runs": ends}
}
