package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	holdMaxMS   = 6000
	heartbeatMS = 1500
	stopMS      = 200
)

// adviser is the policy service. It permits every executor.
type adviser struct {
	address string
	mu      sync.Mutex
	calls   int
}

func newAdviser(ip string) *adviser {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable("policy service: %v", err)
	}
	a := &adviser{address: l.Addr().String()}
	turns := make(chan struct{}, 8) // one for each process that may call
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			w.WriteHeader(400)
			return
		}
		turns <- struct{}{}
		time.Sleep(50*time.Millisecond + time.Duration(len(q.Workers))*700*time.Microsecond)
		<-turns
		a.mu.Lock()
		a.calls++
		a.mu.Unlock()
		good := [][]string{}
		for _, id := range q.Workers {
			good = append(good, []string{id, "t-" + q.Step + "-" + id})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": 2000})
	}))
	return a
}

// run is one run of a task on an executor.
type run struct {
	task  string
	n     int
	began time.Time
	timer *time.Timer
}

// executor is a sound executor that runs tasks under a lease.
type executor struct {
	c     *cell
	slot  int
	ip    string
	port  int
	label string
	pool  string // its service
	cpu   int

	mu      sync.Mutex
	id      string
	boot    time.Time
	server  *http.Server
	up      bool
	state   string
	seq     int
	fence   uint64
	until   int64
	lapse   *time.Timer
	active  map[string]*run
	highest map[string]int
	ends    [][]any
	lastEnd int
	changed chan struct{}
	done    chan struct{}

	work    func(task string, n int) (time.Duration, string) // how long a run takes and how it ends
	started func(e *executor, task string, n int)            // called after a start, without a lock
	ended   func(task string, n int, how string)

	begun func(e *executor, b *call)                        // as started, but with the lock held
	over  func(e *executor, task string, n int, how string) // a run is over; with the lock held
}

func newExecutor(c *cell, slot int) *executor {
	e := &executor{c: c, slot: slot, ip: fmt.Sprintf("%s.%d", c.base, 100+slot), label: "a", pool: "huvo11a", cpu: 16000,
		work: func(string, int) (time.Duration, string) { return time.Second, "done" }}
	return e
}

// startBoot starts a boot of the executor that knows nothing of before.
func (e *executor) startBoot(id string) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", e.ip, e.port))
	if err != nil {
		unable("executor: %v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.port = l.Addr().(*net.TCPAddr).Port
	e.id, e.boot, e.up, e.state, e.seq = id, time.Now(), true, "ready", 0
	e.fence, e.until, e.ends, e.lastEnd = 0, 0, nil, 0
	e.active, e.highest = map[string]*run{}, map[string]int{}
	e.changed, e.done = make(chan struct{}), make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	rec.line("executor %s starts at %s:%d", id, e.ip, e.port)
	go e.server.Serve(l)
	go e.beat(e.done)
}

// crash ends the boot at once: what runs on it ends, and its connections are reset.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	for t, r := range e.active {
		r.timer.Stop()
		if e.over != nil {
			e.over(e, t, r.n, "crash")
		}
		rec.line("executor %s crashes under %s run %d, %d ms after its start", e.id, t, r.n, time.Since(r.began).Milliseconds())
	}
	rec.line("executor %s crashes", e.id)
	e.active = map[string]*run{}
	close(e.done)
	close(e.changed)
	e.changed = make(chan struct{})
	server := e.server
	e.mu.Unlock()
	server.Close()
}

func (e *executor) beat(done chan struct{}) {
	for i := e.slot; ; i++ {
		e.mu.Lock()
		e.seq++
		body, _ := json.Marshal(map[string]any{"service": e.pool, "address": fmt.Sprintf("%s:%d", e.ip, e.port), "zone": "selfoss",
			"version": "v1", "slots": 8, "state": e.state, "cold_remaining_ms": 0, "capacity": map[string]any{"cpu": e.cpu, "mem_mb": 32768, "gpu": 0},
			"labels": []string{e.label, fmt.Sprintf("r1-%d", e.slot/8)}, "clock_ms": e.clock(), "sequence": e.seq, "born": e.boot.UnixMilli()})
		id := e.id
		e.mu.Unlock()
		cores := e.c.cores()
		ok := false
		for k := range len(cores) {
			p := cores[(i+k)%len(cores)]
			if status, _ := e.c.do(http.MethodPost, fmt.Sprintf("%s:%d", p.ip, e.c.port.control), "/api/instances/"+id+"/heartbeat", body, time.Second); status/100 == 2 {
				ok = true
				break
			}
		}
		wait := heartbeatMS * time.Millisecond
		if !ok {
			wait = 300 * time.Millisecond
		}
		select {
		case <-done:
			return
		case <-time.After(wait):
		}
	}
}

func (e *executor) clock() int64 { return time.Since(e.boot).Milliseconds() + 1 }

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until_ms"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"last_checkpoint"`
	Ticket     string `json:"ticket"`
	Ack        int    `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(200)
		return
	}
	var b call
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(400)
		return
	}
	e.order(w, r, b)
}

// order carries an order out.
func (e *executor) order(w http.ResponseWriter, r *http.Request, b call) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Filbertmast-Expect-Instance"); want != "" && want != e.id {
		e.mu.Unlock()
		w.WriteHeader(421)
		return
	}
	if b.Fence < e.fence {
		e.reply(w, 409, "fence")
		e.mu.Unlock()
		return
	}
	e.fence = b.Fence
	switch {
	case strings.HasSuffix(r.URL.Path, "run-start"):
		begun := e.startRun(w, &b)
		e.mu.Unlock()
		if begun && e.started != nil {
			e.started(e, b.Task, b.Run)
		}
	case strings.HasSuffix(r.URL.Path, "run-stop"):
		if b.Run > e.highest[b.Task] {
			e.highest[b.Task] = b.Run
		}
		if run := e.active[b.Task]; run != nil && run.n <= b.Run {
			run.timer.Stop()
			run.timer = time.AfterFunc(stopMS*time.Millisecond/2, func() { e.end(b.Task, run.n, "stopped") })
		}
		e.reply(w, 200, "")
		e.mu.Unlock()
	case strings.HasSuffix(r.URL.Path, "hold"):
		e.hold(w, &b)
	default:
		e.mu.Unlock()
		w.WriteHeader(404)
	}
}

func (e *executor) reply(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	m := map[string]any{"clock_ms": e.clock(), "born": e.boot.UnixMilli()}
	if reason != "" {
		m["reason"] = reason
	}
	_ = json.NewEncoder(w).Encode(m)
}

// extend prolongs the lease, within its longest. The caller holds the lock.
func (e *executor) extend(until int64) {
	until = min(until, e.clock()+holdMaxMS)
	if until <= e.until {
		return
	}
	e.until = until
	if e.lapse != nil {
		e.lapse.Stop()
	}
	e.lapse = time.AfterFunc(time.Duration(until-e.clock())*time.Millisecond, e.checkLease)
}

func (e *executor) checkLease() {
	e.mu.Lock()
	var lapsed []*run
	if e.up && e.clock() >= e.until {
		for _, r := range e.active {
			lapsed = append(lapsed, r)
		}
	}
	e.mu.Unlock()
	for _, r := range lapsed {
		e.end(r.task, r.n, "lapsed")
	}
}

func (e *executor) startRun(w http.ResponseWriter, b *call) bool {
	e.extend(b.Until)
	cur := e.active[b.Task]
	switch {
	case cur != nil && cur.n == b.Run:
		e.reply(w, 200, "")
		return false
	case b.Run <= e.highest[b.Task] || cur != nil && cur.n > b.Run:
		e.reply(w, 409, "old")
		return false
	case b.Until <= e.clock():
		e.reply(w, 409, "late")
		return false
	}
	d, how := e.work(b.Task, b.Run)
	r := &run{task: b.Task, n: b.Run, began: time.Now()}
	r.timer = time.AfterFunc(d, func() { e.end(b.Task, b.Run, how) })
	e.active[b.Task] = r
	rec.line("%s run %d starts on %s", b.Task, b.Run, e.id)
	if e.begun != nil {
		e.begun(e, b)
	}
	e.reply(w, 200, "")
	return true
}

func (e *executor) end(task string, n int, how string) {
	e.mu.Lock()
	r := e.active[task]
	if r == nil || r.n != n || !e.up {
		e.mu.Unlock()
		return
	}
	r.timer.Stop()
	delete(e.active, task)
	e.highest[task] = max(e.highest[task], n)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, task, n, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
	rec.line("%s run %d on %s ends %s", task, n, e.id, how)
	if e.over != nil {
		e.over(e, task, n, how)
	}
	e.mu.Unlock()
	if e.ended != nil {
		e.ended(task, n, how)
	}
}

func (e *executor) hold(w http.ResponseWriter, b *call) {
	e.extend(b.Until)
	for len(e.ends) > 0 && e.ends[0][0].(int) <= b.Ack {
		e.ends = e.ends[1:]
	}
	changed, waits := e.changed, len(e.ends) == 0
	e.mu.Unlock()
	if waits && b.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	active, ends := [][]any{}, [][]any{}
	for _, r := range e.active {
		active = append(active, []any{r.task, r.n, "", 100, 0})
	}
	for i, row := range e.ends {
		if i < 500 {
			ends = append(ends, row)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"clock_ms": e.clock(), "born": e.boot.UnixMilli(), "active": active, "finished_runs": ends})
}
